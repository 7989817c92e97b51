#include "zoneclosures.h"

#include <algorithm>

namespace Dispatch {

namespace {

/// All daemons see a zone reopen at about the same time and together could overrun its servers.
constexpr double firstShare = 0.1;
constexpr Base::Duration returnTime = std::chrono::seconds(3);

} // namespace

ClosureChanges ZoneClosures::apply(const std::vector<ClosedZone> &set,
                                   std::uint64_t revision,
                                   Base::Instant now)
{
    ClosureChanges changes;
    if (revision_ && revision <= *revision_) {
        return changes;
    }
    revision_ = revision;
    std::map<Base::ZoneId, std::uint64_t> next;
    for (const ClosedZone &each : set) {
        next.emplace(each.zone, each.revision);
        if (!closed_.contains(each.zone)) {
            changes.closed.push_back(each.zone);
            reopenedAt_.erase(each.zone);
        }
    }
    for (const auto &[zone, closedAt] : closed_) {
        if (!next.contains(zone)) {
            changes.reopened.push_back(zone);
            reopenedAt_[zone] = now;
        }
    }
    closed_ = std::move(next);
    std::erase_if(reopenedAt_,
                  [now](const auto &entry) { return now - entry.second >= returnTime; });
    return changes;
}

double ZoneClosures::returnShare(const Base::ZoneId &zone, Base::Instant now) const
{
    if (isClosed(zone)) {
        return 0;
    }
    const auto reopened = reopenedAt_.find(zone);
    if (reopened == reopenedAt_.end()) {
        return 1;
    }
    const double progress = Base::toSeconds(now - reopened->second) / Base::toSeconds(returnTime);
    return firstShare + (1 - firstShare) * std::clamp(progress, 0.0, 1.0);
}

std::vector<Base::ZoneId> ZoneClosures::returningZones(Base::Instant now) const
{
    std::vector<Base::ZoneId> zones;
    for (const auto &[zone, reopenedAt] : reopenedAt_) {
        if (now - reopenedAt < returnTime) {
            zones.push_back(zone);
        }
    }
    return zones;
}

} // namespace Dispatch
