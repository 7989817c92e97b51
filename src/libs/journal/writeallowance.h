#pragma once

#include <base/instant.h>

namespace Journal {

/// Token bucket over one daemon's journal writes.
class WriteAllowance
{
public:
    WriteAllowance(double writesPerSecond, double burst);

    bool isAvailable(Base::Instant now);
    /// Takes one write; only after isAvailable().
    void spend();
    /// When the next write is allowed, as of the last isAvailable().
    Base::Instant availableAt() const;

private:
    double writesPerSecond_;
    double burst_;
    double level_;
    Base::Instant filledAt_;
};

} // namespace Journal
