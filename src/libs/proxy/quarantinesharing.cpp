#include "quarantinesharing.h"

#include <algorithm>

namespace Proxy {

using Dispatch::QuarantineStatement;
using Dispatch::RequestFingerprint;

namespace {

const char *nameOf(Dispatch::RequestScope scope)
{
    return scope == Dispatch::RequestScope::Path ? "path" : "exact";
}

} // namespace

QuarantineSharing::QuarantineSharing(Base::VmId self,
                                     RateSharing &rates,
                                     PeerLink &peers,
                                     Telemetry::Log &log,
                                     Telemetry::Metrics &metrics,
                                     std::function<Base::Instant()> now)
    : self_(std::move(self))
    , peers_(peers)
    , log_(log)
    , metrics_(metrics)
    , now_(std::move(now))
{
    JoinExchange exchange;
    exchange.fillRequest
        = [this](PoolJoinRequest &request) { request.quarantineDigest = quarantine_.digest(); };
    exchange.fillResponse = [this](const PoolJoinRequest &request, PoolJoinResponse &response) {
        fillResponse(request, response);
    };
    exchange.onResponse = [this](const Base::VmId &sender, const PoolJoinResponse &response) {
        onJoinResponse(sender, response);
    };
    rates.addJoinExchange(std::move(exchange));
}

bool QuarantineSharing::isQuarantined(const Dispatch::RequestFingerprints &request) const
{
    return quarantine_.isQuarantined(request, now_());
}

/// The daemon itself adds up what it sees, in case that it is cut off from the keepers.
void QuarantineSharing::crashed(const Dispatch::CrashReport &report)
{
    metrics_
        .counter("marjoram_crash_reports_total",
                 "Requests whose server ended the connection before the end of the response")
        .add();
    peers_.sendToKeepers(report.request.path.text(), report);
    onReport(report);
}

void QuarantineSharing::onReport(const Dispatch::CrashReport &report)
{
    for (const QuarantineStatement &statement : quarantine_.crashed(report, now_())) {
        logChange(statement, "crashes");
        decide(statement);
    }
}

void QuarantineSharing::completed(const Dispatch::RequestFingerprints &request)
{
    for (const QuarantineStatement &statement : quarantine_.completed(request, now_())) {
        logChange(statement, "response");
        decide(statement);
    }
}

bool QuarantineSharing::isCoordinatorOf(const RequestFingerprint &request) const
{
    return peers_.roster().coordinatorFor(request.text(), now_()) == self_;
}

/// Tells a decision that this daemon has made or, as the coordinator of the request, has learned.
void QuarantineSharing::decide(const QuarantineStatement &statement)
{
    if (const auto newer = quarantine_.contradiction(statement, now_())) {
        quarantine_.apply(*newer, now_());
        logChange(*newer, "response");
        decide(*newer);
        return;
    }
    const QuarantineNotice notice{{toReport(statement)}};
    if (isCoordinatorOf(statement.request)) {
        peers_.sendToAll(notice);
    } else {
        peers_.send(peers_.roster().coordinatorFor(statement.request.text(), now_()), notice);
    }
}

bool QuarantineSharing::learn(const QuarantineStatement &statement)
{
    if (!quarantine_.apply(statement, now_())) {
        return false;
    }
    logChange(statement, "peer");
    return true;
}

void QuarantineSharing::onNotice(const QuarantineNotice &notice)
{
    for (const QuarantineReport &report : notice.reports) {
        const QuarantineStatement statement = fromReport(report);
        const bool isNews = learn(statement);
        const bool isContradicted = quarantine_.contradiction(statement, now_()).has_value();
        if (isNews && (isContradicted || isCoordinatorOf(statement.request))) {
            decide(statement);
        }
    }
}

void QuarantineSharing::fillResponse(const PoolJoinRequest &request,
                                     PoolJoinResponse &response) const
{
    response.quarantineDigest = quarantine_.digest();
    if (response.quarantineDigest == request.quarantineDigest) {
        return;
    }
    for (const QuarantineStatement &statement : quarantine_.statements()) {
        response.quarantine.push_back(toReport(statement));
    }
}

/// Tells the coordinator of the pool what it does not know, for example since it started again.
void QuarantineSharing::onJoinResponse(const Base::VmId &sender, const PoolJoinResponse &response)
{
    onNotice({response.quarantine});
    if (quarantine_.digest() == response.quarantineDigest) {
        return;
    }
    QuarantineNotice notice;
    for (const QuarantineStatement &statement : quarantine_.statements()) {
        const bool isKnown = std::any_of(
            response.quarantine.begin(), response.quarantine.end(), [&](const auto &report) {
                return report.request == statement.request
                       && report.isQuarantined == statement.isQuarantined
                       && report.duration == statement.duration;
            });
        if (!isKnown) {
            notice.reports.push_back(toReport(statement));
        }
    }
    if (!notice.reports.empty()) {
        peers_.send(sender, std::move(notice));
    }
}

QuarantineReport QuarantineSharing::toReport(const QuarantineStatement &statement) const
{
    const Base::Instant now = now_();
    return {statement.request,
            statement.isQuarantined,
            now - statement.firstCrashAt,
            now - statement.validAt,
            statement.duration};
}

QuarantineStatement QuarantineSharing::fromReport(const QuarantineReport &report) const
{
    const Base::Instant now = now_();
    return {report.request,
            report.isQuarantined,
            now - report.firstCrashAge,
            now - report.age,
            report.duration};
}

void QuarantineSharing::logChange(const QuarantineStatement &statement, const char *source)
{
    log_.write(
        Telemetry::LogLevel::Warning,
        statement.isQuarantined ? "request quarantined" : "request released from quarantine",
        {.team = statement.request.team.text(),
         .step = "quarantine",
         .details
         = {{"request_hash", statement.request.text()},
            {"scope", nameOf(statement.request.scope)},
            {"source", source},
            {"first_crash_ms_ago",
             std::chrono::duration_cast<std::chrono::milliseconds>(now_() - statement.firstCrashAt)
                 .count()}}});
    metrics_.gauge("marjoram_quarantined_requests", "Requests that are kept from all servers")
        .set(static_cast<double>(quarantine_.quarantinedCount(now_())));
}

QuarantineControls quarantineControls(QuarantineSharing &sharing)
{
    QuarantineControls controls;
    controls.isQuarantined
        = [&sharing](const auto &request) { return sharing.isQuarantined(request); };
    controls.crashed = [&sharing](const auto &report) { sharing.crashed(report); };
    controls.completed = [&sharing](const auto &request) { sharing.completed(request); };
    return controls;
}

} // namespace Proxy
