#pragma once

#include <base/instant.h>
#include <base/types.h>

#include <cstdint>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace Dispatch {

/// Chooses the servers of one service that preferably keep each shared part of prompts in memory.
/// All daemons choose the same servers without messages: those that rank first by rendezvous
/// hashing, as many as the part's share of the requests calls for.
class PromptAffinity
{
public:
    struct Settings
    {
        /// Time constant of the observed demand.
        Base::Duration demandTime = std::chrono::seconds(30);
        /// Shared parts that a server keeps, on average; bounded by its memory.
        double partsPerServer = 3;
        /// Requests that every part is assumed to have had, and in all, before any was observed.
        double priorDemand = 1;
        double priorTotal = 16;
        /// Servers of a part that is rarely used.
        std::size_t minServers = 2;
        /// Relative change of the number of servers below which they are kept.
        double hysteresis = 0.5;
        std::size_t maxParts = 4096;
    };

    explicit PromptAffinity(Settings settings)
        : settings_(settings)
    {}

    void serversChanged(std::vector<Base::ServerId> servers);
    /// Records one request that begins with the part.
    void observe(std::uint64_t part, Base::Instant now);
    /// The servers that preferably keep the part; null if it was not observed.
    const std::unordered_set<Base::ServerId> *homesOf(std::uint64_t part, Base::Instant now);

private:
    struct Part
    {
        double demand = 0;
        Base::Instant observedAt;
        std::size_t homeCount = 0;
        std::uint64_t listNumber = 0;
        std::unordered_set<Base::ServerId> homes;
    };

    double decayed(double value, Base::Duration age) const;
    void rank(std::uint64_t key, Part &part, std::size_t count) const;
    void dropRareParts(Base::Instant now);

    Settings settings_;
    std::vector<Base::ServerId> servers_;
    std::uint64_t listNumber_ = 0;
    std::unordered_map<std::uint64_t, Part> parts_;
    double totalDemand_ = 0;
    Base::Instant observedAt_;
};

} // namespace Dispatch
