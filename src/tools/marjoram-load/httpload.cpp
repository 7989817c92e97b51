#include "httpload.h"

#include "curlpool.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <numeric>

namespace Load {

namespace {

constexpr auto longestWait = std::chrono::milliseconds(10);

double milliseconds(Clock::duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

double seconds(Clock::duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

double quantile(const std::vector<double> &sorted, double probability)
{
    const auto rank = static_cast<std::size_t>(probability * static_cast<double>(sorted.size()));
    return sorted[std::min(rank, sorted.size() - 1)];
}

TimeSummary summarize(std::vector<double> times)
{
    TimeSummary summary;
    if (times.empty()) {
        return summary;
    }
    std::sort(times.begin(), times.end());
    summary.count = times.size();
    summary.mean
        = std::accumulate(times.begin(), times.end(), 0.0) / static_cast<double>(times.size());
    summary.p50 = quantile(times, 0.5);
    summary.p95 = quantile(times, 0.95);
    summary.p99 = quantile(times, 0.99);
    summary.longest = times.back();
    return summary;
}

/// A report together with its single latencies, which several rounds share.
struct Measurement
{
    HttpLoadReport report;
    std::vector<double> latencies;
};

void finish(Measurement &measurement)
{
    HttpLoadReport &report = measurement.report;
    report.answersPerSecond = static_cast<double>(report.answered) / report.seconds;
    report.latencyMs = summarize(measurement.latencies);
}

/// Starts the requests that are due.
class Pace
{
public:
    Pace(double ratePerSecond, Clock::time_point start)
        : interval_(ratePerSecond > 0 ? 1 / ratePerSecond : 0)
        , start_(start)
    {}

    void startDue(CurlPool &pool, Clock::time_point now)
    {
        while (pool.hasFree()) {
            const auto due = isClosedLoop() ? now : dueAt();
            if (due > now) {
                return;
            }
            pool.start(due);
            ++count_;
        }
    }

    std::chrono::milliseconds wait(Clock::time_point now) const
    {
        if (isClosedLoop()) {
            return longestWait;
        }
        const auto left = std::chrono::floor<std::chrono::milliseconds>(dueAt() - now);
        return std::clamp(left, std::chrono::milliseconds(0), longestWait);
    }

private:
    bool isClosedLoop() const { return interval_.count() == 0; }

    Clock::time_point dueAt() const
    {
        return start_ + std::chrono::duration_cast<Clock::duration>(interval_ * count_);
    }

    std::chrono::duration<double> interval_;
    Clock::time_point start_;
    double count_ = 0;
};

void measure(const HttpLoadOptions &options, Measurement &measurement)
{
    HttpLoadReport &report = measurement.report;
    CurlPool pool(options.target, options.connections, options.requestTimeout);
    const auto start = Clock::now();
    const auto countFrom = start + options.warmUp;
    const auto end = countFrom + options.duration;
    pool.onEnd = [&](Exchange &exchange, const ExchangeEnd &ended) {
        const auto now = Clock::now();
        if (now < countFrom || now >= end) {
            return;
        }
        if (!ended.isAnswered) {
            ++report.failed;
        } else if (ended.status >= firstErrorStatus) {
            ++report.refused;
        } else {
            ++report.answered;
            measurement.latencies.push_back(milliseconds(now - exchange.dueAt));
        }
    };
    Pace pace(options.ratePerSecond, start);
    for (auto now = start; now < end; now = Clock::now()) {
        pace.startDue(pool, now);
        pool.step(pace.wait(now));
    }
    report.seconds += seconds(options.duration);
}

bool endsProperly(const std::string &tail)
{
    return tail.find("[DONE]") != std::string::npos || tail.find("event: done") != std::string::npos
           || tail.find("event:done") != std::string::npos;
}

void countEnd(StreamLoadReport &report, const Exchange &exchange, const ExchangeEnd &ended)
{
    if (ended.isAnswered && ended.status >= firstErrorStatus) {
        ++report.refused;
    } else if (!ended.isAnswered) {
        ++report.failed;
    } else if (!endsProperly(exchange.tail)) {
        ++report.cutShort;
    } else {
        ++report.completed;
    }
}

nlohmann::ordered_json json(const TimeSummary &summary)
{
    return {{"count", summary.count},
            {"mean", summary.mean},
            {"p50", summary.p50},
            {"p95", summary.p95},
            {"p99", summary.p99},
            {"longest", summary.longest}};
}

nlohmann::ordered_json json(const HttpLoadReport &report)
{
    return {{"seconds", report.seconds},
            {"answered", report.answered},
            {"refused", report.refused},
            {"failed", report.failed},
            {"answers_per_second", report.answersPerSecond},
            {"latency_ms", json(report.latencyMs)}};
}

} // namespace

HttpLoadReport runHttpLoad(const HttpLoadOptions &options)
{
    Measurement measurement;
    measure(options, measurement);
    finish(measurement);
    return measurement.report;
}

RatioReport runRatio(const RatioOptions &options)
{
    Measurement direct;
    Measurement through;
    for (int round = 0; round < options.rounds; ++round) {
        measure(options.direct, direct);
        measure(options.through, through);
    }
    finish(direct);
    finish(through);
    const TimeSummary &before = direct.report.latencyMs;
    const TimeSummary &after = through.report.latencyMs;
    RatioReport report{direct.report, through.report};
    report.addedP50Ms = after.p50 - before.p50;
    report.addedP99Ms = after.p99 - before.p99;
    report.ratioP50 = before.p50 > 0 ? after.p50 / before.p50 : 0;
    report.ratioP99 = before.p99 > 0 ? after.p99 / before.p99 : 0;
    return report;
}

StreamLoadReport runStreamLoad(const StreamLoadOptions &options)
{
    StreamLoadReport report;
    std::vector<double> firstEvents;
    std::vector<double> gaps;
    int open = 0;
    CurlPool pool(options.target, options.streams, options.streamTimeout);
    pool.onData = [&](Exchange &exchange) {
        const auto now = Clock::now();
        if (exchange.hasData) {
            gaps.push_back(milliseconds(now - exchange.lastDataAt));
        } else {
            firstEvents.push_back(milliseconds(now - exchange.dueAt));
            report.mostAtOnce = std::max(report.mostAtOnce, ++open);
        }
    };
    pool.onEnd = [&](Exchange &exchange, const ExchangeEnd &ended) {
        open -= exchange.hasData ? 1 : 0;
        countEnd(report, exchange, ended);
    };
    const auto start = Clock::now();
    for (auto now = start; now < start + options.duration || pool.isBusy(); now = Clock::now()) {
        while (now < start + options.duration && pool.hasFree()) {
            pool.start(now);
        }
        pool.step(longestWait);
    }
    report.seconds = seconds(Clock::now() - start);
    report.firstEventMs = summarize(std::move(firstEvents));
    report.gapMs = summarize(std::move(gaps));
    return report;
}

std::string toJson(const HttpLoadReport &report)
{
    return json(report).dump(2);
}

std::string toJson(const RatioReport &report)
{
    const nlohmann::ordered_json document{{"direct", json(report.direct)},
                                          {"through", json(report.through)},
                                          {"added_p50_ms", report.addedP50Ms},
                                          {"added_p99_ms", report.addedP99Ms},
                                          {"ratio_p50", report.ratioP50},
                                          {"ratio_p99", report.ratioP99}};
    return document.dump(2);
}

std::string toJson(const StreamLoadReport &report)
{
    const nlohmann::ordered_json document{{"seconds", report.seconds},
                                          {"completed", report.completed},
                                          {"refused", report.refused},
                                          {"failed", report.failed},
                                          {"cut_short", report.cutShort},
                                          {"most_at_once", report.mostAtOnce},
                                          {"first_event_ms", json(report.firstEventMs)},
                                          {"gap_ms", json(report.gapMs)}};
    return document.dump(2);
}

} // namespace Load
