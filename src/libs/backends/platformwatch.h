#pragma once

#include "platformcodec.h"

#include <base/random.h>

#include <atomic>
#include <set>
#include <utility>

namespace Backends {

/// One watch: lists the present state, follows the changes, and starts anew when it breaks.
/// Runs in the HTTP client's thread, but for stop().
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
    /// No handler starts afterwards; one may be running.
    void stop();

private:
    void later(Timeout delay, void (PlatformWatch::*step)());
    void list();
    void takeList(const HttpOutcome &outcome);
    void follow();
    FlowControl takeLines(std::string_view data);
    void breakOff(const std::string &message);
    void closeRequest();
    void emit(const WatchEvent &event);
    Timeout nextBackOff();

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
    std::set<std::string> known_;
    Timeout backOff_;
};

} // namespace Backends
