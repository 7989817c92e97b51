#include "allotmenttable.h"

#include <algorithm>
#include <utility>

namespace Programs {

void AllotmentTable::reserve(const TurnReservation &turn, Base::Instant now)
{
    Allotment &allotment = allotments_[turn.program];
    allotment.lastUse = now;
    allotment.retention = turn.retention;
    allotment.waiting.push_back(turn);
    serve(turn.program, allotment);
}

void AllotmentTable::serve(const Base::ProgramId &program, Allotment &allotment)
{
    std::vector<TurnReservation> &waiting = allotment.waiting;
    while (!waiting.empty() && allotment.free >= waiting.front().most) {
        const TurnReservation turn = waiting.front();
        waiting.erase(waiting.begin());
        allotment.free -= turn.most;
        allotment.used += turn.most;
        ++allotment.running;
        running_[turn.id] = {program, turn.most};
        actions_.push_back(AnswerTurn{turn.id, TurnVerdict::Admitted, turn.most});
    }
    if (!waiting.empty() && !allotment.asking) {
        const TurnReservation &first = waiting.front();
        allotment.asking = first.id;
        asked_[first.id] = program;
        actions_.push_back(AskHome{first.id,
                                   program,
                                   first.budget,
                                   first.most - allotment.free,
                                   first.retention,
                                   allotment.used});
    }
}

void AllotmentTable::answered(ReservationId id,
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
    Allotment &allotment = allotments_[program];
    allotment.asking.reset();
    allotment.lastUse = now;
    if (verdict == TurnVerdict::Admitted) {
        allotment.free += amount;
        serve(program, allotment);
        return;
    }
    const auto turn = std::find_if(allotment.waiting.begin(),
                                   allotment.waiting.end(),
                                   [&](const TurnReservation &each) { return each.id == id; });
    if (turn != allotment.waiting.end()) {
        if (verdict == TurnVerdict::Spent) {
            actions_.push_back(AnswerTurn{id, verdict, {}});
        } else {
            actions_.push_back(ReserveLocally{*turn, amount});
        }
        allotment.waiting.erase(turn);
    }
    serve(program, allotment);
}

void AllotmentTable::settle(ReservationId id, Base::Tokens used, Base::Instant now)
{
    const auto run = running_.find(id);
    if (run == running_.end()) {
        return;
    }
    Allotment &allotment = allotments_[run->second.program];
    allotment.free += run->second.most - used;
    allotment.used -= run->second.most - used;
    --allotment.running;
    allotment.lastUse = now;
    const Base::ProgramId program = run->second.program;
    running_.erase(run);
    serve(program, allotment);
}

void AllotmentTable::sweep(Base::Instant now)
{
    std::erase_if(allotments_, [&](const auto &entry) {
        const Allotment &allotment = entry.second;
        return allotment.running == 0 && allotment.waiting.empty() && !allotment.asking
               && now - allotment.lastUse > allotment.retention;
    });
}

std::vector<AllotmentAction> AllotmentTable::takeActions()
{
    return std::exchange(actions_, {});
}

} // namespace Programs
