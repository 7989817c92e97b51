#include "fluidbucket.h"

#include <algorithm>

namespace Experiment {

std::optional<Base::Duration> FluidBucket::arrive(Base::Instant now, Base::Duration longest)
{
    refill(now);
    // Below zero, permits are promised to calls that wait.
    const double missing = std::max(0.0, 1.0 - level_);
    const double seconds = missing / perSecond_;
    if (seconds > Base::toSeconds(longest)) {
        return std::nullopt;
    }
    level_ -= 1;
    return Base::Duration(static_cast<std::int64_t>(seconds * 1e6));
}

void FluidBucket::take(Base::Instant now)
{
    refill(now);
    level_ -= 1;
}

double FluidBucket::levelAt(Base::Instant later) const
{
    return std::min(burst_, level_ + perSecond_ * Base::toSeconds(later - at_));
}

void FluidBucket::refill(Base::Instant now)
{
    level_ = levelAt(now);
    at_ = now;
}

} // namespace Experiment
