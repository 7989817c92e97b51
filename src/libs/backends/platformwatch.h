#pragma once

#include "platformcodec.h"

#include <base/random.h>

#include <atomic>
#include <set>
#include <utility>

namespace Backends {

/// One watch: lists the current objects, follows the changes, and restarts after a failure.
/// Runs in the HTTP client's thread, except stop().
class PlatformWatch : public std::enable_shared_from_this<PlatformWatch>
{
public:
    PlatformWatch(HttpClient &http,
                  PlatformOptions options,
                  Platform::ObjectKind kind,
                  std::string name,
                  WatchHandler handler,
                  std::uint64_t seed);

    void start();
    /// No handler starts after the call; one may still be running.
    void stop();

private:
    void schedule(Timeout delay, void (PlatformWatch::*step)());
    void list();
    void handleList(const HttpOutcome &outcome);
    void follow();
    FlowControl handleLines(std::string_view data);
    void restartAfterBackoff(const std::string &message);
    void closeRequest();
    void emit(const WatchEvent &event);
    Timeout nextBackoff();

    HttpClient &http_;
    PlatformOptions options_;
    Platform::ObjectKind kind_;
    std::string name_;
    WatchHandler handler_;
    Base::Random random_;
    std::atomic<bool> isStopped_{false};

    HttpRequestId request_;
    std::string body_;
    std::string resourceVersion_;
    std::set<std::string> knownNames_;
    Timeout backoff_;
};

} // namespace Backends
