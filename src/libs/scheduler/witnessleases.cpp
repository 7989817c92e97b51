#include "witnessleases.h"

namespace Scheduler {

WitnessLeases::WitnessLeases(WitnessLeaseSettings settings)
    : settings_(settings)
{}

void WitnessLeases::appendSent(const Base::IncarnationId &witness, Base::Instant now)
{
    Witness &entry = witnesses_[witness];
    if (now >= entry.ignoredUntil) {
        entry.appendsInFlight.push_back(now);
    }
}

void WitnessLeases::replyReceived(const Base::IncarnationId &witness, bool isAccepted)
{
    const auto entry = witnesses_.find(witness);
    if (entry == witnesses_.end() || entry->second.appendsInFlight.empty()) {
        return;
    }
    Witness &state = entry->second;
    if (isAccepted) {
        state.renewedAt = state.appendsInFlight.front();
        state.isHeld = true;
    }
    state.appendsInFlight.pop_front();
}

void WitnessLeases::sendFailed(const Base::IncarnationId &witness, Base::Instant now)
{
    Witness &entry = witnesses_[witness];
    entry.appendsInFlight.clear();
    entry.ignoredUntil = now + settings_.resyncDelay;
}

Base::Instant WitnessLeases::expiry(const std::vector<Base::IncarnationId> &witnesses) const
{
    if (witnesses.empty()) {
        return {};
    }
    Base::Instant earliest = Base::Instant::max();
    for (const Base::IncarnationId &witness : witnesses) {
        const auto entry = witnesses_.find(witness);
        if (entry == witnesses_.end() || !entry->second.isHeld) {
            return {};
        }
        earliest = std::min(earliest, entry->second.renewedAt + settings_.duration);
    }
    return earliest;
}

} // namespace Scheduler
