#pragma once

#include <base/types.h>

#include <string>
#include <variant>

/// Messages between daemons about the configuration.
namespace Contracts {

/// An accepted configuration, sent to every peer at once.
struct ConfigPush
{
    Base::ConfigVersion version;
    /// The encoded document.
    std::string body;

    bool operator==(const ConfigPush &) const = default;
};

/// Asks a peer for its version, and for its document if that is newer.
struct ConfigRequest
{
    Base::ConfigVersion known;

    bool operator==(const ConfigRequest &) const = default;
};

struct ConfigAnswer
{
    Base::ConfigVersion version;
    /// The encoded document; empty if the asker has this version or a newer one.
    std::string body;

    bool operator==(const ConfigAnswer &) const = default;
};

using ConfigMessage = std::variant<ConfigPush, ConfigRequest, ConfigAnswer>;

} // namespace Contracts
