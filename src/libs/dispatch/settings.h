#pragma once

#include <base/instant.h>

#include <cstdint>

namespace Dispatch {

/// Order of calls between and within teams; the alternatives are baselines for experiments.
enum class OrderPolicy {
    /// Weighted virtual token counters between teams, least attained service within a team.
    FairProgramAware,
    FirstComeFirstServed
};

/// Choice of the server; the alternatives are baselines for experiments.
enum class PlacementPolicy {
    /// Cache affinity with bounded wait, otherwise the less loaded of two servers.
    Affinity,
    /// The less loaded of two servers, regardless of caches.
    LeastLoaded,
    RoundRobin
};

struct DispatchSettings
{
    OrderPolicy order = OrderPolicy::FairProgramAware;
    PlacementPolicy placement = PlacementPolicy::Affinity;
    /// Slots of model engines are granted by the owner of the server's partition.
    bool isBorrowingSlots = false;
    std::size_t maximumWaitingPerService = 4096;
    std::size_t maximumWaitingPerTeam = 1024;
    /// Initial estimate of the prompt tokens that an engine processes per second; updated by calls.
    double prefillPerSecond = 8000;
    /// Cost of one output token relative to one prompt token that is not cached.
    double outputTokenCost = 4;
    /// Attained tokens that one second of waiting offsets within a team.
    double ageingTokensPerSecond = 500;
    /// Service time assumed for a server that has not finished a call yet.
    Base::Duration initialServiceTime = std::chrono::seconds(2);
    /// Interval at which the choice of the server of a waiting call is re-evaluated.
    Base::Duration reconsiderInterval = std::chrono::milliseconds(250);
    std::uint32_t maximumAttempts = 3;
    /// Retries added to the retry budget per finished call, and the maximum of the budget.
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
    /// Interval at which slot demand and held slots are reported again.
    Base::Duration slotRequestInterval = std::chrono::seconds(2);
};

} // namespace Dispatch
