#pragma once

#include "httpclient.h"
#include "httptransfer.h"

#include <curl/curl.h>

#include <map>
#include <mutex>
#include <thread>
#include <unordered_map>

namespace Backends {

/// The thread of an HttpClient. Other threads post commands, which it executes before each
/// curl_multi_perform().
class HttpClient::Loop
{
public:
    explicit Loop(HttpClientOptions options);
    ~Loop();

    Loop(const Loop &) = delete;
    Loop &operator=(const Loop &) = delete;

    HttpRequestId start(HttpRequest request, HttpHandlers handlers);
    void post(std::function<void()> command);
    void callLater(Timeout delay, std::function<void()> function);

    /// In the loop's thread only.
    void cancel(HttpRequestId id);
    void pause(HttpRequestId id);
    void resume(HttpRequestId id);

private:
    using Clock = std::chrono::steady_clock;

    void run();
    void runCommands();
    void runTimers();
    void add(HttpRequestId id, HttpRequest request, HttpHandlers handlers);
    void finishCompleted();
    void finish(HttpRequestId id, CURLcode code);
    void expireIdle();
    void cancelAll();
    int pollTimeout() const;
    HttpTransfer *find(HttpRequestId id);

    CURLM *multi_;
    std::unordered_map<HttpRequestId, std::unique_ptr<HttpTransfer>> transfers_;
    std::multimap<Clock::time_point, std::function<void()>> timers_;
    Clock::time_point nextIdleCheck_;

    /// Guards the members below.
    std::mutex mutex_;
    std::vector<std::function<void()>> commands_;
    std::uint64_t nextId_ = 1;
    bool isStopping_ = false;

    std::thread thread_;
};

} // namespace Backends
