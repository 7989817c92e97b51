#include "witnesspromises.h"

namespace Scheduler {

WitnessPromises::WitnessPromises(WitnessPromiseSettings settings)
    : settings_(settings)
{}

void WitnessPromises::sent(const Base::IncarnationId &witness, Base::Instant now)
{
    Witness &entry = witnesses_[witness];
    if (now >= entry.ignoredUntil) {
        entry.unanswered.push_back(now);
    }
}

void WitnessPromises::answered(const Base::IncarnationId &witness, bool isAccepted)
{
    const auto entry = witnesses_.find(witness);
    if (entry == witnesses_.end() || entry->second.unanswered.empty()) {
        return;
    }
    Witness &state = entry->second;
    if (isAccepted) {
        state.promisedAt = state.unanswered.front();
        state.hasPromise = true;
    }
    state.unanswered.pop_front();
}

void WitnessPromises::failed(const Base::IncarnationId &witness, Base::Instant now)
{
    Witness &entry = witnesses_[witness];
    entry.unanswered.clear();
    entry.ignoredUntil = now + settings_.resync;
}

Base::Instant WitnessPromises::until(const std::vector<Base::IncarnationId> &witnesses) const
{
    if (witnesses.empty()) {
        return {};
    }
    Base::Instant earliest = Base::Instant::max();
    for (const Base::IncarnationId &witness : witnesses) {
        const auto entry = witnesses_.find(witness);
        if (entry == witnesses_.end() || !entry->second.hasPromise) {
            return {};
        }
        earliest = std::min(earliest, entry->second.promisedAt + settings_.length);
    }
    return earliest;
}

} // namespace Scheduler
