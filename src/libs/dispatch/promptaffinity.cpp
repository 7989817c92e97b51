#include "promptaffinity.h"

#include <base/random.h>

#include <algorithm>
#include <cmath>

namespace Dispatch {

double PromptAffinity::decayed(double value, Base::Duration age) const
{
    return value * std::exp(-Base::toSeconds(age) / Base::toSeconds(settings_.demandTime));
}

void PromptAffinity::serversChanged(std::vector<Base::ServerId> servers)
{
    if (servers == servers_) {
        return;
    }
    servers_ = std::move(servers);
    ++listNumber_;
}

void PromptAffinity::observe(std::uint64_t part, Base::Instant now)
{
    totalDemand_ = decayed(totalDemand_, now - observedAt_) + 1;
    observedAt_ = now;
    if (parts_.size() >= settings_.maxParts && !parts_.contains(part)) {
        dropRareParts(now);
    }
    Part &entry = parts_[part];
    entry.demand = decayed(entry.demand, now - entry.observedAt) + 1;
    entry.observedAt = now;
}

void PromptAffinity::dropRareParts(Base::Instant now)
{
    std::erase_if(parts_, [&](const auto &entry) {
        return decayed(entry.second.demand, now - entry.second.observedAt) < 1;
    });
    if (parts_.size() >= settings_.maxParts) {
        parts_.clear();
    }
}

const std::unordered_set<Base::ServerId> *PromptAffinity::homesOf(std::uint64_t part,
                                                                  Base::Instant now)
{
    const auto found = parts_.find(part);
    if (found == parts_.end()) {
        return nullptr;
    }
    Part &entry = found->second;
    const double demand = decayed(entry.demand, now - entry.observedAt);
    const double total = decayed(totalDemand_, now - observedAt_);
    const double share
        = (demand + settings_.priorDemand) / (total + settings_.priorTotal * settings_.priorDemand);
    const double wanted = share * static_cast<double>(servers_.size()) * settings_.partsPerServer;
    const auto count = std::clamp(static_cast<std::size_t>(std::ceil(wanted)),
                                  std::min(settings_.minServers, servers_.size()),
                                  servers_.size());
    const double change
        = std::abs(static_cast<double>(count) - static_cast<double>(entry.homeCount));
    const bool isCurrent = entry.listNumber == listNumber_ && entry.homeCount > 0
                           && change <= settings_.hysteresis * static_cast<double>(entry.homeCount);
    if (!isCurrent) {
        rank(part, entry, count);
    }
    return &entry.homes;
}

/// Lists that differ by a server differ by one home of some parts.
void PromptAffinity::rank(std::uint64_t key, Part &part, std::size_t count) const
{
    std::vector<std::pair<std::uint64_t, const Base::ServerId *>> ranked;
    ranked.reserve(servers_.size());
    for (const Base::ServerId &server : servers_) {
        ranked.emplace_back(Base::hash64(server.text(), key), &server);
    }
    const auto middle = ranked.begin() + static_cast<std::ptrdiff_t>(count);
    std::nth_element(ranked.begin(), middle, ranked.end());
    part.homes.clear();
    for (auto entry = ranked.begin(); entry != middle; ++entry) {
        part.homes.insert(*entry->second);
    }
    part.homeCount = count;
    part.listNumber = listNumber_;
}

} // namespace Dispatch
