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
    // New demand enters before old demand leaves, so that a team that goes on waiting stays active.
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
    drop(it);
    lendFree(now);
}

void SlotLender::borrowerGone(const Base::IncarnationId &borrower, Base::Instant now)
{
    for (auto it = loans_.begin(); it != loans_.end();) {
        const auto loan = it++;
        if (loan->second.borrower == borrower) {
            drop(loan);
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
    dropSilent(now);
    lendFree(now);
}

std::optional<Base::Instant> SlotLender::nextWakeUp() const
{
    std::optional<Base::Instant> next;
    if (isSettling_) {
        next = lendFrom_;
    }
    for (const auto &[id, borrower] : borrowers_) {
        const Base::Instant silent = borrower.statedAt + settings_.silenceLimit;
        next = next ? std::min(*next, silent) : silent;
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

// Adopts slots that an earlier owner lent, and frees those whose grant or return was lost.
void SlotLender::reconcile(const SlotRequest &request, Base::Instant now)
{
    const auto names = [&request](const LoanKey &key) {
        return std::any_of(request.held.begin(), request.held.end(), [&](const HeldSlot &held) {
            return LoanKey(held.epoch, held.slot) == key;
        });
    };
    for (auto it = loans_.begin(); it != loans_.end();) {
        const auto loan = it++;
        if (loan->second.borrower == request.borrower
            && now - loan->second.since >= settings_.statementGrace && !names(loan->first)) {
            drop(loan);
        }
    }
    for (const HeldSlot &held : request.held) {
        // A slot of this epoch that is not known was returned meanwhile.
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

void SlotLender::drop(std::map<LoanKey, Loan>::iterator loan)
{
    counters_.leave(loan->second.team);
    loans_.erase(loan);
}

void SlotLender::dropSilent(Base::Instant now)
{
    std::vector<Base::IncarnationId> silent;
    for (const auto &[id, borrower] : borrowers_) {
        if (now - borrower.statedAt >= settings_.silenceLimit) {
            silent.push_back(id);
        }
    }
    for (const Base::IncarnationId &id : silent) {
        borrowerGone(id, now);
    }
}

} // namespace Dispatch
