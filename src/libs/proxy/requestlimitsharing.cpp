#include "requestlimitsharing.h"

#include <base/random.h>

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
    exchange.fillRequest = [this](PoolJoinRequest &) { updateColdCount(); };
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
    return (statement && statement->limit) || cold_.limitOf(instance, now_());
}

void RequestLimitSharing::configure(const std::vector<Contracts::RoutedService> &services)
{
    for (const Contracts::RoutedService &service : services) {
        cold_.configure(service.id, service.coldPeriod, service.coldRate);
    }
}

void RequestLimitSharing::admitColdFrom(Base::Instant time)
{
    for (std::size_t group = 0; group < RateSharing::groupCount; ++group) {
        rates_.pool(group).admitColdFrom(time);
    }
}

void RequestLimitSharing::zoneReopened(const Base::ZoneId &zone)
{
    cold_.zoneReopened(zone, now_());
    log_.write(Telemetry::LogLevel::Info,
               "servers of the zone count as cold",
               {.step = "limit", .details = {{"zone", zone.text()}}});
    updateColdCount();
}

/// All daemons see a server start at about the same time; their permits of it begin at different
/// times, as a split fleet would grant all of them at once otherwise.
void RequestLimitSharing::applyCold(const Base::ServerId &server,
                                    const Dispatch::ColdLimit &cold,
                                    Admission::PermitPool &pool,
                                    Base::Instant now) const
{
    constexpr std::uint64_t steps = 1'000'000;
    const std::uint64_t hash = Base::hash64(self_.text() + "/" + server.text());
    const double phase = static_cast<double>(hash % steps) / static_cast<double>(steps);
    pool.limitColdServer(server, {cold.rate, cold.until, phase}, now);
}

std::optional<ColdReport> RequestLimitSharing::coldReportOf(
    const Dispatch::ServerInstance &instance) const
{
    const Base::Instant now = now_();
    const std::optional<Dispatch::ColdLimit> cold = cold_.limitOf(instance, now);
    return cold ? std::optional(ColdReport{cold->rate, cold->until - now}) : std::nullopt;
}

Admission::PermitVerdict RequestLimitSharing::decide(const Dispatch::ServerInstance &instance,
                                                     const Admission::ServerPermitTerms &terms,
                                                     Admission::PermitPool &pool,
                                                     Base::Instant now) const
{
    if (const auto cold = cold_.limitOf(instance, now)) {
        applyCold(instance.id, *cold, pool, now);
    }
    return pool.admitToServer(instance.id, terms, now);
}

void RequestLimitSharing::updateColdCount()
{
    metrics_.gauge("marjoram_cold_servers", "Servers that have started a short time ago")
        .set(static_cast<double>(cold_.count(now_())));
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
    PermitTask task;
    task.group = groupOf(instance.id);
    task.makeRequest = [this, instance, terms](RequestNumber number) {
        return ServerPermitRequest{number, reportOf(instance), terms, coldReportOf(instance)};
    };
    task.decide = [this, instance, terms](Admission::PermitPool &pool, Base::Instant now) {
        return decide(instance, terms, pool, now);
    };
    task.isPartial = [this, instance](const PermitResponse &response) {
        return !response.isColdApplied && coldReportOf(instance);
    };
    task.returnPermit = [this, instance](const Base::VmId &coordinator) {
        peers_.send(coordinator, ServerPermitReturn{instance.id});
    };
    task.callback =
        [this, instance, callback = std::move(callback)](const Admission::PermitVerdict &verdict) {
            if (!verdict.isAdmitted && cold_.limitOf(instance, now_())) {
                metrics_
                    .counter("marjoram_cold_permits_denied_total",
                             "Permits of cold servers that were denied to this daemon")
                    .add();
            }
            callback(verdict);
        };
    rates_.acquire(std::move(task));
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
    const Dispatch::ServerInstance &instance = request.report.instance;
    rates_.respond(
        sender,
        request.number,
        groupOf(instance.id),
        [&](Admission::PermitPool &pool, Base::Instant now) {
            if (request.cold) {
                applyCold(instance.id, {request.cold->rate, now + request.cold->left}, pool, now);
            }
            return decide(instance, request.terms, pool, now);
        },
        request.cold.has_value());
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
    const auto becameCold = cold_.serversChanged(servers, now_());
    if (!becameCold.empty()) {
        log_.write(Telemetry::LogLevel::Info,
                   "servers have become cold",
                   {.step = "limit",
                    .peer = becameCold.front().id.text(),
                    .details = {{"servers", static_cast<std::int64_t>(becameCold.size())}}});
    }
    updateColdCount();
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
