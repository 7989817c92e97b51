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
    /// First and longest pause before a watch is opened again.
    Timeout firstBackOff{100};
    Timeout longestBackOff{5000};
    /// A watch that stays silent for longer is opened again.
    Timeout watchIdleTimeout{60'000};
    std::uint64_t jitterSeed = 0;
};

/// An object as it is now, at the start of a watch or after a change.
struct ObjectSeen
{
    Platform::StoredObject object;
};

struct ObjectRemoved
{
    Platform::ObjectKey key;
};

/// The watch has shown the present state; changes follow.
struct WatchSynced
{};

/// The watch broke; it is opened again after a pause, and shows the state anew.
struct WatchBroken
{
    std::string message;
};

using WatchEvent = std::variant<ObjectSeen, ObjectRemoved, WatchSynced, WatchBroken>;
using WatchHandler = std::function<void(const WatchEvent &)>;
using WatchId = Base::StrongNumber<struct WatchIdTag, std::uint64_t>;

/// Carries store operations to the platform's object API over HTTP.
/// Handlers run in the HTTP client's thread. The client must end before the HTTP client.
class PlatformClient
{
public:
    PlatformClient(HttpClient &http, PlatformOptions options);
    /// No handler is called afterwards.
    ~PlatformClient();

    PlatformClient(const PlatformClient &) = delete;
    PlatformClient &operator=(const PlatformClient &) = delete;

    /// Timeouts, broken connections and unexpected statuses come as StoreUnavailable.
    void execute(Platform::StoreRequest request, std::function<void(Platform::StoreReply)> handler);

    /// Follows one object, or every object of the kind if the name is empty.
    WatchId watch(Platform::ObjectKind kind, const std::string &name, WatchHandler handler);
    void stopWatch(WatchId id);

private:
    class Shared;
    std::shared_ptr<Shared> shared_;
};

} // namespace Backends
