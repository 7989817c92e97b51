#pragma once

#include "configuration.h"

#include <variant>
#include <vector>

namespace Contracts {

/// The key must stop working at once. Keys of removed teams are withdrawn too.
struct KeyWithdrawn
{
    Base::TeamId team;
    Base::KeyId key;

    bool operator==(const KeyWithdrawn &) const = default;
};

/// The server gets no new work.
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

/// What a daemon has to act on when it goes from one version to another; withdrawn keys first.
/// From an empty document, every withdrawn key and leaving server is listed.
std::vector<ConfigChange> changesBetween(const ConfigurationDocument &before,
                                         const ConfigurationDocument &after);

} // namespace Contracts
