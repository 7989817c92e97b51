#pragma once

#include <base/instant.h>

#include <cstdint>

namespace Dispatch {

/// Order between and within teams; the alternatives serve as baselines in experiments.
enum class OrderPolicy {
    /// Weighted virtual token counters between teams, least attained service within a team.
    FairProgramAware,
    FirstComeFirstServed
};

/// Choice of the server; the alternatives serve as baselines in experiments.
enum class PlacementPolicy {
    /// Cache affinity with bounded wait, otherwise the less loaded of two.
    Affinity,
    /// The less loaded of two, without regard to caches.
    LeastLoaded,
    RoundRobin
};

struct DispatchSettings
{
    OrderPolicy order = OrderPolicy::FairProgramAware;
    PlacementPolicy placement = PlacementPolicy::Affinity;
    /// Slots of model engines come by grants from the owner of the server's partition.
    bool isBorrowingSlots = false;
    std::size_t maximumWaitingPerService = 4096;
    std::size_t maximumWaitingPerTeam = 1024;
    /// Prompt tokens that an engine processes in a second, until finished calls tell.
    double prefillPerSecond = 8000;
    /// Cost of one output token relative to one prompt token that is not cached.
    double outputTokenCost = 4;
    /// Attained tokens that one second of waiting makes up for within a team.
    double ageingTokensPerSecond = 500;
    /// Service time assumed for a server that has finished nothing yet.
    Base::Duration initialServiceTime = std::chrono::seconds(2);
    /// Bound calls reconsider their server after this time.
    Base::Duration reconsiderInterval = std::chrono::milliseconds(250);
    std::uint32_t maximumAttempts = 3;
    /// Retries allowed per finished call, and how many may be saved up.
    double retryRatio = 0.1;
    double retryReserve = 10;
    std::uint32_t failuresToEject = 5;
    Base::Duration firstEjection = std::chrono::seconds(2);
    Base::Duration longestEjection = std::chrono::seconds(60);
    Base::Duration probeTimeout = std::chrono::seconds(2);
    /// Share of a service's servers that may be ejected at the same time.
    double maximumEjectedShare = 0.5;
    Base::Duration releaseRetry = std::chrono::seconds(1);
    Base::Duration longestReleaseRetry = std::chrono::seconds(30);
    /// Slot demand and held slots are stated again after this time.
    Base::Duration slotStatementInterval = std::chrono::seconds(2);
};

} // namespace Dispatch
