#pragma once

#include "servicekind.h"

#include <base/instant.h>
#include <base/types.h>

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Contracts {

/// SHA-256 of a key's secret.
using KeyHash = std::array<std::uint8_t, 32>;

/// A key as it is stored; the secret itself is known to its holder only.
struct Key
{
    Base::KeyId id;
    KeyHash hash{};
    std::optional<Base::Instant> validFrom;
    std::optional<Base::Instant> validUntil;
    /// Withdrawn keys stay listed, so that each daemon can tell them from unknown ones.
    bool isWithdrawn = false;

    bool operator==(const Key &) const = default;
};

/// A tenant: what it may use, and the keys that its callers present.
struct Team
{
    Base::TeamId id;
    /// Requests per second and requests at once, over the whole fleet.
    double ratePerSecond = 0;
    double burst = 0;
    Base::Tokens budget;
    /// Share of the backend servers relative to other teams.
    double weight = 1;
    std::vector<Key> keys;

    bool operator==(const Team &) const = default;
};

/// What a service promises: this ratio of calls ends within the latency.
struct ServiceObjective
{
    Base::Duration latency{};
    double ratio = 0;

    bool operator==(const ServiceObjective &) const = default;
};

/// Something that callers may call by name.
struct Service
{
    Base::ServiceId id;
    ServiceKind kind = ServiceKind::Model;
    /// Model name towards the engines; empty for plain services.
    Base::ModelId model;
    bool isIdempotent = false;
    /// Path prefix at the backend servers, such as "/orders".
    std::string route;
    /// Runs without a key for anybody.
    bool isOpenToAll = false;
    /// Teams that may call it; empty for all teams.
    std::vector<Base::TeamId> teams;
    Base::Duration callTimeout = std::chrono::seconds(60);
    std::optional<ServiceObjective> objective;

    /// Whether a request may call the service; the team is that of its key, if it has one.
    bool isOpenTo(const std::optional<Base::TeamId> &team) const;

    bool operator==(const Service &) const = default;
};

/// One backend server of one service.
struct BackendServer
{
    Base::ServerId id;
    Base::ServiceId service;
    /// IP number and port, such as "10.0.0.7:8000".
    std::string address;
    Base::ZoneId zone;
    /// Calls that run at once.
    std::uint32_t slots = 1;
    /// Refuses orders that carry an old fencing number.
    bool honoursFencing = false;
    /// Gets no new work.
    bool isLeaving = false;

    bool operator==(const BackendServer &) const = default;
};

/// One accepted change, by which its writer recognises it when others have followed.
struct AcceptedChange
{
    Base::ConfigVersion version;
    Base::WriteId writeId;

    bool operator==(const AcceptedChange &) const = default;
};

/// Everything that operators configure. The version grows by one with every accepted change.
struct ConfigurationDocument
{
    /// Accepted changes that a document lists.
    static constexpr size_t maxRecentChanges = 16;

    Base::ConfigVersion version;
    /// The latest changes, oldest first.
    std::vector<AcceptedChange> recentChanges;
    std::vector<Team> teams;
    std::vector<Service> services;
    std::vector<BackendServer> servers;

    const Team *findTeam(const Base::TeamId &id) const;
    const Service *findService(const Base::ServiceId &id) const;
    const BackendServer *findServer(const Base::ServerId &id) const;

    bool operator==(const ConfigurationDocument &) const = default;
};

} // namespace Contracts
