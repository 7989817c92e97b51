#include "turnadmission.h"

#include <base/visitor.h>

#include <asio/post.hpp>

#include <algorithm>

namespace Proxy {

namespace {

/// Interval at which programs that were idle for longer than their retention are removed.
constexpr Base::Duration sweepInterval = std::chrono::seconds(10);

/// After an allocation that the store did not answer, allocations go to other daemons first for
/// this time.
constexpr Base::Duration relayPeriod = std::chrono::seconds(1);

/// Daemons that are asked to write an allocation; a store that rejects some VMs serves most of
/// them.
constexpr int maxRelayAttempts = 4;

/// Requests for the tokens of one turn: two to a lost coordinator, two to the next by rank.
constexpr int maxCoordinatorAttempts = 4;

BudgetVerdict toBudgetVerdict(Programs::TurnVerdict verdict)
{
    switch (verdict) {
    case Programs::TurnVerdict::Admitted:
        return BudgetVerdict::Admitted;
    case Programs::TurnVerdict::Exhausted:
        return BudgetVerdict::Exhausted;
    case Programs::TurnVerdict::Unavailable:
        break;
    }
    return BudgetVerdict::Unavailable;
}

} // namespace

TurnAdmission::TurnAdmission(asio::io_context &context,
                             Base::VmId self,
                             Base::IncarnationId incarnation,
                             PeerLink &peers,
                             GroupWriter writer,
                             std::function<Base::Instant()> now)
    : self_(std::move(self))
    , peers_(peers)
    , ledger_(std::move(incarnation), {})
    , groups_({})
    , writer_(std::move(writer))
    , now_(std::move(now))
    , timer_(context)
{}

bool TurnAdmission::mayOverdraw(const Base::ProgramId &program) const
{
    return hasMajority_ && hasMajority_()
           && peers_.roster().isPreferredCoordinator(coordinatorKey(program));
}

/// All programs of a group have the same coordinator, so that their allocations are written
/// together.
std::string TurnAdmission::coordinatorKey(const Base::ProgramId &program) const
{
    return "claims/" + std::to_string(groups_.groupOf(program).value());
}

/// An isolated daemon is the coordinator of all programs that it serves.
Base::VmId TurnAdmission::coordinatorOf(const Base::ProgramId &program) const
{
    if (peers_.isIsolated()) {
        return self_;
    }
    return peers_.roster().coordinatorFor(coordinatorKey(program), now_());
}

Programs::ReservationId TurnAdmission::addCallback(VerdictCallback callback)
{
    lastId_ = lastId_.next();
    callbacks_.emplace(lastId_, std::move(callback));
    return lastId_;
}

Programs::ReservationId TurnAdmission::reserve(const RequestTraits &turn,
                                               Base::Duration retention,
                                               std::function<void(BudgetVerdict)> callback)
{
    const Programs::ReservationId id = addCallback(
        [callback = std::move(callback)](Programs::TurnVerdict verdict, Base::Tokens) {
            callback(toBudgetVerdict(verdict));
        });
    Programs::TurnReservation reservation{
        id, turn.program, *turn.programBudget, turn.maxOutput, retention};
    reservation.mayOverdraw = mayOverdraw(turn.program);
    const Base::Instant now = now_();
    if (coordinatorOf(turn.program) == self_) {
        ledger_.reserve(reservation, now);
    } else {
        tokenGrants_.reserve(reservation, now);
    }
    runActions();
    return id;
}

void TurnAdmission::settle(Programs::ReservationId id, Base::Tokens used)
{
    if (tokenGrants_.isRunning(id)) {
        tokenGrants_.settle(id, used, now_());
    } else {
        ledger_.settle(id, used, now_());
    }
    runActions();
}

void TurnAdmission::onTokenRequest(const Base::VmId &sender, const TokenRequest &request)
{
    if (const auto known = recentGrants_.find({sender, request.number});
        known != recentGrants_.end()) {
        peers_.send(sender, known->second.response);
        return;
    }
    if (!activeRequests_.emplace(sender, request.number).second) {
        return;
    }
    const Programs::ReservationId id
        = addCallback([this, sender, number = request.number, program = request.program](
                          Programs::TurnVerdict verdict, Base::Tokens amount) {
              activeRequests_.erase({sender, number});
              const TokenResponse response{number, verdict, amount};
              if (verdict == Programs::TurnVerdict::Admitted) {
                  recentGrants_[{sender, number}] = {response, program, now_()};
              }
              peers_.send(sender, response);
          });
    Programs::TurnReservation reservation{
        id, request.program, request.budget, request.needed, request.retention};
    reservation.isTokenGrant = true;
    reservation.mayOverdraw = mayOverdraw(request.program);
    reservation.reportedUse = {sender, request.used};
    reservation.turnMaximum = request.turnMaximum;
    ledger_.reserve(reservation, now_());
    runActions();
    if (callbacks_.contains(id)) {
        peers_.send(sender, RequestInProgress{request.number});
    }
}

/// The record of the grant stays, so that a repeated return counts once.
void TurnAdmission::onTokenReturn(const Base::VmId &sender, const TokenReturn &tokenReturn)
{
    const auto known = recentGrants_.find({sender, tokenReturn.number});
    if (known == recentGrants_.end() || tokenReturn.amount < Base::Tokens(0)
        || std::exchange(known->second.isReturned, true)) {
        return;
    }
    const Base::Tokens amount = std::min(tokenReturn.amount, known->second.response.amount);
    ledger_.returnTokens(known->second.program, amount, now_());
    runActions();
}

void TurnAdmission::returnGrant(const Programs::ReturnGrant &unused)
{
    const auto received = receivedGrants_.extract(unused.grant);
    if (!received.empty()) {
        peers_.send(received.mapped().coordinator,
                    TokenReturn{received.mapped().number, unused.amount});
    }
}

void TurnAdmission::runActions()
{
    runTokenGrantActions();
    runLedgerActions();
    armTimer();
}

void TurnAdmission::runTokenGrantActions()
{
    for (const Programs::TokenGrantAction &action : tokenGrants_.takeActions()) {
        std::visit(
            Base::Visitor{[this](const Programs::AnswerTurn &answer) { deliverVerdict(answer); },
                          [this](const Programs::AskCoordinator &ask) {
                              askCoordinator(ask, peers_.nextRequestNumber(), 1);
                          },
                          [this](const Programs::ReserveLocally &local) { reserveLocally(local); },
                          [this](const Programs::ReturnGrant &unused) { returnGrant(unused); }},
            action);
    }
}

void TurnAdmission::runLedgerActions()
{
    for (const Programs::TokenLedgerAction &action : ledger_.takeActions()) {
        std::visit(
            Base::Visitor{
                [this](const Programs::AnswerTurn &answer) { deliverVerdict(answer); },
                [this](const Programs::WriteAllocation &allocation) {
                    writeAllocation(allocation);
                },
                [this](const Programs::ExpediteAllocation &expedite) {
                    groups_.expedite(expedite.program, now_());
                    runGroupActions();
                },
                [this](const Programs::RecordOverdraft &overdraft) { recordOverdraft(overdraft); }},
            action);
    }
}

void TurnAdmission::writeInGroup(const Programs::WriteAllocation &allocation,
                                 AllocationCallback callback)
{
    allocationCallbacks_.emplace(allocation.writeId, std::move(callback));
    groups_.write(allocation, now_());
    runGroupActions();
}

void TurnAdmission::runGroupActions()
{
    for (const Programs::AllocationGroupAction &action : groups_.takeActions()) {
        std::visit(Base::Visitor{[this](const Programs::WriteGroup &write) {
                                     writer_(write,
                                             [this, group = write.group](const auto &outcome) {
                                                 groups_.groupAnswered(group, outcome, now_());
                                                 runGroupActions();
                                             });
                                 },
                                 [this](const Programs::AnswerAllocation &answer) {
                                     auto entry = allocationCallbacks_.extract(answer.writeId);
                                     if (!entry.empty()) {
                                         entry.mapped()(answer.outcome);
                                     }
                                 }},
                   action);
    }
    armTimer();
}

/// All attempts have the same number, so that a coordinator that responds late grants once.
void TurnAdmission::askCoordinator(const Programs::AskCoordinator &ask,
                                   RequestNumber number,
                                   int attempt)
{
    const Base::VmId coordinator = coordinatorOf(ask.program);
    if (coordinator == self_ || attempt > maxCoordinatorAttempts) {
        tokenGrants_.answered(ask.id, Programs::TurnVerdict::Unavailable, {}, now_());
        runTokenGrantActions();
        return;
    }
    const TokenRequest request{
        number, ask.program, ask.budget, ask.needed, ask.retention, ask.used, ask.turnMaximum};
    peers_.sendRequest(coordinator, number, request, [=, this](const PeerBody *body) {
        const auto *response = body ? std::get_if<TokenResponse>(body) : nullptr;
        if (!response) {
            askCoordinator(ask, number, attempt + 1);
            runActions();
            return;
        }
        if (response->verdict == Programs::TurnVerdict::Admitted) {
            receivedGrants_[ask.id] = {coordinator, number, now_()};
        }
        respondedBy_[ask.id] = coordinator;
        tokenGrants_.answered(ask.id, response->verdict, response->amount, now_());
        runActions();
        respondedBy_.erase(ask.id);
    });
}

/// Calls back from the event loop, as reserve() has not yet returned the id to its caller.
void TurnAdmission::deliverVerdict(const Programs::AnswerTurn &answer)
{
    auto entry = callbacks_.extract(answer.id);
    if (entry.empty()) {
        return;
    }
    asio::post(timer_.get_executor(), [callback = std::move(entry.mapped()), answer] {
        callback(answer.verdict, answer.amount);
    });
}

/// The coordinator granted no tokens. Allocations of several daemons for one program mostly end in
/// write conflicts, so this daemon allocates only if it has become the coordinator itself.
void TurnAdmission::reserveLocally(const Programs::ReserveLocally &local)
{
    Programs::TurnReservation turn = local.turn;
    if (coordinatorOf(turn.program) != self_) {
        deliverVerdict({turn.id, Programs::TurnVerdict::Unavailable, {}});
        return;
    }
    const auto coordinator = respondedBy_.find(turn.id);
    if (coordinator != respondedBy_.end() && local.coordinatorOverdraft > Base::Tokens(0)) {
        turn.remoteOverdraft = {coordinator->second, local.coordinatorOverdraft};
    }
    ledger_.reserve(turn, now_());
}

/// If the store rejects this daemon, it may still serve others, which write the allocation instead.
void TurnAdmission::writeAllocation(const Programs::WriteAllocation &allocation)
{
    if (relayUntil_ && now_() < *relayUntil_) {
        relayAllocation(allocation, 1);
        return;
    }
    writeInGroup(allocation, [this, allocation](const Programs::AllocationOutcome &outcome) {
        if (std::holds_alternative<Programs::AllocationUnanswered>(outcome)) {
            relayUntil_ = now_() + relayPeriod;
            relayAllocation(allocation, 1);
            return;
        }
        relayUntil_.reset();
        allocationAnswered(allocation.program, outcome);
    });
}

/// All allocations of a group go to the same daemon, as writes of several daemons to one object
/// conflict. The next one is asked if it does not reach the store either.
void TurnAdmission::relayAllocation(const Programs::WriteAllocation &allocation, int attempt)
{
    if (attempt > maxRelayAttempts) {
        allocationAnswered(allocation.program, Programs::AllocationUnanswered{});
        return;
    }
    const Programs::AllocationGroup group = groups_.groupOf(allocation.program);
    const int rank = (lastRelay_[group] + attempt - 1) % maxRelayAttempts;
    const Base::VmId peer = relayOf(group, rank);
    if (peer == self_) {
        relayAllocation(allocation, attempt + 1);
        return;
    }
    const RequestNumber number = peers_.nextRequestNumber();
    peers_.sendRequest(
        peer, number, AllocationRelayRequest{number, allocation}, [=, this](const PeerBody *body) {
            const auto *response = body ? std::get_if<AllocationRelayResponse>(body) : nullptr;
            const bool isAnswered
                = response
                  && !std::holds_alternative<Programs::AllocationUnanswered>(response->outcome);
            if (isAnswered) {
                lastRelay_[group] = rank;
                allocationAnswered(allocation.program, response->outcome);
            } else {
                relayAllocation(allocation, attempt + 1);
            }
        });
}

Base::VmId TurnAdmission::relayOf(Programs::AllocationGroup group, int rank) const
{
    const std::string key = "relays/" + std::to_string(group.value()) + "/" + std::to_string(rank);
    return peers_.roster().coordinatorFor(key, now_());
}

void TurnAdmission::onAllocationRelay(const Base::VmId &sender,
                                      const AllocationRelayRequest &request)
{
    if (!activeRequests_.emplace(sender, request.number).second) {
        return;
    }
    peers_.send(sender, RequestInProgress{request.number});
    writeInGroup(request.allocation, [=, this, number = request.number](const auto &outcome) {
        activeRequests_.erase({sender, number});
        peers_.send(sender, AllocationRelayResponse{number, outcome});
    });
}

/// The daemon that would take this one's place as the coordinator of the program.
std::optional<Base::VmId> TurnAdmission::nextCoordinator(const Base::ProgramId &program) const
{
    constexpr std::size_t candidates = 4; // some of them may not respond
    for (Base::VmId &vm : peers_.roster().firstByRank(coordinatorKey(program), candidates)) {
        if (vm != self_ && !peers_.roster().isSuspect(vm, now_())) {
            return std::move(vm);
        }
    }
    return std::nullopt;
}

void TurnAdmission::recordOverdraft(const Programs::RecordOverdraft &overdraft)
{
    const std::optional<Base::VmId> next = nextCoordinator(overdraft.program);
    if (!next) {
        ledger_.overdraftRecorded(overdraft, false, now_());
        return;
    }
    const RequestNumber number = peers_.nextRequestNumber();
    peers_.sendRequest(
        *next, number, OverdraftNotice{number, overdraft}, [this, overdraft](const PeerBody *body) {
            if (overdraft.limit > Base::Tokens(0)) {
                const bool isRecorded = body && std::holds_alternative<OverdraftRecorded>(*body);
                ledger_.overdraftRecorded(overdraft, isRecorded, now_());
                runActions();
            }
        });
}

void TurnAdmission::onOverdraftNotice(const Base::VmId &sender, const OverdraftNotice &notice)
{
    ledger_.recordOverdraftOf(sender, notice.overdraft, now_());
    peers_.send(sender, OverdraftRecorded{notice.number});
    armTimer();
}

void TurnAdmission::allocationAnswered(const Base::ProgramId &program,
                                       const Programs::AllocationOutcome &outcome)
{
    ledger_.allocationAnswered(program, outcome, now_());
    runActions();
}

void TurnAdmission::armTimer()
{
    const Base::Instant now = now_();
    if (!nextSweep_) {
        nextSweep_ = now + sweepInterval;
    }
    const Base::Instant next = std::min({*nextSweep_,
                                         ledger_.nextWakeUp().value_or(*nextSweep_),
                                         groups_.nextWakeUp().value_or(*nextSweep_)});
    if (timerDue_ && *timerDue_ <= next) {
        return;
    }
    timerDue_ = next;
    timer_.expires_after(std::max(Base::Duration::zero(), next - now));
    timer_.async_wait([this](const std::error_code &error) {
        if (error) {
            return;
        }
        timerDue_.reset();
        const Base::Instant due = now_();
        if (due >= *nextSweep_) {
            nextSweep_.reset();
            tokenGrants_.sweep(due);
            std::erase_if(recentGrants_, [&](const auto &entry) {
                return due - entry.second.sentAt >= Programs::grantRetention;
            });
            std::erase_if(receivedGrants_, [&](const auto &entry) {
                return due - entry.second.receivedAt >= Programs::grantRetention;
            });
        }
        ledger_.tick(due);
        groups_.tick(due);
        runGroupActions();
        runActions();
    });
}

} // namespace Proxy
