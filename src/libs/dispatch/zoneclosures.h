#pragma once

#include <base/instant.h>
#include <base/types.h>

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace Dispatch {

/// A zone whose servers get no requests until an operator reopens it.
struct ClosedZone
{
    Base::ZoneId zone;
    /// Revision of the store at which the zone was closed.
    std::uint64_t revision = 0;

    bool operator==(const ClosedZone &) const = default;
};

/// Zones whose state differs from the previous set.
struct ClosureChanges
{
    std::vector<Base::ZoneId> closed;
    std::vector<Base::ZoneId> reopened;

    bool isEmpty() const { return closed.empty() && reopened.empty(); }
};

/// The closed zones, and how fast reopened ones get requests again.
class ZoneClosures
{
public:
    /// Sets the complete set as of the revision. A set that is not newer is ignored.
    ClosureChanges apply(const std::vector<ClosedZone> &set,
                         std::uint64_t revision,
                         Base::Instant now);

    bool isKnown() const { return revision_.has_value(); }
    bool isClosed(const Base::ZoneId &zone) const { return closed_.contains(zone); }
    std::size_t closedCount() const { return closed_.size(); }
    std::uint64_t revision() const { return revision_.value_or(0); }
    /// Share of placements that the zone may get: 0 while it is closed, rising after it reopens, 1
    /// otherwise.
    double returnShare(const Base::ZoneId &zone, Base::Instant now) const;
    /// Zones with a share between 0 and 1.
    std::vector<Base::ZoneId> returningZones(Base::Instant now) const;

private:
    std::map<Base::ZoneId, std::uint64_t> closed_;
    std::map<Base::ZoneId, Base::Instant> reopenedAt_;
    std::optional<std::uint64_t> revision_;
};

} // namespace Dispatch
