#pragma once

#include <base/instant.h>

#include <ctime>

namespace Proxy {

/// Returns the time of the steady clock as an Instant.
inline Base::Instant steadyNow()
{
    const auto sinceStart = std::chrono::steady_clock::now().time_since_epoch();
    return Base::Instant(std::chrono::duration_cast<Base::Duration>(sinceStart));
}

/// Returns the time of a clock that also goes on while the VM is suspended.
inline Base::Instant continuousNow()
{
    std::timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    const auto sinceStart
        = std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
    return Base::Instant(std::chrono::duration_cast<Base::Duration>(sinceStart));
}

} // namespace Proxy
