#pragma once

#include "httpload.h"

#include <curl/curl.h>

#include <deque>
#include <functional>
#include <memory>

namespace Load {

using Clock = std::chrono::steady_clock;

/// Lowest status that counts as a refusal.
constexpr int firstErrorStatus = 400;

/// One connection of a CurlPool and the exchange on it.
struct Exchange
{
    CURL *easy = nullptr;
    std::string url;
    std::string body;
    /// When the request was due.
    Clock::time_point dueAt;
    /// Arrival of the first and of the latest piece of data.
    Clock::time_point firstDataAt;
    Clock::time_point lastDataAt;
    bool hasData = false;
    /// End of the data, to recognise the last event of a stream.
    std::string tail;
};

/// How an exchange ended.
struct ExchangeEnd
{
    bool isAnswered = false;
    int status = 0;
};

/// Concurrent exchanges on kept connections, by libcurl's multi interface, in the calling thread.
class CurlPool
{
public:
    CurlPool(const HttpTarget &target, int connections, std::chrono::milliseconds timeout);
    ~CurlPool();

    CurlPool(const CurlPool &) = delete;
    CurlPool &operator=(const CurlPool &) = delete;

    std::function<void(Exchange &, const ExchangeEnd &)> onEnd;
    /// Only for answers that are no refusals.
    std::function<void(Exchange &)> onData;

    bool hasFree() const { return !free_.empty(); }
    bool isBusy() const { return free_.size() < exchanges_.size(); }
    void start(Clock::time_point dueAt);
    /// Works until something happens, at most for the wait.
    void step(std::chrono::milliseconds wait);

private:
    void setUp(Exchange &exchange, std::chrono::milliseconds timeout);
    void take(Exchange &exchange, std::string_view data);
    static std::size_t writeData(char *data, std::size_t size, std::size_t count, void *context);

    struct Slot
    {
        CurlPool *pool = nullptr;
        Exchange exchange;
    };

    HttpTarget target_;
    CURLM *multi_;
    curl_slist *headers_ = nullptr;
    std::vector<std::unique_ptr<Slot>> exchanges_;
    std::deque<Exchange *> free_;
    std::uint64_t nextNumber_ = 1;
};

} // namespace Load
