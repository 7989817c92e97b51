#include "writeallowance.h"

#include <algorithm>

namespace Journal {

namespace {

// Absorbs the rounding of refills, so that a wake-up at availableAt() finds its write.
constexpr double almostOne = 1 - 1e-6;
constexpr double microsecondsPerSecond = 1e6;

} // namespace

WriteAllowance::WriteAllowance(double writesPerSecond, double burst)
    : writesPerSecond_(writesPerSecond)
    , burst_(burst)
    , level_(burst)
{}

bool WriteAllowance::isAvailable(Base::Instant now)
{
    if (now > filledAt_) {
        level_ = std::min(burst_, level_ + Base::toSeconds(now - filledAt_) * writesPerSecond_);
        filledAt_ = now;
    }
    return level_ >= almostOne;
}

void WriteAllowance::spend()
{
    level_ = std::max(0.0, level_ - 1);
}

Base::Instant WriteAllowance::availableAt() const
{
    if (level_ >= almostOne) {
        return filledAt_;
    }
    const double wait = (1 - level_) / writesPerSecond_ * microsecondsPerSecond;
    return filledAt_ + Base::Duration(static_cast<std::int64_t>(wait) + 1);
}

} // namespace Journal
