#pragma once

#include "configuration.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace Contracts {

/// Lower-case hexadecimal digits, two a byte.
std::string toHex(std::span<const std::uint8_t> bytes);

/// Nothing unless the text is a hash's 64 hexadecimal digits.
std::optional<KeyHash> hashFromHex(std::string_view text);

} // namespace Contracts
