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

/// A reply with the request id of its client.
struct RoutedReply
{
    StoreClient client = StoreClient::Config;
    /// Distinguishes several machines of one kind.
    std::uint64_t instance = 0;
    Platform::StoreReply reply;
};

/// Assigns daemon-wide unique ids to the store requests of all state machines and finds the machine
/// of each reply.
class StoreMultiplexer
{
public:
    Platform::StoreRequest wrap(StoreClient client,
                                std::uint64_t instance,
                                Platform::StoreRequest request);

    /// Returns nothing for a duplicate reply or an unknown id.
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
