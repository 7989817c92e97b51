#include "requestaccount.h"

namespace Proxy {

namespace {

using Telemetry::Counter;

Counter &endingCounter(Telemetry::Metrics &metrics, const char *ending)
{
    return metrics.counter("marjoram_requests_ended_total",
                           "Completely read requests by how they ended for the caller",
                           {{"ending", ending}});
}

const char *nameOf(CloseReason reason)
{
    switch (reason) {
    case CloseReason::AfterResponse:
        return "after_response";
    case CloseReason::IdleTimeout:
        return "idle_timeout";
    case CloseReason::ForOthers:
        return "for_others";
    case CloseReason::Shutdown:
        return "shutdown";
    case CloseReason::ResponseAborted:
        return "response_aborted";
    case CloseReason::ByCaller:
        break;
    }
    return "by_caller";
}

} // namespace

RequestAccount::RequestAccount(Telemetry::Log &log, Telemetry::Metrics &metrics)
    : log_(log)
    , metrics_(metrics)
    , read_(metrics.counter("marjoram_requests_read_total", "Requests of callers read completely"))
    , answered_(endingCounter(metrics, "answered"))
    , refused_(endingCounter(metrics, "refused"))
    , cut_(endingCounter(metrics, "cut"))
    , callerGone_(endingCounter(metrics, "caller_gone"))
    , dropped_(endingCounter(metrics, "dropped"))
    , refusedByShutdown_(metrics.counter(
          "marjoram_shutdown_refusals_total",
          "Requests refused because they would be cut off by the end of the process"))
{}

void RequestAccount::requestEnded(RequestEnding ending)
{
    switch (ending) {
    case RequestEnding::Answered:
        answered_.add();
        break;
    case RequestEnding::Refused:
        refused_.add();
        break;
    case RequestEnding::Cut:
        cut_.add();
        break;
    case RequestEnding::CallerGone:
        callerGone_.add();
        break;
    }
}

void RequestAccount::connectionClosed(const ConnectionEnd &end)
{
    metrics_
        .counter("marjoram_caller_connections_closed_total",
                 "Closed connections of callers by reason",
                 {{"reason", nameOf(end.reason)}})
        .add();
    read_.add(end.unhandledRequests);
    if (end.reason == CloseReason::ByCaller) {
        callerGone_.add(end.unhandledRequests);
        return;
    }
    dropped_.add(end.unhandledRequests);
    unreadConnections_ += end.unreadBytes > 0 ? 1 : 0;
    if (end.unhandledBytes == 0 && end.unsentBytes == 0 && end.unreadBytes == 0) {
        return;
    }
    log_.write(
        Telemetry::LogLevel::Warning,
        "connection of a caller closed with bytes left",
        {.step = "connection",
         .details = {{"reason", nameOf(end.reason)},
                     {"unhandled_requests", static_cast<std::int64_t>(end.unhandledRequests)},
                     {"unhandled_bytes", static_cast<std::int64_t>(end.unhandledBytes)},
                     {"unread_bytes", static_cast<std::int64_t>(end.unreadBytes)},
                     {"unsent_bytes", static_cast<std::int64_t>(end.unsentBytes)}}});
}

std::vector<Telemetry::LogDetail> RequestAccount::summary(std::size_t active) const
{
    const auto number
        = [](const Counter &counter) { return static_cast<std::int64_t>(counter.value()); };
    return {{"active", static_cast<std::int64_t>(active)},
            {"read", number(read_)},
            {"answered", number(answered_)},
            {"refused", number(refused_)},
            {"cut", number(cut_)},
            {"caller_gone", number(callerGone_)},
            {"dropped", number(dropped_)},
            {"refused_by_shutdown", number(refusedByShutdown_)},
            {"unread_connections", static_cast<std::int64_t>(unreadConnections_)}};
}

} // namespace Proxy
