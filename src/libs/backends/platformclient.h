#pragma once

#include "httpclient.h"

#include <platform/store.h>

namespace Backends {

struct PlatformOptions
{
    /// Such as "http://127.0.0.1:9000", without a slash at the end.
    std::string baseUrl;
    Timeout connectTimeout{300};
    Timeout requestTimeout{1000};
    /// Initial and maximum delay before a broken watch is restarted.
    Timeout initialBackoff{100};
    Timeout maxBackoff{5000};
    /// A watch that receives no data for this time is restarted.
    Timeout watchIdleTimeout{60'000};
    std::uint64_t jitterSeed = 0;
};

/// Current state of an object, at the start of a watch or after a change.
struct ObjectUpdated
{
    Platform::StoredObject object;
};

struct ObjectRemoved
{
    Platform::ObjectKey key;
};

/// The watch has reported the current state of all objects; changes follow.
struct WatchSynced
{};

/// The watch failed; it restarts after a backoff and reports the current state again.
struct WatchBroken
{
    std::string message;
};

using WatchEvent = std::variant<ObjectUpdated, ObjectRemoved, WatchSynced, WatchBroken>;
using WatchHandler = std::function<void(const WatchEvent &)>;
using WatchId = Base::StrongNumber<struct WatchIdTag, std::uint64_t>;

/// Executes store operations through the platform's object API over HTTP.
/// Handlers run in the HTTP client's thread. Must be destroyed before the HTTP client.
class PlatformClient
{
public:
    PlatformClient(HttpClient &http, PlatformOptions options);
    /// No handler runs after the destructor.
    ~PlatformClient();

    PlatformClient(const PlatformClient &) = delete;
    PlatformClient &operator=(const PlatformClient &) = delete;

    /// Timeouts, broken connections and unexpected statuses are reported as StoreUnavailable.
    void execute(Platform::StoreRequest request, std::function<void(Platform::StoreReply)> handler);

    /// Watches one object, or every object of the kind if the name is empty.
    WatchId watch(Platform::ObjectKind kind, const std::string &name, WatchHandler handler);
    void stopWatch(WatchId id);

private:
    class Shared;
    std::shared_ptr<Shared> shared_;
};

} // namespace Backends
