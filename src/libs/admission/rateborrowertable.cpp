#include "rateborrowertable.h"

#include <utility>

namespace Admission {

RateBorrowerTable::RateBorrowerTable(Base::IncarnationId self, BorrowerSettings settings)
    : self_(std::move(self))
    , settings_(settings)
{}

void RateBorrowerTable::configured(const Base::TeamId &team, RateLimit limit)
{
    const auto [it, isNew]
        = borrowers_.try_emplace(team, Entry{RateBorrower(team, self_, limit, settings_), {}});
    if (!isNew) {
        it->second.borrower.configured(limit);
    }
}

void RateBorrowerTable::removed(const Base::TeamId &team, Base::Instant now)
{
    const auto it = borrowers_.find(team);
    if (it == borrowers_.end()) {
        return;
    }
    it->second.borrower.refuseAll(now);
    collectActions(team, it->second);
    if (it->second.wakeUp) {
        wakeUps_.erase({*it->second.wakeUp, team});
    }
    borrowers_.erase(it);
}

void RateBorrowerTable::arrived(const Base::TeamId &team,
                                Base::RequestId request,
                                Base::Instant deadline,
                                Base::Instant now)
{
    const auto it = borrowers_.find(team);
    if (it == borrowers_.end()) {
        Base::Error error;
        error.code = Base::ErrorCode::Unauthorized;
        error.step = Base::Step::Admit;
        error.message = "unknown team";
        actions_.push_back(RefuseCall{team, request, std::move(error), false});
        return;
    }
    it->second.borrower.arrived(request, deadline, now);
    collectActions(team, it->second);
}

void RateBorrowerTable::cancelled(const Base::TeamId &team,
                                  Base::RequestId request,
                                  Base::Instant now)
{
    const auto it = borrowers_.find(team);
    if (it != borrowers_.end()) {
        it->second.borrower.cancelled(request, now);
        collectActions(team, it->second);
    }
}

void RateBorrowerTable::granted(const Grant &grant, Base::Instant now)
{
    const auto it = borrowers_.find(grant.team);
    if (it != borrowers_.end()) {
        it->second.borrower.granted(grant, now);
        collectActions(grant.team, it->second);
    }
}

void RateBorrowerTable::ownerChanged(const Base::TeamId &team, Base::Instant now)
{
    const auto it = borrowers_.find(team);
    if (it != borrowers_.end()) {
        it->second.borrower.ownerChanged(now);
        collectActions(team, it->second);
    }
}

void RateBorrowerTable::tick(Base::Instant now)
{
    while (!wakeUps_.empty() && wakeUps_.begin()->first <= now) {
        const Base::TeamId team = wakeUps_.begin()->second;
        wakeUps_.erase(wakeUps_.begin());
        Entry &entry = borrowers_.at(team);
        entry.wakeUp.reset();
        entry.borrower.tick(now);
        collectActions(team, entry);
    }
}

std::optional<Base::Instant> RateBorrowerTable::nextWakeUp() const
{
    if (wakeUps_.empty()) {
        return std::nullopt;
    }
    return wakeUps_.begin()->first;
}

std::vector<BorrowerAction> RateBorrowerTable::takeActions()
{
    return std::exchange(actions_, {});
}

std::size_t RateBorrowerTable::waiting(const Base::TeamId &team) const
{
    const auto it = borrowers_.find(team);
    return it == borrowers_.end() ? 0 : it->second.borrower.waiting();
}

void RateBorrowerTable::collectActions(const Base::TeamId &team, Entry &entry)
{
    for (BorrowerAction &action : entry.borrower.takeActions()) {
        actions_.push_back(std::move(action));
    }
    const std::optional<Base::Instant> next = entry.borrower.nextWakeUp();
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
