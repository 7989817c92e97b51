#pragma once

#include "assignment.h"

#include <map>
#include <vector>

namespace Ownership {

/// A daemon that may get partitions.
struct Candidate
{
    Base::IncarnationId incarnation;
    Base::ZoneId zone;

    bool operator==(const Candidate &) const = default;
};

/// Counts the partitions of each candidate and of each zone.
class LoadTable
{
public:
    LoadTable(const Assignment &assignment, const std::vector<Candidate> &candidates);

    bool isEmpty() const { return loads_.empty(); }

    /// Returns the candidate with the fewest partitions; ties are broken by the fewest partitions
    /// in the zone, then by rendezvous hash. The table must not be empty.
    Base::IncarnationId leastLoaded(Base::PartitionId partition) const;

    void add(const Base::IncarnationId &incarnation);

private:
    struct Load
    {
        Base::ZoneId zone;
        std::size_t partitions = 0;
    };

    std::map<Base::IncarnationId, Load> loads_;
    std::map<Base::ZoneId, std::size_t> zoneLoads_;
};

} // namespace Ownership
