#include "writeratelimiter.h"

#include <algorithm>

namespace Journal {

namespace {

// Tolerates the rounding of refills, so that a write is available on a wake-up at availableAt().
constexpr double availableThreshold = 1 - 1e-6;
constexpr double microsecondsPerSecond = 1e6;

} // namespace

WriteRateLimiter::WriteRateLimiter(double writesPerSecond, double burst)
    : writesPerSecond_(writesPerSecond)
    , burst_(burst)
    , tokens_(burst)
{}

bool WriteRateLimiter::isAvailable(Base::Instant now)
{
    if (now > refilledAt_) {
        tokens_ = std::min(burst_, tokens_ + Base::toSeconds(now - refilledAt_) * writesPerSecond_);
        refilledAt_ = now;
    }
    return tokens_ >= availableThreshold;
}

void WriteRateLimiter::consume()
{
    tokens_ = std::max(0.0, tokens_ - 1);
}

Base::Instant WriteRateLimiter::availableAt() const
{
    if (tokens_ >= availableThreshold) {
        return refilledAt_;
    }
    const double wait = (1 - tokens_) / writesPerSecond_ * microsecondsPerSecond;
    return refilledAt_ + Base::Duration(static_cast<std::int64_t>(wait) + 1);
}

} // namespace Journal
