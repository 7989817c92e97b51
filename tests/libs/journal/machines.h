#pragma once

#include "fakestore.h"

#include <journal/compactor.h>
#include <journal/journalwriter.h>

#include <vector>

namespace JournalTest {

/// Answers every store request of the machine at once until it asks for nothing more, and
/// returns its other actions.
template<typename Action, typename Machine>
std::vector<Action> settle(Machine &machine, FakeStore &store, Base::Instant now)
{
    std::vector<Action> others;
    for (auto actions = machine.takeActions(); !actions.empty(); actions = machine.takeActions()) {
        for (Action &action : actions) {
            if (const auto *send = std::get_if<Journal::SendStore>(&action)) {
                machine.handle(
                    Platform::StoreReply{send->request.id, store.apply(send->request.operation)},
                    now);
            } else {
                others.push_back(std::move(action));
            }
        }
    }
    return others;
}

/// The first action of the kind; null if there is none.
template<typename Wanted, typename Action>
const Wanted *firstOf(const std::vector<Action> &actions)
{
    for (const Action &action : actions) {
        if (const auto *wanted = std::get_if<Wanted>(&action)) {
            return wanted;
        }
    }
    return nullptr;
}

template<typename Wanted, typename Action>
std::size_t countOf(const std::vector<Action> &actions)
{
    std::size_t count = 0;
    for (const Action &action : actions) {
        count += std::holds_alternative<Wanted>(action) ? 1 : 0;
    }
    return count;
}

} // namespace JournalTest
