#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace Backends {

std::string encodeBase64(std::string_view bytes);
/// Returns no value if the text is not valid Base64.
std::optional<std::string> decodeBase64(std::string_view text);

} // namespace Backends
