#include "requestlimitsharing.h"

#include <algorithm>
#include <set>

namespace Proxy {

namespace {

/// Covers two join requests of each daemon, as a response may be lost.
constexpr Base::Duration announcementTime = std::chrono::milliseconds(1100);

/// Age of a report without a statement; every statement is newer.
constexpr Base::Duration unknownAge = std::chrono::hours(24 * 365);

std::size_t groupOf(const Base::ServerId &server)
{
    return RateSharing::groupOf(server.text());
}

} // namespace

RequestLimitSharing::RequestLimitSharing(Base::VmId self,
                                         RateSharing &rates,
                                         PeerLink &peers,
                                         Telemetry::Log &log,
                                         Telemetry::Metrics &metrics,
                                         std::function<Base::Instant()> now)
    : self_(std::move(self))
    , rates_(rates)
    , peers_(peers)
    , log_(log)
    , metrics_(metrics)
    , now_(std::move(now))
{
    JoinExchange exchange;
    exchange.fillResponse = [this](const PoolJoinRequest &request, PoolJoinResponse &response) {
        response.limits = recentReports(request.groups);
    };
    exchange.onResponse = [this](const auto &, const PoolJoinResponse &response) {
        for (const LimitReport &report : response.limits) {
            onReport(report);
        }
    };
    rates_.addJoinExchange(std::move(exchange));
}

LimitReport RequestLimitSharing::toReport(const Dispatch::LimitStatement &statement) const
{
    return {statement.instance, statement.limit, now_() - statement.validAt};
}

LimitReport RequestLimitSharing::reportOf(const Dispatch::ServerInstance &instance) const
{
    const Dispatch::LimitStatement *statement = limits_.find(instance);
    return statement ? toReport(*statement) : LimitReport{instance, {}, unknownAge};
}

bool RequestLimitSharing::isLimited(const Dispatch::ServerInstance &instance) const
{
    const Dispatch::LimitStatement *statement = limits_.find(instance);
    return statement && statement->limit;
}

std::vector<LimitReport> RequestLimitSharing::recentReports(
    const std::vector<TeamGroup> &groups) const
{
    std::vector<LimitReport> reports;
    for (const Dispatch::LimitStatement &statement :
         limits_.changedSince(now_() - announcementTime)) {
        const TeamGroup group(static_cast<std::int32_t>(groupOf(statement.instance.id)));
        if (std::find(groups.begin(), groups.end(), group) != groups.end()) {
            reports.push_back(toReport(statement));
        }
    }
    return reports;
}

bool RequestLimitSharing::apply(const Dispatch::LimitStatement &statement, const char *source)
{
    if (!limits_.apply(statement, now_())) {
        return false;
    }
    const Base::ServerId &server = statement.instance.id;
    rates_.pool(groupOf(server)).limitServer(server, statement.limit, now_());
    Telemetry::LogFields fields{
        .step = "limit", .peer = server.text(), .details = {{"source", source}}};
    if (statement.limit) {
        fields.details.push_back({"server_limit", statement.limit->value()});
    }
    log_.write(Telemetry::LogLevel::Info,
               statement.limit ? "server limits its requests"
                               : "server limits its requests no more",
               fields);
    metrics_.gauge("marjoram_limited_servers", "Servers that state a limit of their requests")
        .set(static_cast<double>(limits_.size()));
    return true;
}

void RequestLimitSharing::stated(const Dispatch::LimitStatement &statement)
{
    if (!apply(statement, "response")) {
        return;
    }
    const Base::VmId coordinator = rates_.rosterCoordinator(groupOf(statement.instance.id));
    if (coordinator != self_) {
        peers_.send(coordinator, toReport(statement));
    }
}

void RequestLimitSharing::onReport(const LimitReport &report)
{
    apply({report.instance, report.limit, now_() - report.age}, "peer");
}

void RequestLimitSharing::acquire(const Dispatch::ServerInstance &instance,
                                  const Admission::ServerPermitTerms &terms,
                                  PermitCallback callback)
{
    rates_.acquire({groupOf(instance.id),
                    [this, instance, terms](RequestNumber number) {
                        return ServerPermitRequest{number, reportOf(instance), terms};
                    },
                    [server = instance.id, terms](Admission::PermitPool &pool, Base::Instant now) {
                        return pool.admitToServer(server, terms, now);
                    },
                    std::move(callback)});
}

void RequestLimitSharing::refund(const Base::ServerId &server)
{
    const Base::VmId coordinator = rates_.coordinatorOf(groupOf(server));
    if (coordinator == self_) {
        onPermitReturn({server});
    } else {
        peers_.send(coordinator, ServerPermitReturn{server});
    }
}

void RequestLimitSharing::onPermitRequest(const Base::VmId &sender,
                                          const ServerPermitRequest &request)
{
    onReport(request.report);
    rates_.respond(sender,
                   request.number,
                   groupOf(request.report.instance.id),
                   [&request](Admission::PermitPool &pool, Base::Instant now) {
                       return pool.admitToServer(request.report.instance.id, request.terms, now);
                   });
}

void RequestLimitSharing::onPermitReturn(const ServerPermitReturn &permit)
{
    rates_.pool(groupOf(permit.server)).refundToServer(permit.server, now_());
}

void RequestLimitSharing::serversChanged(const std::vector<Dispatch::ListedServer> &servers)
{
    std::set<Dispatch::ServerInstance> listed;
    for (const Dispatch::ListedServer &server : servers) {
        listed.insert(server.instance());
    }
    for (const Base::ServerId &server : limits_.retain(listed)) {
        rates_.pool(groupOf(server)).limitServer(server, {}, now_());
    }
}

LimitControls limitControls(RequestLimitSharing &sharing)
{
    LimitControls controls;
    controls.stated = [&sharing](const auto &statement) { sharing.stated(statement); };
    controls.isLimited = [&sharing](const auto &instance) { return sharing.isLimited(instance); };
    controls.takePermit = [&sharing](const auto &instance, const auto &terms, auto callback) {
        sharing.acquire(instance, terms, std::move(callback));
    };
    controls.returnPermit = [&sharing](const auto &instance) { sharing.refund(instance.id); };
    return controls;
}

} // namespace Proxy
