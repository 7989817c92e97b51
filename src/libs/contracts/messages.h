#pragma once

#include <base/types.h>

#include <string>
#include <variant>

/// Messages between daemons about the configuration.
namespace Contracts {

/// An accepted configuration, sent to every peer immediately.
struct ConfigPush
{
    Base::ConfigVersion version;
    /// The encoded document.
    std::string body;

    bool operator==(const ConfigPush &) const = default;
};

/// Requests a peer's version, and its document if that is newer.
struct ConfigRequest
{
    Base::ConfigVersion known;

    bool operator==(const ConfigRequest &) const = default;
};

/// Response to a ConfigRequest.
struct ConfigResponse
{
    Base::ConfigVersion version;
    /// The encoded document; empty if the requester has this version or a newer one.
    std::string body;

    bool operator==(const ConfigResponse &) const = default;
};

using ConfigMessage = std::variant<ConfigPush, ConfigRequest, ConfigResponse>;

} // namespace Contracts
