#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace Load {

/// What is asked, over and over. "{n}" in the URL and the body becomes the request's number.
struct HttpTarget
{
    std::string url;
    std::string method = "GET";
    std::string body;
    /// Whole lines, such as "Authorization: Bearer KEY".
    std::vector<std::string> headers;
};

/// Exact quantiles of a series of times, in milliseconds.
struct TimeSummary
{
    std::uint64_t count = 0;
    double mean = 0;
    double p50 = 0;
    double p95 = 0;
    double p99 = 0;
    double longest = 0;
};

struct HttpLoadOptions
{
    HttpTarget target;
    int connections = 16;
    /// Requests that end before the end of the warm-up are not counted.
    std::chrono::milliseconds warmUp{500};
    std::chrono::milliseconds duration{5000};
    /// 0: closed loop, each connection sends its next request after an answer. Otherwise open
    /// loop at this rate; latency then counts from the time at which the request was due.
    double ratePerSecond = 0;
    std::chrono::milliseconds requestTimeout{10'000};
};

struct HttpLoadReport
{
    double seconds = 0;
    /// Answers with a status below 400.
    std::uint64_t answered = 0;
    std::uint64_t refused = 0;
    /// Connections that failed or broke, and timeouts.
    std::uint64_t failed = 0;
    double answersPerSecond = 0;
    TimeSummary latencyMs;
};

/// Calls one URL and reports rate and latency. Blocks for warm-up and duration.
HttpLoadReport runHttpLoad(const HttpLoadOptions &options);

struct RatioOptions
{
    /// The same call directly to the backend server and through a daemon.
    HttpLoadOptions direct;
    HttpLoadOptions through;
    /// Both are measured in turns, so that changes of the machine's load meet both.
    int rounds = 3;
};

struct RatioReport
{
    /// All rounds together; quantiles over all their requests.
    HttpLoadReport direct;
    HttpLoadReport through;
    double addedP50Ms = 0;
    double addedP99Ms = 0;
    double ratioP50 = 0;
    double ratioP99 = 0;
};

RatioReport runRatio(const RatioOptions &options);

struct StreamLoadOptions
{
    /// A call that is answered by server-sent events.
    HttpTarget target;
    int streams = 100;
    /// New streams start until then; those under way are read to their end.
    std::chrono::milliseconds duration{5000};
    std::chrono::milliseconds streamTimeout{60'000};
};

struct StreamLoadReport
{
    double seconds = 0;
    /// Streams that ended with "[DONE]" or an event "done".
    std::uint64_t completed = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
    /// Streams that ended without their last event.
    std::uint64_t cutShort = 0;
    /// Largest number of streams that had received an event and not ended.
    int mostAtOnce = 0;
    TimeSummary firstEventMs;
    TimeSummary gapMs;
};

/// Keeps a number of streams open at once and reports when their events arrive.
StreamLoadReport runStreamLoad(const StreamLoadOptions &options);

std::string toJson(const HttpLoadReport &report);
std::string toJson(const RatioReport &report);
std::string toJson(const StreamLoadReport &report);

} // namespace Load
