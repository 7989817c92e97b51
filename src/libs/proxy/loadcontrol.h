#pragma once

#include "requesttraits.h"

#include <admission/programdeadlines.h>
#include <admission/programlimiter.h>
#include <dispatch/retrybudget.h>
#include <telemetry/log.h>
#include <telemetry/metrics.h>

#include <map>
#include <memory>
#include <optional>

namespace Proxy {

enum class LoadControlMode {
    /// For services whose servers state the slowness of their VMs.
    Auto,
    On,
    Off
};

/// Why a turn is refused before any server is chosen for it.
struct LoadRefusal
{
    const char *outcome = "";
    const char *detail = "";
    /// Unset if the caller need not come back.
    std::optional<Base::Duration> retryAfter;
};

/// Keeps the work of programs within what the servers can finish: limits the programs in progress,
/// ends those that are too late, and bounds the repeated attempts. One limiter for each service.
class LoadControl
{
public:
    LoadControl(LoadControlMode mode,
                Telemetry::Log &log,
                Telemetry::Metrics &metrics,
                std::uint64_t seed);

    bool isEnabled(const Base::ServiceId &service) const;

    /// Decides on a turn; \a isFirst if it begins its program.
    std::optional<LoadRefusal> decide(const Base::ServiceId &service,
                                      const Admission::ProgramProfile &profile,
                                      bool isFirst,
                                      std::optional<Base::Duration> objective,
                                      Base::Instant now);
    /// Each turnStarted() must be followed by one turnEnded().
    void turnStarted(const Base::ServiceId &service,
                     const Admission::ProgramProfile &profile,
                     Base::Instant now);
    void turnEnded(const Base::ServiceId &service,
                   const Base::ProgramId &program,
                   Base::Instant now);

    void loadReported(const Base::ServiceId &service, const ReportedLoad &load, Base::Instant now);
    void requestTimedOut(const Base::ServiceId &service, Base::Instant now);
    void requestSucceeded(const Base::ServiceId &service);
    /// Takes one repeated attempt from the budget of the service.
    bool takeRetry(const Base::ServiceId &service);
    /// Counts output by whether its program was still within its time.
    void countOutput(Base::Tokens tokens, bool isInTime);

private:
    struct Service
    {
        Service(Admission::ProgramLimiterSettings settings, std::uint64_t seed);

        bool isDetected = false;
        Admission::ProgramLimiter limiter;
        Dispatch::RetryBudget retries;
        std::optional<double> loggedLimit;
        Base::Instant loggedAt;
    };

    Service &service(const Base::ServiceId &id);
    void report(const Base::ServiceId &id, Service &service, Base::Instant now);

    LoadControlMode mode_;
    Telemetry::Log &log_;
    Telemetry::Metrics &metrics_;
    std::uint64_t seed_;
    Admission::ProgramDeadlines deadlines_;
    std::map<Base::ServiceId, std::unique_ptr<Service>> services_;
};

} // namespace Proxy
