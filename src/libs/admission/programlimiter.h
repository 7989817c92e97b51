#pragma once

#include <base/instant.h>
#include <base/random.h>
#include <base/types.h>

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>

namespace Admission {

/// A program, as far as its admission depends on it.
struct ProgramProfile
{
    Base::ProgramId program;
    Base::TeamId team;
    /// 0 is the most urgent.
    std::uint32_t priority = 0;
};

/// Requests at one server, as reported in a response.
struct QueueReport
{
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
};

struct ProgramVerdict
{
    bool isAdmitted = true;
    /// Time after which there is likely room; set for refused programs only.
    Base::Duration retryAfter{};
};

struct ProgramLimiterSettings
{
    /// A program that sends no request for this long has ended. Pauses between turns are shorter.
    Base::Duration idleTime = std::chrono::milliseconds(1000);
    Base::Duration controlInterval = std::chrono::milliseconds(250);
    /// Time constant of the mean of the reported queues.
    Base::Duration pressureTime = std::chrono::milliseconds(700);
    /// Waiting requests per slot at which a turn waits for about a third of its time on the server.
    double upperPressure = 0.3;
    double lowerPressure = 0.1;
    /// Reports in one control interval below which the limit does not change.
    std::uint32_t minReports = 2;
    double decrease = 0.85;
    double increase = 1.05;
    /// The limit decreases again only once the previous decrease has reduced the programs to this
    /// multiple of it, or after the longest time that programs usually take.
    double effectMargin = 1.1;
    Base::Duration longestEffect = std::chrono::seconds(2);
    /// A limit that the programs have not reached half of for this time is lifted.
    Base::Duration unusedTime = std::chrono::seconds(5);
    /// Share of the limit that each level of urgency leaves to the one above it.
    double reservePerLevel = 0.1;
    double smallestShare = 0.6;
    /// A team with this many times the programs of an average team counts as one level less urgent.
    double heavyTeamFactor = 2;
    std::uint32_t minHeavyTeam = 3;
    Base::Duration shortestRetry = std::chrono::milliseconds(150);
    /// Callers wait for a third of the time they have left; the deadline of a turn is 3 s.
    Base::Duration longestRetry = std::chrono::milliseconds(1000);
    /// Random fraction of Retry-After, so that callers that came together do not return together.
    double retrySpread = 0.4;
};

/// Limits the programs in progress at the servers of one service while their queues are long.
/// Counts the programs of this daemon only: the queues of all servers are the same signal for every
/// daemon, and each decrease is relative to the daemon's own programs.
class ProgramLimiter
{
public:
    ProgramLimiter(ProgramLimiterSettings settings, std::uint64_t seed);

    /// Decides on a program that begins.
    ProgramVerdict admit(const ProgramProfile &profile, Base::Instant now);
    /// Each requestStarted() must be followed by one requestEnded().
    void requestStarted(const ProgramProfile &profile, Base::Instant now);
    void requestEnded(const Base::ProgramId &program, Base::Instant now);

    void queueReported(const QueueReport &report, Base::Instant now);
    /// A request got no response before its deadline.
    void requestTimedOut(Base::Instant now);

    /// Programs in progress of this daemon.
    std::size_t programCount() const { return programs_.size(); }
    /// Unset while the servers are not overloaded.
    std::optional<double> limit() const { return limit_; }
    /// Mean of waiting requests per slot.
    double pressure() const { return pressure_; }

private:
    struct Program
    {
        Base::TeamId team;
        std::uint32_t priority = 0;
        std::uint32_t requests = 0;
        Base::Instant activeAt;
    };

    void advance(Base::Instant now);
    void removeEnded(Base::Instant now);
    void control(Base::Instant now);
    void decrease(Base::Instant now);
    void increase(Base::Instant now);
    void observe(double queue, Base::Instant now);
    double shareOf(const ProgramProfile &profile) const;
    bool isHeavy(const Base::TeamId &team) const;
    Base::Duration retryAfter(Base::Instant now);

    ProgramLimiterSettings settings_;
    Base::Random random_;
    std::unordered_map<Base::ProgramId, Program> programs_;
    std::map<Base::TeamId, std::uint32_t> teams_;
    /// Time of the last request by priority.
    std::map<std::uint32_t, Base::Instant> priorities_;
    std::optional<double> limit_;
    double pressure_ = 0;
    Base::Instant reportedAt_;
    std::uint32_t reports_ = 0;
    Base::Instant controlledAt_;
    Base::Instant decreasedAt_;
    /// When the programs last reached half of the limit.
    Base::Instant usedAt_;
    /// Programs that end per second.
    double endRate_ = 0;
    std::uint32_t ended_ = 0;
    /// The time named to the caller that was refused last.
    Base::Instant lastReturn_;
};

} // namespace Admission
