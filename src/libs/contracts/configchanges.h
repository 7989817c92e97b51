#pragma once

#include "configuration.h"

#include <variant>
#include <vector>

namespace Contracts {

/// The key must be rejected immediately. Keys of removed teams are withdrawn too.
struct KeyWithdrawn
{
    Base::TeamId team;
    Base::KeyId key;

    bool operator==(const KeyWithdrawn &) const = default;
};

/// The server must get no new work.
struct ServerLeaving
{
    Base::ServerId server;

    bool operator==(const ServerLeaving &) const = default;
};

struct ServerRemoved
{
    Base::ServerId server;

    bool operator==(const ServerRemoved &) const = default;
};

/// The server is new, no longer leaving, or its settings changed.
struct ServerChanged
{
    BackendServer server;

    bool operator==(const ServerChanged &) const = default;
};

/// The team is new, or its rate, burst, budget or weight changed.
struct TeamChanged
{
    Base::TeamId team;

    bool operator==(const TeamChanged &) const = default;
};

struct TeamRemoved
{
    Base::TeamId team;

    bool operator==(const TeamRemoved &) const = default;
};

struct ServiceChanged
{
    Base::ServiceId service;

    bool operator==(const ServiceChanged &) const = default;
};

struct ServiceRemoved
{
    Base::ServiceId service;

    bool operator==(const ServiceRemoved &) const = default;
};

using ConfigChange = std::variant<KeyWithdrawn,
                                  ServerLeaving,
                                  ServerRemoved,
                                  ServerChanged,
                                  TeamChanged,
                                  TeamRemoved,
                                  ServiceChanged,
                                  ServiceRemoved>;

/// Returns the changes that a daemon must act on when it switches from one version to another,
/// withdrawn keys first. Starting from an empty document, all withdrawn keys and leaving servers
/// are included.
std::vector<ConfigChange> changesBetween(const ConfigurationDocument &before,
                                         const ConfigurationDocument &after);

} // namespace Contracts
