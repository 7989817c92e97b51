#include "tokengranttable.h"

#include <algorithm>
#include <utility>

namespace Programs {

namespace {

/// The return has to arrive while the coordinator remembers the grant.
constexpr Base::Duration returnPeriod = grantRetention - std::chrono::seconds(2);

} // namespace

void TokenGrantTable::reserve(const TurnReservation &turn, Base::Instant now)
{
    Account &account = accounts_[turn.program];
    account.lastUse = now;
    account.retention = turn.retention;
    account.waiting.push_back(turn);
    serve(turn.program, account);
}

void TokenGrantTable::serve(const Base::ProgramId &program, Account &account)
{
    std::vector<TurnReservation> &waiting = account.waiting;
    while (!waiting.empty() && account.free >= waiting.front().maxTokens) {
        const TurnReservation turn = waiting.front();
        waiting.erase(waiting.begin());
        account.free -= turn.maxTokens;
        account.used += turn.maxTokens;
        ++account.running;
        running_[turn.id] = {program, turn.maxTokens};
        actions_.push_back(AnswerTurn{turn.id, TurnVerdict::Admitted, turn.maxTokens});
    }
    if (!waiting.empty() && !account.pendingRequest) {
        const TurnReservation &first = waiting.front();
        account.pendingRequest = first.id;
        pendingRequests_[first.id] = program;
        actions_.push_back(AskCoordinator{first.id,
                                          program,
                                          first.budget,
                                          first.maxTokens - account.free,
                                          first.retention,
                                          account.used,
                                          first.maxTokens});
    }
}

void TokenGrantTable::answered(ReservationId id,
                               TurnVerdict verdict,
                               Base::Tokens amount,
                               Base::Instant now)
{
    const auto request = pendingRequests_.find(id);
    if (request == pendingRequests_.end()) {
        return;
    }
    const Base::ProgramId program = request->second;
    pendingRequests_.erase(request);
    Account &account = accounts_[program];
    account.pendingRequest.reset();
    account.lastUse = now;
    if (verdict == TurnVerdict::Admitted) {
        account.free += amount;
        account.lastGrant = {id, amount, now};
        serve(program, account);
        return;
    }
    const auto turn = std::find_if(account.waiting.begin(),
                                   account.waiting.end(),
                                   [&](const TurnReservation &each) { return each.id == id; });
    if (turn != account.waiting.end()) {
        if (verdict == TurnVerdict::Exhausted) {
            actions_.push_back(AnswerTurn{id, verdict, {}});
        } else {
            actions_.push_back(ReserveLocally{*turn, amount});
        }
        account.waiting.erase(turn);
    }
    serve(program, account);
}

void TokenGrantTable::settle(ReservationId id, Base::Tokens used, Base::Instant now)
{
    const auto run = running_.find(id);
    if (run == running_.end()) {
        return;
    }
    Account &account = accounts_[run->second.program];
    const Base::Tokens maxTokens = run->second.maxTokens;
    account.free += maxTokens - used;
    account.used -= maxTokens - used;
    --account.running;
    account.lastUse = now;
    const Base::ProgramId program = run->second.program;
    running_.erase(run);
    serve(program, account);
    if (used == Base::Tokens(0) || account.free < maxTokens) {
        returnUnused(account, now);
    }
}

/// The program's next turn may come through another daemon, for which tokens that are left here
/// count as spent. What suffices for a turn stays, as most turns come through the same daemon.
void TokenGrantTable::returnUnused(Account &account, Base::Instant now)
{
    const bool isIdle = account.running == 0 && account.waiting.empty() && !account.pendingRequest;
    const bool isReturnable
        = account.lastGrant && now - account.lastGrant->receivedAt < returnPeriod;
    if (!isIdle || !isReturnable) {
        return;
    }
    const Grant grant = *std::exchange(account.lastGrant, std::nullopt);
    const Base::Tokens amount = std::min(account.free, grant.amount);
    if (amount > Base::Tokens(0)) {
        account.free -= amount;
        actions_.push_back(ReturnGrant{grant.id, amount});
    }
}

void TokenGrantTable::sweep(Base::Instant now)
{
    std::erase_if(accounts_, [&](const auto &entry) {
        const Account &account = entry.second;
        return account.running == 0 && account.waiting.empty() && !account.pendingRequest
               && now - account.lastUse > account.retention;
    });
}

std::vector<TokenGrantAction> TokenGrantTable::takeActions()
{
    return std::exchange(actions_, {});
}

} // namespace Programs
