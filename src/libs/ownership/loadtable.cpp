#include "loadtable.h"

#include <base/random.h>

#include <algorithm>
#include <tuple>

namespace Ownership {

LoadTable::LoadTable(const Assignment &assignment, const std::vector<Candidate> &candidates)
{
    for (const Candidate &candidate : candidates) {
        loads_.emplace(candidate.incarnation, Load{candidate.zone});
        zoneLoads_.emplace(candidate.zone, 0);
    }
    for (const PartitionEntry &entry : assignment.entries) {
        add(entry.owner);
    }
}

bool LoadTable::contains(const Base::IncarnationId &incarnation) const
{
    return loads_.contains(incarnation);
}

Base::IncarnationId LoadTable::leastLoaded(Base::PartitionId partition) const
{
    const auto cost = [&](const auto &item) {
        const auto &[incarnation, load] = item;
        return std::tuple(load.partitions,
                          zoneLoads_.at(load.zone),
                          Base::hash64(incarnation.text(), partition.value()));
    };
    return std::ranges::min_element(loads_, {}, cost)->first;
}

void LoadTable::add(const Base::IncarnationId &incarnation)
{
    const auto found = loads_.find(incarnation);
    if (found == loads_.end()) {
        return;
    }
    ++found->second.partitions;
    ++zoneLoads_[found->second.zone];
}

void LoadTable::remove(const Base::IncarnationId &incarnation)
{
    const auto found = loads_.find(incarnation);
    if (found == loads_.end() || found->second.partitions == 0) {
        return;
    }
    --found->second.partitions;
    --zoneLoads_[found->second.zone];
}

std::vector<Base::IncarnationId> LoadTable::byLoad() const
{
    std::vector<Base::IncarnationId> incarnations;
    for (const auto &[incarnation, load] : loads_) {
        incarnations.push_back(incarnation);
    }
    std::ranges::stable_sort(incarnations, {}, [&](const Base::IncarnationId &incarnation) {
        return loadOf(incarnation);
    });
    return incarnations;
}

std::size_t LoadTable::loadOf(const Base::IncarnationId &incarnation) const
{
    const auto found = loads_.find(incarnation);
    return found == loads_.end() ? 0 : found->second.partitions;
}

} // namespace Ownership
