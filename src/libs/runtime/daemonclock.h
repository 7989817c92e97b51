#pragma once

#include <base/instant.h>

namespace Runtime {

/// A monotonic clock that starts at the wall-clock time, so that instants in the journal are valid
/// in other daemons too.
class DaemonClock
{
public:
    DaemonClock()
        : startedSteady_(std::chrono::steady_clock::now())
        , startedWall_(std::chrono::duration_cast<Base::Duration>(
              std::chrono::system_clock::now().time_since_epoch()))
    {}

    Base::Instant now() const
    {
        const auto elapsed = std::chrono::steady_clock::now() - startedSteady_;
        return Base::Instant(startedWall_ + std::chrono::duration_cast<Base::Duration>(elapsed));
    }

private:
    std::chrono::steady_clock::time_point startedSteady_;
    Base::Duration startedWall_;
};

} // namespace Runtime
