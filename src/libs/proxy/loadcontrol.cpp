#include "loadcontrol.h"

namespace Proxy {

namespace {

/// Repeated attempts per success, and those that are possible at once.
constexpr double retryRatio = 0.1;
constexpr double retryReserve = 10;

/// Shortest time between two log lines about the limit of one service.
constexpr Base::Duration logInterval = std::chrono::seconds(1);

} // namespace

LoadControl::Service::Service(Admission::ProgramLimiterSettings settings, std::uint64_t seed)
    : limiter(settings, seed)
    , retries(retryRatio, retryReserve)
{}

LoadControl::LoadControl(LoadControlMode mode,
                         Telemetry::Log &log,
                         Telemetry::Metrics &metrics,
                         std::uint64_t seed)
    : mode_(mode)
    , log_(log)
    , metrics_(metrics)
    , seed_(seed)
    , deadlines_({})
{}

LoadControl::Service &LoadControl::service(const Base::ServiceId &id)
{
    std::unique_ptr<Service> &entry = services_[id];
    if (!entry) {
        entry = std::make_unique<Service>(Admission::ProgramLimiterSettings{}, seed_);
    }
    return *entry;
}

bool LoadControl::isEnabled(const Base::ServiceId &service) const
{
    if (mode_ != LoadControlMode::Auto) {
        return mode_ == LoadControlMode::On;
    }
    const auto entry = services_.find(service);
    return entry != services_.end() && entry->second->isDetected;
}

std::optional<LoadRefusal> LoadControl::decide(const Base::ServiceId &id,
                                               const Admission::ProgramProfile &profile,
                                               bool isFirst,
                                               std::optional<Base::Duration> objective,
                                               Base::Instant now)
{
    if (!isEnabled(id)) {
        return std::nullopt;
    }
    Service &entry = service(id);
    if (!isFirst) {
        if (!deadlines_.isTooLate(profile.program, now)) {
            return std::nullopt;
        }
        metrics_
            .counter("marjoram_programs_ended_late_total",
                     "Turns refused because their program would end too late")
            .add();
        return LoadRefusal{"too_late", "the program cannot end in time any more", {}};
    }
    const Admission::ProgramVerdict verdict = entry.limiter.admit(profile, now);
    report(id, entry, now);
    if (!verdict.isAdmitted) {
        metrics_
            .counter("marjoram_programs_refused_total",
                     "Programs refused while the servers are overloaded")
            .add();
        return LoadRefusal{
            "overload", "the servers have no room for new programs", verdict.retryAfter};
    }
    if (objective) {
        deadlines_.programStarted(profile.program, *objective, now);
    }
    return std::nullopt;
}

void LoadControl::turnStarted(const Base::ServiceId &id,
                              const Admission::ProgramProfile &profile,
                              Base::Instant now)
{
    service(id).limiter.requestStarted(profile, now);
}

void LoadControl::turnEnded(const Base::ServiceId &id,
                            const Base::ProgramId &program,
                            Base::Instant now)
{
    service(id).limiter.requestEnded(program, now);
}

void LoadControl::loadReported(const Base::ServiceId &id,
                               const ReportedLoad &load,
                               Base::Instant now)
{
    Service &entry = service(id);
    entry.isDetected = entry.isDetected || load.slowness;
    entry.limiter.queueReported({load.waiting, load.slots}, now);
    report(id, entry, now);
}

void LoadControl::requestTimedOut(const Base::ServiceId &id, Base::Instant now)
{
    service(id).limiter.requestTimedOut(now);
}

void LoadControl::requestSucceeded(const Base::ServiceId &id)
{
    service(id).retries.succeeded();
}

bool LoadControl::takeRetry(const Base::ServiceId &id)
{
    return !isEnabled(id) || service(id).retries.withdraw();
}

void LoadControl::countOutput(Base::Tokens tokens, bool isInTime)
{
    metrics_
        .counter("marjoram_output_tokens_total",
                 "Tokens forwarded to callers, by whether the program was within its time",
                 {{"in_time", isInTime ? "yes" : "no"}})
        .add(static_cast<std::uint64_t>(tokens.value()));
}

void LoadControl::report(const Base::ServiceId &id, Service &entry, Base::Instant now)
{
    if (!isEnabled(id)) {
        return;
    }
    const Telemetry::MetricLabels labels{{"service", id.text()}};
    const std::optional<double> limit = entry.limiter.limit();
    metrics_.gauge("marjoram_programs_in_progress", "Programs in progress of this daemon", labels)
        .set(static_cast<double>(entry.limiter.programCount()));
    metrics_.gauge("marjoram_program_limit", "Limit of those programs; 0 if there is none", labels)
        .set(limit.value_or(0));
    metrics_.gauge("marjoram_server_pressure", "Mean of waiting requests per slot", labels)
        .set(entry.limiter.pressure());
    if (limit == entry.loggedLimit || now - entry.loggedAt < logInterval) {
        return;
    }
    entry.loggedLimit = limit;
    entry.loggedAt = now;
    log_.write(Telemetry::LogLevel::Info,
               limit ? "programs in progress are limited" : "programs in progress are not limited",
               {.step = "admission",
                .details = {{"service", id.text()},
                            {"limit", limit.value_or(0)},
                            {"programs", static_cast<std::int64_t>(entry.limiter.programCount())},
                            {"pressure", entry.limiter.pressure()}}});
}

} // namespace Proxy
