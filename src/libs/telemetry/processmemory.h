#pragma once

#include <base/types.h>

#include <optional>

namespace Telemetry {

/// Returns the resident memory of this process; nothing if the system does not tell.
std::optional<Base::Bytes> residentMemory();

} // namespace Telemetry
