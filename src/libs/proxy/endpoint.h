#pragma once

#include <asio/ip/tcp.hpp>

#include <optional>
#include <string>

namespace Proxy {

/// "10.0.0.7:8000"; nothing unless it is an IP number and a port.
std::optional<asio::ip::tcp::endpoint> parseEndpoint(const std::string &address);

} // namespace Proxy
