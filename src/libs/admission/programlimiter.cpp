#include "programlimiter.h"

#include <algorithm>
#include <cmath>

namespace Admission {

namespace {

/// A priority without programs for this long does not count as in use.
constexpr Base::Duration priorityRetention = std::chrono::seconds(10);

/// Weight of the newest control interval in the rate of programs that end.
constexpr double endRateWeight = 0.2;

/// Rate assumed before any program has ended; one program takes some seconds.
constexpr double minEndRate = 0.5;

Base::Duration seconds(double value)
{
    return std::chrono::duration_cast<Base::Duration>(std::chrono::duration<double>(value));
}

} // namespace

ProgramLimiter::ProgramLimiter(ProgramLimiterSettings settings, std::uint64_t seed)
    : settings_(settings)
    , random_(seed)
{}

ProgramVerdict ProgramLimiter::admit(const ProgramProfile &profile, Base::Instant now)
{
    priorities_[profile.priority] = now;
    advance(now);
    if (programs_.contains(profile.program) || !limit_) {
        return {};
    }
    const double room = std::max(1.0, *limit_ * shareOf(profile));
    if (static_cast<double>(programs_.size()) < room) {
        return {};
    }
    return {false, retryAfter(now)};
}

void ProgramLimiter::requestStarted(const ProgramProfile &profile, Base::Instant now)
{
    const auto [entry, isNew]
        = programs_.try_emplace(profile.program, Program{profile.team, profile.priority, 0, now});
    if (isNew) {
        ++teams_[profile.team];
    }
    ++entry->second.requests;
    entry->second.activeAt = now;
    advance(now);
}

void ProgramLimiter::requestEnded(const Base::ProgramId &program, Base::Instant now)
{
    const auto entry = programs_.find(program);
    if (entry == programs_.end() || entry->second.requests == 0) {
        return;
    }
    --entry->second.requests;
    entry->second.activeAt = now;
}

void ProgramLimiter::queueReported(const QueueReport &report, Base::Instant now)
{
    if (report.slots > 0) {
        observe(std::min(2.0, static_cast<double>(report.waiting) / report.slots), now);
    }
}

void ProgramLimiter::requestTimedOut(Base::Instant now)
{
    observe(1, now);
}

void ProgramLimiter::observe(double queue, Base::Instant now)
{
    const double age = Base::toSeconds(now - reportedAt_);
    const double oldWeight = std::exp(-age / Base::toSeconds(settings_.pressureTime));
    // Several reports within a short time count alike.
    constexpr double minWeight = 0.1;
    const double weight = std::max(minWeight, 1 - oldWeight);
    pressure_ += weight * (queue - pressure_);
    reportedAt_ = now;
    ++reports_;
    advance(now);
}

void ProgramLimiter::advance(Base::Instant now)
{
    if (now - controlledAt_ < settings_.controlInterval) {
        return;
    }
    removeEnded(now);
    const double elapsed = std::max(Base::toSeconds(settings_.controlInterval),
                                    std::min(1.0, Base::toSeconds(now - controlledAt_)));
    endRate_ += endRateWeight * (ended_ / elapsed - endRate_);
    ended_ = 0;
    control(now);
    controlledAt_ = now;
    reports_ = 0;
}

void ProgramLimiter::removeEnded(Base::Instant now)
{
    for (auto entry = programs_.begin(); entry != programs_.end();) {
        const Program &program = entry->second;
        if (program.requests > 0 || now - program.activeAt < settings_.idleTime) {
            ++entry;
            continue;
        }
        if (const auto team = teams_.find(program.team); team != teams_.end()) {
            if (--team->second == 0) {
                teams_.erase(team);
            }
        }
        ++ended_;
        entry = programs_.erase(entry);
    }
    std::erase_if(priorities_,
                  [&](const auto &entry) { return now - entry.second >= priorityRetention; });
}

void ProgramLimiter::control(Base::Instant now)
{
    const auto count = static_cast<double>(programs_.size());
    if (limit_ && count >= *limit_ / 2) {
        usedAt_ = now;
    }
    if (limit_ && now - usedAt_ >= settings_.unusedTime) {
        limit_.reset();
    }
    if (reports_ < settings_.minReports) {
        return;
    }
    if (pressure_ > settings_.upperPressure) {
        decrease(now);
    } else if (pressure_ < settings_.lowerPressure) {
        increase(now);
    }
}

/// The effect of a decrease shows only when programs have ended; without the wait the limit would
/// fall to its minimum meanwhile.
void ProgramLimiter::decrease(Base::Instant now)
{
    const auto count = static_cast<double>(programs_.size());
    const bool isEffective = !limit_ || count <= *limit_ * settings_.effectMargin
                             || now - decreasedAt_ >= settings_.longestEffect;
    if (!isEffective) {
        return;
    }
    limit_ = std::max(1.0, settings_.decrease * std::min(limit_.value_or(count), count));
    decreasedAt_ = now;
    usedAt_ = now;
}

void ProgramLimiter::increase(Base::Instant now)
{
    const bool isBinding
        = limit_ && static_cast<double>(programs_.size()) >= settings_.smallestShare * *limit_;
    if (isBinding && now - decreasedAt_ >= settings_.controlInterval) {
        limit_ = std::max(*limit_ * settings_.increase, *limit_ + 0.25);
    }
}

/// Less urgent programs are admitted below a smaller share of the limit, so they are refused first.
double ProgramLimiter::shareOf(const ProgramProfile &profile) const
{
    const auto more = std::distance(priorities_.begin(), priorities_.lower_bound(profile.priority));
    const double level = static_cast<double>(more) + (isHeavy(profile.team) ? 1 : 0);
    return std::max(settings_.smallestShare, 1 - settings_.reservePerLevel * level);
}

bool ProgramLimiter::isHeavy(const Base::TeamId &team) const
{
    const auto entry = teams_.find(team);
    if (entry == teams_.end() || entry->second < settings_.minHeavyTeam) {
        return false;
    }
    const double mean = static_cast<double>(programs_.size()) / static_cast<double>(teams_.size());
    return entry->second >= settings_.heavyTeamFactor * mean;
}

/// Names times one after the other, at the rate at which programs end.
Base::Duration ProgramLimiter::retryAfter(Base::Instant now)
{
    const Base::Duration step = seconds(1 / std::max(minEndRate, endRate_));
    lastReturn_ = std::max(lastReturn_ + step, now + settings_.shortestRetry);
    const Base::Duration wait = std::min(lastReturn_ - now, settings_.longestRetry);
    lastReturn_ = now + wait;
    const double spread = 1 - settings_.retrySpread * random_.unit();
    return std::max(settings_.shortestRetry, seconds(Base::toSeconds(wait) * spread));
}

} // namespace Admission
