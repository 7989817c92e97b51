#include "heartbeattargets.h"

#include <algorithm>

namespace Fleet {

HeartbeatTargets::HeartbeatTargets(HeartbeatTargetSettings settings, std::uint64_t seed)
    : settings_(settings)
    , random_(seed)
{}

std::vector<Base::IncarnationId> HeartbeatTargets::choose(const Members &members)
{
    std::vector<Base::IncarnationId> targets;
    if (!isPartialView(members)) {
        for (const auto &[incarnation, member] : members) {
            if (isReachable(member)) {
                targets.push_back(incarnation);
            }
        }
        return targets;
    }
    while (targets.size() < settings_.peersPerInterval) {
        const std::optional<Base::IncarnationId> target = next(members);
        if (!target || std::ranges::find(targets, *target) != targets.end()) {
            break;
        }
        targets.push_back(*target);
    }
    addFirstContacts(targets, members);
    return targets;
}

void HeartbeatTargets::addFirstContacts(std::vector<Base::IncarnationId> &targets,
                                        const Members &members) const
{
    const std::size_t limit = targets.size() + settings_.firstContactsPerInterval;
    for (const auto &[incarnation, member] : members) {
        if (targets.size() >= limit) {
            return;
        }
        const bool isChosen = std::ranges::find(targets, incarnation) != targets.end();
        if (!member.hasJoined && !member.wasContacted && isReachable(member) && !isChosen) {
            targets.push_back(incarnation);
        }
    }
}

bool HeartbeatTargets::isPartialView(const Members &members) const
{
    const auto reachable
        = std::ranges::count_if(members, [](const auto &item) { return isReachable(item.second); });
    return static_cast<std::size_t>(reachable) > settings_.fullExchangeLimit;
}

std::optional<Base::IncarnationId> HeartbeatTargets::next(const Members &members)
{
    if (remainingTargets_.empty()) {
        refill(members);
    }
    while (!remainingTargets_.empty()) {
        Base::IncarnationId candidate = std::move(remainingTargets_.back());
        remainingTargets_.pop_back();
        const auto found = members.find(candidate);
        if (found != members.end() && isReachable(found->second)) {
            return candidate;
        }
    }
    return std::nullopt;
}

void HeartbeatTargets::refill(const Members &members)
{
    for (const auto &[incarnation, member] : members) {
        if (isReachable(member)) {
            remainingTargets_.push_back(incarnation);
        }
    }
    for (std::size_t i = remainingTargets_.size(); i > 1; --i) {
        std::swap(remainingTargets_[i - 1], remainingTargets_[random_.below(i)]);
    }
}

} // namespace Fleet
