#pragma once

#include <admission/messages.h>

#include <optional>

namespace Experiment {

/// A token bucket whose callers wait for a bounded time: the ideal that grants are compared with.
class FluidBucket
{
public:
    explicit FluidBucket(double perSecond = 1, double burst = 1)
        : perSecond_(perSecond)
        , burst_(burst)
        , level_(burst)
    {}

    /// Time until the call's permit is there; nothing if that is longer than `longest`.
    std::optional<Base::Duration> arrive(Base::Instant now, Base::Duration longest);

    /// A call took a permit.
    void take(Base::Instant now);
    /// Permits that will be there at a later time if none is taken before.
    double levelAt(Base::Instant later) const;

private:
    void refill(Base::Instant now);

    double perSecond_;
    double burst_;
    double level_;
    Base::Instant at_;
};

} // namespace Experiment
