#pragma once

#include "fakestore.h"

#include <journal/compactor.h>
#include <journal/journalwriter.h>

#include <vector>

namespace JournalTest {

/// Applies the store requests of the machine until it sends no more, and returns its other actions.
template<typename Action, typename Machine>
std::vector<Action> runWithStore(Machine &machine, FakeStore &store, Base::Instant now)
{
    std::vector<Action> others;
    for (auto actions = machine.takeActions(); !actions.empty(); actions = machine.takeActions()) {
        for (Action &action : actions) {
            if (const auto *send = std::get_if<Journal::SendStoreRequest>(&action)) {
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

/// The first action of the type; null if there is none.
template<typename Target, typename Action>
const Target *firstOf(const std::vector<Action> &actions)
{
    for (const Action &action : actions) {
        if (const auto *found = std::get_if<Target>(&action)) {
            return found;
        }
    }
    return nullptr;
}

template<typename Target, typename Action>
std::size_t countOf(const std::vector<Action> &actions)
{
    std::size_t count = 0;
    for (const Action &action : actions) {
        count += std::holds_alternative<Target>(action) ? 1 : 0;
    }
    return count;
}

} // namespace JournalTest
