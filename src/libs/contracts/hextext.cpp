#include "hextext.h"

#include <charconv>

namespace Contracts {

std::string toHex(std::span<const std::uint8_t> bytes)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(2 * bytes.size());
    for (const std::uint8_t byte : bytes) {
        text.push_back(digits[byte >> 4]);
        text.push_back(digits[byte & 0xf]);
    }
    return text;
}

std::optional<KeyHash> hashFromHex(std::string_view text)
{
    KeyHash hash{};
    if (text.size() != 2 * hash.size()) {
        return std::nullopt;
    }
    for (size_t i = 0; i < hash.size(); ++i) {
        const char *begin = text.data() + 2 * i;
        const auto parsed = std::from_chars(begin, begin + 2, hash[i], 16);
        if (parsed.ec != std::errc() || parsed.ptr != begin + 2) {
            return std::nullopt;
        }
    }
    return hash;
}

} // namespace Contracts
