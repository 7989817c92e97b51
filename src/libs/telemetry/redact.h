#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace Telemetry {

/// Replaces bearer tokens, values of names such as "password", and words that contain a key
/// prefix by "***".
std::string redact(std::string_view text, const std::vector<std::string> &keyPrefixes);

} // namespace Telemetry
