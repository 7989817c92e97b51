#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace Backends {

std::string encodeBase64(std::string_view bytes);
/// No value if the text is not Base64.
std::optional<std::string> decodeBase64(std::string_view text);

} // namespace Backends
