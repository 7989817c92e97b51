#pragma once

#include "configuration.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace Contracts {

/// Returns lower-case hexadecimal digits, two per byte.
std::string toHex(std::span<const std::uint8_t> bytes);

/// Empty unless the text consists of the 64 hexadecimal digits of a hash.
std::optional<KeyHash> hashFromHex(std::string_view text);

} // namespace Contracts
