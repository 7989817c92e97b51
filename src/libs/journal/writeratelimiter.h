#pragma once

#include <base/instant.h>

namespace Journal {

/// Token bucket that limits the rate of a state machine's writes and deletions in the store.
class WriteRateLimiter
{
public:
    WriteRateLimiter(double writesPerSecond, double burst);

    bool isAvailable(Base::Instant now);
    /// Consumes one write; only if isAvailable().
    void consume();
    /// Time of the next allowed write, as of the last isAvailable().
    Base::Instant availableAt() const;

private:
    double writesPerSecond_;
    double burst_;
    double tokens_;
    Base::Instant refilledAt_;
};

} // namespace Journal
