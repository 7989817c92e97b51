#pragma once

#include <base/instant.h>

namespace Proxy {

/// Returns the time of the steady clock as an Instant.
inline Base::Instant steadyNow()
{
    const auto sinceStart = std::chrono::steady_clock::now().time_since_epoch();
    return Base::Instant(std::chrono::duration_cast<Base::Duration>(sinceStart));
}

} // namespace Proxy
