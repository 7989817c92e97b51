#include <turnhistory/chainsearch.h>

#include <criterion/criterion.h>

#include <algorithm>
#include <array>
#include <bit>

using namespace TurnHistory;

namespace {

enum class Holding {
    /// Has the turn and answers.
    Present,
    /// Its disk was emptied and is not synchronized again.
    Emptied,
    /// Does not answer.
    Silent,
    /// Never had the turn.
    Other
};

Base::VmId vm(std::size_t index)
{
    return Base::VmId("vm" + std::to_string(index));
}

std::vector<Base::VmId> vms(std::size_t count)
{
    std::vector<Base::VmId> result;
    for (std::size_t i = 0; i < count; ++i) {
        result.push_back(vm(i));
    }
    return result;
}

/// Runs a search to its end, with the answers of the given holders.
SearchState searchAmong(const std::vector<Holding> &holders, std::size_t copies)
{
    ChainSearch search(vms(holders.size()), copies);
    std::vector<Base::VmId> toAsk = search.start();
    while (!toAsk.empty()) {
        const Base::VmId asked = toAsk.back();
        toAsk.pop_back();
        std::vector<Base::VmId> more;
        switch (holders[std::stoul(asked.text().substr(2))]) {
        case Holding::Present:
            search.onFound();
            break;
        case Holding::Emptied:
            more = search.onAbsent(asked, false);
            break;
        case Holding::Silent:
            more = search.onFailed(asked);
            break;
        case Holding::Other:
            more = search.onAbsent(asked, true);
            break;
        }
        toAsk.insert(toAsk.end(), more.begin(), more.end());
    }
    return search.state();
}

} // namespace

/// Every combination of up to six holders and up to four copies, of which all but one may be lost.
Test(chainsearch, neverCallsATurnAbsentWhileACopyMayExist)
{
    for (std::size_t count = 1; count <= 6; ++count) {
        std::size_t combinations = 1;
        for (std::size_t i = 0; i < count; ++i) {
            combinations *= 4;
        }
        for (std::size_t code = 0; code < combinations; ++code) {
            std::vector<Holding> holders;
            for (std::size_t i = 0, rest = code; i < count; ++i, rest /= 4) {
                holders.push_back(static_cast<Holding>(rest % 4));
            }
            const auto number = [&](Holding holding) {
                return static_cast<std::size_t>(
                    std::count(holders.begin(), holders.end(), holding));
            };
            for (std::size_t copies = 1; copies <= std::min<std::size_t>(4, count); ++copies) {
                const SearchState state = searchAmong(holders, copies);
                const std::size_t leftOut = number(Holding::Silent) + number(Holding::Emptied);
                cr_assert_neq(state, SearchState::Pending);
                if (number(Holding::Present) > 0) {
                    cr_assert_eq(state, SearchState::Found);
                } else if (leftOut >= copies) {
                    cr_assert_eq(state, SearchState::Unknown, "all copies may be left out");
                } else {
                    cr_assert_eq(state, SearchState::Absent);
                }
            }
        }
    }
}

Test(chainsearch, asksTheFirstHoldersOneAfterAnother)
{
    ChainSearch search(vms(5), 2);
    cr_assert(search.start() == std::vector<Base::VmId>({vm(0)}));
    cr_assert(search.onAbsent(vm(0), true) == std::vector<Base::VmId>({vm(1)}));
    cr_assert_eq(search.onFailed(vm(1)).size(), 3, "then all others together");
    cr_assert_eq(search.state(), SearchState::Pending);
}

Test(chainsearch, asksOneMoreHolderIfTheFirstIsSlow)
{
    ChainSearch search(vms(3), 2);
    search.start();
    cr_assert(search.onSlow() == std::vector<Base::VmId>({vm(1)}));
    search.onFound();
    cr_assert(search.onSlow().empty());
    cr_assert_eq(search.state(), SearchState::Found);
}

Test(chainsearch, asksHoldersThatRegisteredMeanwhile)
{
    ChainSearch search(vms(2), 2);
    search.start();
    search.onAbsent(vm(0), true);
    search.onAbsent(vm(1), true);
    cr_assert_eq(search.state(), SearchState::Absent);
    cr_assert(search.onRegistered({vm(0), vm(1), vm(2)}) == std::vector<Base::VmId>({vm(2)}));
    cr_assert_eq(search.state(), SearchState::Pending);
    search.onFound();
    cr_assert_eq(search.state(), SearchState::Found);
}

/// A turn was called absent whose copies were on a holder that was removed during the search and
/// on one that did not answer.
Test(chainsearch, leavesOutAHolderThatWasRemovedMeanwhile)
{
    ChainSearch search(vms(3), 2);
    search.start();
    search.onAbsent(vm(0), true);
    search.onFailed(vm(1));
    search.onAbsent(vm(2), true);
    cr_assert_eq(search.state(), SearchState::Absent);
    cr_assert(search.onRegistered({vm(0), vm(2), vm(3)}) == std::vector<Base::VmId>({vm(3)}));
    search.onFailed(vm(3));
    cr_assert_eq(search.state(), SearchState::Unknown);
}

/// The answer of a removed holder that did not have the turn still counts.
Test(chainsearch, callsATurnAbsentAfterAHolderThatAnsweredWasRemoved)
{
    ChainSearch search(vms(3), 2);
    search.start();
    search.onAbsent(vm(0), true);
    search.onAbsent(vm(1), true);
    search.onFailed(vm(2));
    cr_assert(search.onRegistered({vm(0), vm(2)}).empty());
    cr_assert_eq(search.state(), SearchState::Absent);
    cr_assert(search.onRegistered({}).empty());
    cr_assert_eq(search.state(), SearchState::Unknown, "a list without holders tells nothing");
}

Test(chainsearch, knowsNothingWithoutHolders)
{
    ChainSearch search({}, 2);
    cr_assert(search.start().empty());
    cr_assert_eq(search.state(), SearchState::Unknown);
}
