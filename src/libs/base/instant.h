#pragma once

#include <chrono>

namespace Base {

/// Clock tag of instants in decision code; it has no now(), time is always passed as an argument.
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
