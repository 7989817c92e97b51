#pragma once

#include <optional>
#include <string_view>

// Checks of the lines of HTTP/1.1 messages (RFC 9112), without their line ends. HTTP libraries
// accept more, which two hops may interpret differently.

namespace Base {

/// Returns the status code; nothing if the line is no status line or the code is not valid. Valid
/// codes are from 100 to 599 (RFC 9110, section 15).
std::optional<int> parseStatusLine(std::string_view line);

/// Describes the first error in a header field or trailer; empty if it is valid.
std::string_view fieldLineProblem(std::string_view line);

bool equalsIgnoringCase(std::string_view a, std::string_view b);

/// Returns the text without the blanks around it.
std::string_view trimmed(std::string_view text);

/// Whether the line has control characters other than tabs.
bool hasControlCharacters(std::string_view line);

} // namespace Base
