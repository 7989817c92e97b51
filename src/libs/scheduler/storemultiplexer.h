#pragma once

#include <platform/store.h>

#include <optional>
#include <unordered_map>

namespace Scheduler {

/// The state machine that a store request belongs to.
enum class StoreClient {
    Config,
    ConfigEditor,
    Ownership,
    Journal,
    Compactor,
    Takeover,
    Loader
};

/// A reply with the id that its client knows.
struct RoutedReply
{
    StoreClient client = StoreClient::Config;
    /// Distinguishes several machines of one kind.
    std::uint64_t instance = 0;
    Platform::StoreReply reply;
};

/// Gives the requests of all state machines ids that are unique in the daemon, and finds the
/// machine that a reply belongs to.
class StoreMultiplexer
{
public:
    Platform::StoreRequest wrap(StoreClient client,
                                std::uint64_t instance,
                                Platform::StoreRequest request);

    /// Nothing if the reply came before or is foreign.
    std::optional<RoutedReply> unwrap(Platform::StoreReply reply);

private:
    struct Route
    {
        StoreClient client;
        std::uint64_t instance;
        Platform::StoreRequestId id;
    };

    std::uint64_t lastId_ = 0;
    std::unordered_map<Platform::StoreRequestId, Route> routes_;
};

} // namespace Scheduler
