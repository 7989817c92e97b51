#pragma once

#include <base/instant.h>

namespace Proxy {

/// The steady clock on the time line of the decisions.
inline Base::Instant steadyNow()
{
    const auto sinceStart = std::chrono::steady_clock::now().time_since_epoch();
    return Base::Instant(std::chrono::duration_cast<Base::Duration>(sinceStart));
}

} // namespace Proxy
