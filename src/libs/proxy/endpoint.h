#pragma once

#include <asio/ip/tcp.hpp>

#include <optional>
#include <string>

namespace Proxy {

/// Parses an address such as "10.0.0.7:8000". Returns nothing unless it has an IP address and a
/// port.
std::optional<asio::ip::tcp::endpoint> parseEndpoint(const std::string &address);

} // namespace Proxy
