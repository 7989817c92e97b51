#include "slotlender.h"

#include <algorithm>
#include <tuple>

namespace Dispatch {

SlotLender::SlotLender(Base::ServerId server, std::uint32_t slots, SlotLenderSettings settings)
    : server_(std::move(server))
    , slots_(slots)
    , settings_(settings)
{}

void SlotLender::acquired(Base::Epoch epoch, Base::Instant now)
{
    epoch_ = epoch;
    lendFrom_ = now + settings_.settleTime;
    isSettling_ = true;
    loans_.clear();
    borrowers_.clear();
    counters_ = TeamCounters();
}

void SlotLender::configured(std::uint32_t slots, bool isLeaving, Base::Instant now)
{
    slots_ = slots;
    isLeaving_ = isLeaving;
    lendFree(now);
}

void SlotLender::requested(const SlotRequest &request, Base::Instant now)
{
    Borrower &borrower = borrowers_[request.borrower];
    if (request.number <= borrower.number) {
        return;
    }
    // New demand is added before old demand is removed, so that a waiting team stays active.
    for (const TeamDemand &demand : request.demands) {
        counters_.enter(demand.team, demand.weight);
    }
    for (const TeamDemand &demand : borrower.demands) {
        counters_.leave(demand.team);
    }
    borrower = Borrower{request.number, request.demands, now};
    reconcile(request, now);
    lendFree(now);
}

void SlotLender::returned(const Base::IncarnationId &borrower,
                          const SlotReturn &slot,
                          Base::Instant now)
{
    const auto it = loans_.find({slot.epoch, slot.slot});
    if (it == loans_.end() || it->second.borrower != borrower) {
        return;
    }
    const double correction = static_cast<double>((slot.cost - it->second.charged).value());
    counters_.charge(it->second.team, correction);
    removeLoan(it);
    lendFree(now);
}

void SlotLender::borrowerGone(const Base::IncarnationId &borrower, Base::Instant now)
{
    for (auto it = loans_.begin(); it != loans_.end();) {
        const auto loan = it++;
        if (loan->second.borrower == borrower) {
            removeLoan(loan);
        }
    }
    const auto it = borrowers_.find(borrower);
    if (it != borrowers_.end()) {
        for (const TeamDemand &demand : it->second.demands) {
            counters_.leave(demand.team);
        }
        borrowers_.erase(it);
    }
    lendFree(now);
}

void SlotLender::tick(Base::Instant now)
{
    isSettling_ = isSettling_ && now < lendFrom_;
    removeTimedOut(now);
    lendFree(now);
}

std::optional<Base::Instant> SlotLender::nextWakeUp() const
{
    std::optional<Base::Instant> next;
    if (isSettling_) {
        next = lendFrom_;
    }
    for (const auto &[id, borrower] : borrowers_) {
        const Base::Instant timedOut = borrower.lastRequestAt + settings_.borrowerTimeout;
        next = next ? std::min(*next, timedOut) : timedOut;
    }
    return next;
}

std::vector<SendSlotGrant> SlotLender::takeActions()
{
    return std::exchange(actions_, {});
}

std::uint32_t SlotLender::backlog() const
{
    std::uint32_t sum = 0;
    for (const auto &[id, borrower] : borrowers_) {
        for (const TeamDemand &demand : borrower.demands) {
            sum += demand.waiting;
        }
    }
    return sum;
}

// Adopts slots lent by an earlier owner, and frees slots whose grant or return was lost.
void SlotLender::reconcile(const SlotRequest &request, Base::Instant now)
{
    const auto isHeld = [&request](const LoanKey &key) {
        return std::any_of(request.held.begin(), request.held.end(), [&](const HeldSlot &held) {
            return LoanKey(held.epoch, held.slot) == key;
        });
    };
    for (auto it = loans_.begin(); it != loans_.end();) {
        const auto loan = it++;
        if (loan->second.borrower == request.borrower
            && now - loan->second.since >= settings_.reconcileGrace && !isHeld(loan->first)) {
            removeLoan(loan);
        }
    }
    for (const HeldSlot &held : request.held) {
        // An unknown slot of this epoch has been returned in the meantime.
        if (held.epoch < epoch_ && !loans_.contains({held.epoch, held.slot})) {
            counters_.enter(held.team, 1);
            loans_[{held.epoch, held.slot}] = Loan{request.borrower, held.team, {}, now};
        }
    }
}

void SlotLender::lendFree(Base::Instant now)
{
    if (isLeaving_ || now < lendFrom_) {
        return;
    }
    while (loans_.size() < slots_) {
        const std::optional<Candidate> candidate = nextCandidate();
        if (!candidate) {
            return;
        }
        lend(*candidate, now);
    }
}

std::optional<SlotLender::Candidate> SlotLender::nextCandidate()
{
    std::optional<Candidate> best;
    const auto keyOf = [](const Candidate &c) {
        return std::tuple(c.counter->service, c.counter->active, c.demand->firstKey, c.borrower);
    };
    for (auto &[id, borrower] : borrowers_) {
        for (TeamDemand &demand : borrower.demands) {
            if (demand.waiting == 0) {
                continue;
            }
            const Candidate candidate{id, &demand, counters_.find(demand.team)};
            if (!best || keyOf(candidate) < keyOf(*best)) {
                best = candidate;
            }
        }
    }
    return best;
}

void SlotLender::lend(const Candidate &candidate, Base::Instant now)
{
    TeamDemand &demand = *candidate.demand;
    demand.waiting--;
    counters_.enter(demand.team, demand.weight);
    counters_.charge(demand.team, static_cast<double>(demand.firstCost.value()));
    lastSlot_ = lastSlot_.next();
    loans_[{epoch_, lastSlot_}] = Loan{candidate.borrower, demand.team, demand.firstCost, now};
    SlotGrant grant{server_, epoch_, lastSlot_, demand.team, backlog()};
    actions_.push_back(SendSlotGrant{candidate.borrower, std::move(grant)});
}

void SlotLender::removeLoan(std::map<LoanKey, Loan>::iterator loan)
{
    counters_.leave(loan->second.team);
    loans_.erase(loan);
}

void SlotLender::removeTimedOut(Base::Instant now)
{
    std::vector<Base::IncarnationId> timedOut;
    for (const auto &[id, borrower] : borrowers_) {
        if (now - borrower.lastRequestAt >= settings_.borrowerTimeout) {
            timedOut.push_back(id);
        }
    }
    for (const Base::IncarnationId &id : timedOut) {
        borrowerGone(id, now);
    }
}

} // namespace Dispatch
