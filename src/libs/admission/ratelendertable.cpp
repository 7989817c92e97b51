#include "ratelendertable.h"

#include <utility>

namespace Admission {

RateLenderTable::RateLenderTable(LenderSettings settings)
    : settings_(settings)
{}

void RateLenderTable::acquired(const Base::TeamId &team,
                               RateLimit limit,
                               Base::Epoch epoch,
                               Base::Instant now,
                               Base::Instant waitUntil,
                               Base::Instant leaseUntil)
{
    const auto it = lenders_.try_emplace(team, Entry{RateLender(team, limit, settings_), {}}).first;
    it->second.lender.configured(limit, now);
    it->second.lender.acquired(epoch, now, waitUntil, leaseUntil);
    collectActions(team, it->second);
}

void RateLenderTable::renewed(Base::Instant leaseUntil)
{
    for (auto &[team, entry] : lenders_) {
        entry.lender.renewed(leaseUntil);
        collectActions(team, entry);
    }
}

void RateLenderTable::lost(const Base::TeamId &team)
{
    const auto it = lenders_.find(team);
    if (it == lenders_.end()) {
        return;
    }
    if (it->second.wakeUp) {
        wakeUps_.erase({*it->second.wakeUp, team});
    }
    lenders_.erase(it);
}

void RateLenderTable::configured(const Base::TeamId &team, RateLimit limit, Base::Instant now)
{
    const auto it = lenders_.find(team);
    if (it != lenders_.end()) {
        it->second.lender.configured(limit, now);
        collectActions(team, it->second);
    }
}

void RateLenderTable::requested(const GrantRequest &request, Base::Instant now)
{
    const auto it = lenders_.find(request.team);
    if (it != lenders_.end()) {
        it->second.lender.requested(request, now);
        collectActions(request.team, it->second);
    }
}

void RateLenderTable::returned(const GrantReturn &grantReturn, Base::Instant now)
{
    const auto it = lenders_.find(grantReturn.team);
    if (it != lenders_.end()) {
        it->second.lender.returned(grantReturn, now);
        collectActions(grantReturn.team, it->second);
    }
}

void RateLenderTable::tick(Base::Instant now)
{
    while (!wakeUps_.empty() && wakeUps_.begin()->first <= now) {
        const Base::TeamId team = wakeUps_.begin()->second;
        wakeUps_.erase(wakeUps_.begin());
        Entry &entry = lenders_.at(team);
        entry.wakeUp.reset();
        entry.lender.tick(now);
        collectActions(team, entry);
    }
}

std::optional<Base::Instant> RateLenderTable::nextWakeUp() const
{
    if (wakeUps_.empty()) {
        return std::nullopt;
    }
    return wakeUps_.begin()->first;
}

std::vector<SendGrant> RateLenderTable::takeActions()
{
    return std::exchange(actions_, {});
}

void RateLenderTable::collectActions(const Base::TeamId &team, Entry &entry)
{
    for (SendGrant &action : entry.lender.takeActions()) {
        actions_.push_back(std::move(action));
    }
    const std::optional<Base::Instant> next = entry.lender.nextWakeUp();
    if (next == entry.wakeUp) {
        return;
    }
    if (entry.wakeUp) {
        wakeUps_.erase({*entry.wakeUp, team});
    }
    if (next) {
        wakeUps_.emplace(*next, team);
    }
    entry.wakeUp = next;
}

} // namespace Admission
