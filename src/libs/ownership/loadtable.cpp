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

} // namespace Ownership
