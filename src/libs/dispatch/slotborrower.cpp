#include "slotborrower.h"

#include <algorithm>

namespace Dispatch {

SlotBorrower::SlotBorrower(Base::IncarnationId self, Base::Duration requestInterval)
    : self_(std::move(self))
    , requestInterval_(requestInterval)
{}

void SlotBorrower::setDemand(const Base::ServerId &server,
                             std::vector<TeamDemand> demands,
                             Base::Instant now)
{
    Entry &entry = entries_[server];
    if (entry.demands == demands) {
        return;
    }
    entry.demands = std::move(demands);
    sendRequest(server, entry, now);
}

bool SlotBorrower::granted(const SlotGrant &grant)
{
    Entry &entry = entries_[grant.server];
    entry.epoch = std::max(entry.epoch, grant.epoch);
    // A repeat may arrive after the slot was returned, so the last identifiers are kept.
    const std::pair key(grant.epoch, grant.slot);
    if (!entry.seenGrants.insert(key).second) {
        return false;
    }
    if (entry.seenGrants.size() > maxSeenGrants) {
        entry.seenGrants.erase(entry.seenGrants.begin());
    }
    entry.held.push_back(HeldSlot{grant.epoch, grant.slot, grant.team});
    return true;
}

SlotReturn SlotBorrower::returnSlot(const Base::ServerId &server,
                                    const HeldSlot &slot,
                                    const Base::TeamId &team,
                                    Base::Tokens cost)
{
    std::erase_if(entries_[server].held, [&](const HeldSlot &held) {
        return held.epoch == slot.epoch && held.slot == slot.slot;
    });
    return SlotReturn{server, slot.epoch, slot.slot, team, cost};
}

void SlotBorrower::ownerChanged(const Base::ServerId &server, Base::Instant now)
{
    const auto it = entries_.find(server);
    if (it != entries_.end()) {
        sendRequest(server, it->second, now);
    }
}

void SlotBorrower::serverGone(const Base::ServerId &server)
{
    const auto it = entries_.find(server);
    if (it == entries_.end()) {
        return;
    }
    scheduleRequest(server, it->second, std::nullopt);
    entries_.erase(it);
}

Base::Epoch SlotBorrower::epoch(const Base::ServerId &server) const
{
    const auto it = entries_.find(server);
    return it == entries_.end() ? Base::Epoch() : it->second.epoch;
}

void SlotBorrower::tick(Base::Instant now)
{
    while (!scheduled_.empty() && scheduled_.begin()->first <= now) {
        const Base::ServerId server = scheduled_.begin()->second;
        sendRequest(server, entries_.at(server), now);
    }
}

std::optional<Base::Instant> SlotBorrower::nextWakeUp() const
{
    if (scheduled_.empty()) {
        return std::nullopt;
    }
    return scheduled_.begin()->first;
}

std::vector<SlotRequest> SlotBorrower::takeRequests()
{
    return std::exchange(requests_, {});
}

void SlotBorrower::sendRequest(const Base::ServerId &server, Entry &entry, Base::Instant now)
{
    entry.number = entry.number.next();
    requests_.push_back(SlotRequest{server, self_, entry.number, entry.demands, entry.held});
    const bool isIdle = entry.demands.empty() && entry.held.empty();
    scheduleRequest(server, entry, isIdle ? std::nullopt : std::optional(now + requestInterval_));
}

void SlotBorrower::scheduleRequest(const Base::ServerId &server,
                                   Entry &entry,
                                   std::optional<Base::Instant> at)
{
    if (entry.nextRequest) {
        scheduled_.erase({*entry.nextRequest, server});
    }
    entry.nextRequest = at;
    if (at) {
        scheduled_.emplace(*at, server);
    }
}

} // namespace Dispatch
