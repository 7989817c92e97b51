#include "slotborrower.h"

#include <algorithm>

namespace Dispatch {

SlotBorrower::SlotBorrower(Base::IncarnationId self, Base::Duration statementInterval)
    : self_(std::move(self))
    , statementInterval_(statementInterval)
{}

void SlotBorrower::demand(const Base::ServerId &server,
                          std::vector<TeamDemand> demands,
                          Base::Instant now)
{
    Line &line = lines_[server];
    if (line.demands == demands) {
        return;
    }
    line.demands = std::move(demands);
    state(server, line, now);
}

bool SlotBorrower::granted(const SlotGrant &grant)
{
    Line &line = lines_[grant.server];
    line.epoch = std::max(line.epoch, grant.epoch);
    // A repeat may come after the slot was given back, so the last identifiers are kept.
    const std::pair key(grant.epoch, grant.slot);
    if (!line.known.insert(key).second) {
        return false;
    }
    if (line.known.size() > knownLimit) {
        line.known.erase(line.known.begin());
    }
    line.held.push_back(HeldSlot{grant.epoch, grant.slot, grant.team});
    return true;
}

SlotReturn SlotBorrower::giveBack(const Base::ServerId &server,
                                  const HeldSlot &slot,
                                  const Base::TeamId &team,
                                  Base::Tokens cost)
{
    std::erase_if(lines_[server].held, [&](const HeldSlot &held) {
        return held.epoch == slot.epoch && held.slot == slot.slot;
    });
    return SlotReturn{server, slot.epoch, slot.slot, team, cost};
}

void SlotBorrower::ownerChanged(const Base::ServerId &server, Base::Instant now)
{
    const auto it = lines_.find(server);
    if (it != lines_.end()) {
        state(server, it->second, now);
    }
}

void SlotBorrower::serverGone(const Base::ServerId &server)
{
    const auto it = lines_.find(server);
    if (it == lines_.end()) {
        return;
    }
    plan(server, it->second, std::nullopt);
    lines_.erase(it);
}

Base::Epoch SlotBorrower::epoch(const Base::ServerId &server) const
{
    const auto it = lines_.find(server);
    return it == lines_.end() ? Base::Epoch() : it->second.epoch;
}

void SlotBorrower::tick(Base::Instant now)
{
    while (!statements_.empty() && statements_.begin()->first <= now) {
        const Base::ServerId server = statements_.begin()->second;
        state(server, lines_.at(server), now);
    }
}

std::optional<Base::Instant> SlotBorrower::nextWakeUp() const
{
    if (statements_.empty()) {
        return std::nullopt;
    }
    return statements_.begin()->first;
}

std::vector<SlotRequest> SlotBorrower::takeRequests()
{
    return std::exchange(requests_, {});
}

void SlotBorrower::state(const Base::ServerId &server, Line &line, Base::Instant now)
{
    line.number = line.number.next();
    requests_.push_back(SlotRequest{server, self_, line.number, line.demands, line.held});
    const bool isIdle = line.demands.empty() && line.held.empty();
    plan(server, line, isIdle ? std::nullopt : std::optional(now + statementInterval_));
}

void SlotBorrower::plan(const Base::ServerId &server, Line &line, std::optional<Base::Instant> at)
{
    if (line.nextStatement) {
        statements_.erase({*line.nextStatement, server});
    }
    line.nextStatement = at;
    if (at) {
        statements_.emplace(*at, server);
    }
}

} // namespace Dispatch
