#include "httploop.h"

#include <algorithm>

namespace Backends {

namespace {

constexpr auto idleCheckInterval = std::chrono::milliseconds(50);
constexpr int maxPollMs = 1000;

void initializeCurl()
{
    static const CURLcode code = curl_global_init(CURL_GLOBAL_DEFAULT);
    static_cast<void>(code);
}

} // namespace

HttpClient::Loop::Loop(HttpClientOptions options)
{
    initializeCurl();
    multi_ = curl_multi_init();
    curl_multi_setopt(multi_, CURLMOPT_MAX_HOST_CONNECTIONS, options.maxConnectionsPerHost);
    curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, options.maxIdleConnections);
    curl_multi_setopt(multi_, CURLMOPT_PIPELINING, static_cast<long>(CURLPIPE_NOTHING));
    thread_ = std::thread([this] { run(); });
}

HttpClient::Loop::~Loop()
{
    {
        const std::lock_guard lock(mutex_);
        isStopping_ = true;
    }
    curl_multi_wakeup(multi_);
    thread_.join();
    curl_multi_cleanup(multi_);
}

HttpRequestId HttpClient::Loop::start(HttpRequest request, HttpHandlers handlers)
{
    HttpRequestId id;
    {
        const std::lock_guard lock(mutex_);
        id = HttpRequestId(nextId_++);
    }
    post([this, id, request = std::move(request), handlers = std::move(handlers)]() mutable {
        add(id, std::move(request), std::move(handlers));
    });
    return id;
}

void HttpClient::Loop::post(std::function<void()> command)
{
    bool isFirst = false;
    {
        const std::lock_guard lock(mutex_);
        isFirst = commands_.empty();
        commands_.push_back(std::move(command));
    }
    if (isFirst) {
        curl_multi_wakeup(multi_);
    }
}

void HttpClient::Loop::callLater(Timeout delay, std::function<void()> function)
{
    const auto due = Clock::now() + delay;
    post([this, due, function = std::move(function)]() mutable {
        timers_.emplace(due, std::move(function));
    });
}

void HttpClient::Loop::run()
{
    for (;;) {
        runCommands();
        runTimers();
        {
            const std::lock_guard lock(mutex_);
            if (isStopping_ && commands_.empty()) {
                break;
            }
        }
        int running = 0;
        curl_multi_perform(multi_, &running);
        finishCompleted();
        expireIdle();
        curl_multi_poll(multi_, nullptr, 0, pollTimeout(), nullptr);
    }
    cancelAll();
}

void HttpClient::Loop::runCommands()
{
    std::vector<std::function<void()>> commands;
    {
        const std::lock_guard lock(mutex_);
        commands.swap(commands_);
    }
    for (const auto &command : commands) {
        command();
    }
}

void HttpClient::Loop::runTimers()
{
    while (!timers_.empty() && timers_.begin()->first <= Clock::now()) {
        const auto function = std::move(timers_.begin()->second);
        timers_.erase(timers_.begin());
        function();
    }
}

void HttpClient::Loop::add(HttpRequestId id, HttpRequest request, HttpHandlers handlers)
{
    auto transfer = std::make_unique<HttpTransfer>(id, std::move(request), std::move(handlers));
    const CURLMcode code = curl_multi_add_handle(multi_, transfer->easy());
    HttpTransfer &added = *transfer;
    transfers_.emplace(id, std::move(transfer));
    if (code != CURLM_OK) {
        added.finish(CURLE_FAILED_INIT, HttpEnd::Broken);
        transfers_.erase(id);
    }
}

void HttpClient::Loop::finishCompleted()
{
    int left = 0;
    while (const CURLMsg *message = curl_multi_info_read(multi_, &left)) {
        if (message->msg != CURLMSG_DONE) {
            continue;
        }
        const CURLcode code = message->data.result;
        HttpTransfer *transfer = nullptr;
        curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &transfer);
        finish(transfer->id(), code);
    }
}

void HttpClient::Loop::finish(HttpRequestId id, CURLcode code)
{
    const auto transfer = std::move(transfers_.at(id));
    transfers_.erase(id);
    curl_multi_remove_handle(multi_, transfer->easy());
    transfer->finish(code, HttpEnd::Broken);
}

void HttpClient::Loop::expireIdle()
{
    const auto now = Clock::now();
    if (now < nextIdleCheck_) {
        return;
    }
    nextIdleCheck_ = now + idleCheckInterval;
    std::vector<HttpRequestId> idle;
    for (const auto &[id, transfer] : transfers_) {
        if (transfer->isIdle(now)) {
            idle.push_back(id);
        }
    }
    for (const HttpRequestId id : idle) {
        const auto transfer = std::move(transfers_.at(id));
        transfers_.erase(id);
        curl_multi_remove_handle(multi_, transfer->easy());
        transfer->finish(CURLE_OPERATION_TIMEDOUT, HttpEnd::TimedOut);
    }
}

void HttpClient::Loop::cancel(HttpRequestId id)
{
    const auto found = transfers_.find(id);
    if (found == transfers_.end()) {
        return;
    }
    const auto transfer = std::move(found->second);
    transfers_.erase(found);
    curl_multi_remove_handle(multi_, transfer->easy());
    transfer->finish(CURLE_ABORTED_BY_CALLBACK, HttpEnd::Cancelled);
}

void HttpClient::Loop::pause(HttpRequestId id)
{
    if (HttpTransfer *transfer = find(id)) {
        transfer->pause();
    }
}

void HttpClient::Loop::resume(HttpRequestId id)
{
    if (HttpTransfer *transfer = find(id)) {
        transfer->resume();
    }
}

void HttpClient::Loop::cancelAll()
{
    while (!transfers_.empty()) {
        cancel(transfers_.begin()->first);
    }
    timers_.clear();
    const std::lock_guard lock(mutex_);
    commands_.clear();
}

int HttpClient::Loop::pollTimeout() const
{
    auto next = Clock::now() + std::chrono::milliseconds(maxPollMs);
    if (!transfers_.empty()) {
        next = std::min(next, nextIdleCheck_);
    }
    if (!timers_.empty()) {
        next = std::min(next, timers_.begin()->first);
    }
    const auto wait = std::chrono::ceil<std::chrono::milliseconds>(next - Clock::now());
    return static_cast<int>(std::max<std::int64_t>(wait.count(), 0));
}

HttpTransfer *HttpClient::Loop::find(HttpRequestId id)
{
    const auto found = transfers_.find(id);
    return found == transfers_.end() ? nullptr : found->second.get();
}

} // namespace Backends
