#pragma once

#include <chrono>

namespace Base {

/// Tag of the time line that decisions see; it has no now(), time is always an argument.
struct DecisionClock
{};

using Duration = std::chrono::microseconds;
using Instant = std::chrono::time_point<DecisionClock, Duration>;

/// Seconds as a floating-point number, for rates and averages.
inline double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace Base
