#include "endpoint.h"

#include <asio/ip/address.hpp>

#include <charconv>

namespace Proxy {

std::optional<asio::ip::tcp::endpoint> parseEndpoint(const std::string &address)
{
    const std::size_t colon = address.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    std::uint16_t port = 0;
    const char *last = address.data() + address.size();
    const auto result = std::from_chars(address.data() + colon + 1, last, port);
    std::error_code error;
    const auto ip = asio::ip::make_address(address.substr(0, colon), error);
    if (error || result.ec != std::errc() || result.ptr != last || port == 0) {
        return std::nullopt;
    }
    return asio::ip::tcp::endpoint(ip, port);
}

} // namespace Proxy
