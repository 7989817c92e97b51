#include "turns.h"

#include <turnhistory/turnindex.h>

#include <criterion/criterion.h>

using namespace TurnHistory;

namespace {

Turn turnEndedAt(const std::string &id, const std::string &previous, std::int64_t seconds)
{
    Turn turn = makeTurn(id, previous);
    turn.endedAt = UnixTime(seconds * 1000);
    return turn;
}

std::vector<std::string> ids(const std::vector<const IndexedTurn *> &chain)
{
    std::vector<std::string> result;
    result.reserve(chain.size());
    for (const IndexedTurn *turn : chain) {
        result.push_back(turn->id.text());
    }
    return result;
}

} // namespace

Test(turnindex, returnsChainsUpToTheFirstTurnThatIsMissing)
{
    TurnIndex index;
    index.add(makeTurn("b", "a"), {1, 0, 10});
    index.add(makeTurn("c", "b"), {1, 10, 10});
    index.add(makeTurn("c2", "b"), {1, 20, 10});
    cr_assert(ids(index.chain(TurnId("c"), 1000)) == std::vector<std::string>({"c", "b"}));
    cr_assert(ids(index.chain(TurnId("c2"), 1000)) == std::vector<std::string>({"c2", "b"}));
    cr_assert(ids(index.chain(TurnId("c"), 15)) == std::vector<std::string>({"c"}));
    cr_assert(ids(index.chain(TurnId("c"), 1)) == std::vector<std::string>({"c"}));
    cr_assert(index.chain(TurnId("a"), 1000).empty());
}

Test(turnindex, endsOnTurnsThatReferToEachOther)
{
    TurnIndex index;
    index.add(makeTurn("a", "b"), {1, 0, 10});
    index.add(makeTurn("b", "a"), {1, 10, 10});
    cr_assert_leq(index.chain(TurnId("a"), 1000).size(), 2);
}

Test(turnindex, neverChangesATurn)
{
    TurnIndex index;
    index.add(makeTurn("a"), {1, 0, 10});
    index.add(makeTurn("a", "other"), {2, 0, 10});
    cr_assert_eq(index.size(), 1);
    cr_assert_eq(index.find(TurnId("a"))->position.segment, 1);
    cr_assert_null(index.next(1));
}

Test(turnindex, keepsPredecessorsAsLongAsTheirSuccessors)
{
    for (const bool isSuccessorFirst : {false, true}) {
        TurnIndex index;
        const Turn first = turnEndedAt("a", "", 0);
        const Turn second = turnEndedAt("b", "a", 50);
        if (isSuccessorFirst) {
            index.add(second, {2, 0, 10});
            index.add(first, {1, 0, 10});
        } else {
            index.add(first, {1, 0, 10});
            index.add(second, {2, 0, 10});
        }
        cr_assert(index.expiredSegments(UnixTime(100'000)).empty(), "kept until 110 s at least");
        cr_assert_eq(index.expiredSegments(UnixTime(200'000)).size(), 2);
    }
}

Test(turnindex, removesWholeSegments)
{
    TurnIndex index;
    index.add(turnEndedAt("a", "", 0), {1, 0, 10});
    index.add(turnEndedAt("b", "", 1000), {2, 0, 10});
    const auto expired = index.expiredSegments(UnixTime(500'000));
    cr_assert(expired == std::vector<std::uint64_t>({1}));
    index.removeSegment(1, UnixTime(500'000));
    cr_assert_null(index.find(TurnId("a")));
    cr_assert_not_null(index.find(TurnId("b")));
    cr_assert_eq(index.next(0)->id, TurnId("b"));
    cr_assert(index.expiredSegments(UnixTime(500'000)).empty());
}
