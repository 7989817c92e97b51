#include "tokengranttable.h"

#include <algorithm>
#include <utility>

namespace Programs {

void TokenGrantTable::reserve(const TurnReservation &turn, Base::Instant now)
{
    TokenGrant &tokenGrant = tokenGrants_[turn.program];
    tokenGrant.lastUse = now;
    tokenGrant.retention = turn.retention;
    tokenGrant.waiting.push_back(turn);
    serve(turn.program, tokenGrant);
}

void TokenGrantTable::serve(const Base::ProgramId &program, TokenGrant &tokenGrant)
{
    std::vector<TurnReservation> &waiting = tokenGrant.waiting;
    while (!waiting.empty() && tokenGrant.free >= waiting.front().maxTokens) {
        const TurnReservation turn = waiting.front();
        waiting.erase(waiting.begin());
        tokenGrant.free -= turn.maxTokens;
        tokenGrant.used += turn.maxTokens;
        ++tokenGrant.running;
        running_[turn.id] = {program, turn.maxTokens};
        actions_.push_back(AnswerTurn{turn.id, TurnVerdict::Admitted, turn.maxTokens});
    }
    if (!waiting.empty() && !tokenGrant.asking) {
        const TurnReservation &first = waiting.front();
        tokenGrant.asking = first.id;
        asked_[first.id] = program;
        actions_.push_back(AskCoordinator{first.id,
                                          program,
                                          first.budget,
                                          first.maxTokens - tokenGrant.free,
                                          first.retention,
                                          tokenGrant.used});
    }
}

void TokenGrantTable::answered(ReservationId id,
                               TurnVerdict verdict,
                               Base::Tokens amount,
                               Base::Instant now)
{
    const auto asked = asked_.find(id);
    if (asked == asked_.end()) {
        return;
    }
    const Base::ProgramId program = asked->second;
    asked_.erase(asked);
    TokenGrant &tokenGrant = tokenGrants_[program];
    tokenGrant.asking.reset();
    tokenGrant.lastUse = now;
    if (verdict == TurnVerdict::Admitted) {
        tokenGrant.free += amount;
        serve(program, tokenGrant);
        return;
    }
    const auto turn = std::find_if(tokenGrant.waiting.begin(),
                                   tokenGrant.waiting.end(),
                                   [&](const TurnReservation &each) { return each.id == id; });
    if (turn != tokenGrant.waiting.end()) {
        if (verdict == TurnVerdict::Exhausted) {
            actions_.push_back(AnswerTurn{id, verdict, {}});
        } else {
            actions_.push_back(ReserveLocally{*turn, amount});
        }
        tokenGrant.waiting.erase(turn);
    }
    serve(program, tokenGrant);
}

void TokenGrantTable::settle(ReservationId id, Base::Tokens used, Base::Instant now)
{
    const auto run = running_.find(id);
    if (run == running_.end()) {
        return;
    }
    TokenGrant &tokenGrant = tokenGrants_[run->second.program];
    tokenGrant.free += run->second.maxTokens - used;
    tokenGrant.used -= run->second.maxTokens - used;
    --tokenGrant.running;
    tokenGrant.lastUse = now;
    const Base::ProgramId program = run->second.program;
    running_.erase(run);
    serve(program, tokenGrant);
}

void TokenGrantTable::sweep(Base::Instant now)
{
    std::erase_if(tokenGrants_, [&](const auto &entry) {
        const TokenGrant &tokenGrant = entry.second;
        return tokenGrant.running == 0 && tokenGrant.waiting.empty() && !tokenGrant.asking
               && now - tokenGrant.lastUse > tokenGrant.retention;
    });
}

std::vector<TokenGrantAction> TokenGrantTable::takeActions()
{
    return std::exchange(actions_, {});
}

} // namespace Programs
