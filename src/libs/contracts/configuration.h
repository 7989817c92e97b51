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

/// A key as it is stored; only its holder knows the secret.
struct Key
{
    Base::KeyId id;
    KeyHash hash{};
    std::optional<Base::Instant> validFrom;
    std::optional<Base::Instant> validUntil;
    /// Withdrawn keys stay in the list, so that daemons can distinguish them from unknown ones.
    bool isWithdrawn = false;

    bool operator==(const Key &) const = default;
};

/// A team with its limits and the keys of its callers.
struct Team
{
    Base::TeamId id;
    /// Requests per second and burst of requests, over the whole fleet.
    double ratePerSecond = 0;
    double burst = 0;
    Base::Tokens budget;
    /// Share of the backend servers relative to other teams.
    double weight = 1;
    std::vector<Key> keys;

    bool operator==(const Team &) const = default;
};

/// Service objective: this ratio of calls ends within the latency.
struct ServiceObjective
{
    Base::Duration latency{};
    double ratio = 0;

    bool operator==(const ServiceObjective &) const = default;
};

/// A service that callers address by its id.
struct Service
{
    Base::ServiceId id;
    ServiceKind kind = ServiceKind::Model;
    /// Model name in requests to the engines; empty for plain services.
    Base::ModelId model;
    bool isIdempotent = false;
    /// Path prefix at the backend servers, such as "/orders".
    std::string route;
    /// Whether calls need no key.
    bool isOpenToAll = false;
    /// Teams that may call it; empty for all teams.
    std::vector<Base::TeamId> teams;
    Base::Duration callTimeout = std::chrono::seconds(60);
    std::optional<ServiceObjective> objective;

    /// Whether a request of the team may call the service; the team is empty without a key.
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
    /// Maximum number of concurrent calls.
    std::uint32_t slots = 1;
    /// Whether the server rejects requests with an outdated fencing token.
    bool honoursFencing = false;
    /// Whether the server gets no new work.
    bool isLeaving = false;

    bool operator==(const BackendServer &) const = default;
};

/// An accepted change. Its writer finds it here if later changes have replaced the document.
struct AcceptedChange
{
    Base::ConfigVersion version;
    Base::WriteId writeId;

    bool operator==(const AcceptedChange &) const = default;
};

/// The configuration that operators maintain. Every accepted change increments the version by one.
struct ConfigurationDocument
{
    /// Maximum number of changes that a document lists.
    static constexpr size_t maxRecentChanges = 16;

    Base::ConfigVersion version;
    /// The latest changes, oldest first.
    std::vector<AcceptedChange> recentChanges;
    std::vector<Team> teams;
    std::vector<Service> services;
    std::vector<BackendServer> servers;
    /// Zones whose servers get no new work.
    std::vector<Base::ZoneId> closedZones;

    bool isClosed(const Base::ZoneId &zone) const;
    /// Whether the server is leaving or in a closed zone.
    bool getsNoWork(const BackendServer &server) const;
    const Team *findTeam(const Base::TeamId &id) const;
    const Service *findService(const Base::ServiceId &id) const;
    const BackendServer *findServer(const Base::ServerId &id) const;

    bool operator==(const ConfigurationDocument &) const = default;
};

} // namespace Contracts
