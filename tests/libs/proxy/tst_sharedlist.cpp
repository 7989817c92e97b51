#include <proxy/sharedlist.h>

#include <criterion/criterion.h>

using namespace Proxy;

namespace {

using News = SharedList::News;

Base::Instant at(std::int64_t milliseconds)
{
    return Base::Instant(std::chrono::milliseconds(milliseconds));
}

ListStatement stated(std::uint64_t changedAt, std::uint64_t confirmedAt, int age)
{
    return {changedAt, confirmedAt, 1, std::chrono::milliseconds(age)};
}

} // namespace

Test(sharedlist, statesNothingBeforeItsFirstList)
{
    SharedList list;
    cr_assert(!list.statement(at(0)));
    cr_assert(list.heard(stated(5, 9, 0), at(0)) == News::Newer);
    list.fetched(stated(5, 9, 100), at(1000));
    cr_assert(*list.statement(at(1200)) == stated(5, 9, 300));
}

Test(sharedlist, wordOfALaterReadPutsOffItsOwn)
{
    SharedList list;
    list.read(10, true, at(0));
    cr_assert(list.nextRead(ReaderRank::First) < list.nextRead(ReaderRank::Second));
    cr_assert(list.nextRead(ReaderRank::Second) < list.nextRead(ReaderRank::Other));
    const Base::Instant due = list.nextRead(ReaderRank::Other);
    cr_assert(list.heard(stated(10, 15, 200), at(700)) == News::Confirmed);
    cr_assert(list.nextRead(ReaderRank::Other) == due + std::chrono::milliseconds(500));
    cr_assert(list.heard(stated(10, 15, 400), at(700)) == News::None, "known already");
}

/// Readers see the same change at different revisions.
Test(sharedlist, overlappingSpansAreTheSameList)
{
    SharedList list;
    list.read(103, true, at(0));
    cr_assert(list.heard(stated(100, 102, 0), at(10)) == News::None, "from before the change");
    cr_assert(list.heard(stated(100, 150, 0), at(20)) == News::Confirmed);
    cr_assert(list.heard(stated(151, 151, 0), at(30)) == News::Newer);
    cr_assert(list.heard(stated(140, 160, 0), at(30)) == News::Confirmed);
}

/// trouble-1 of the grown wattlebird-prod: word of one read went round between 65 daemons, each way
/// made it younger by its delay, and nobody read the store for 6 s.
Test(sharedlist, wordThatGoesRoundDoesNotGrowYounger)
{
    constexpr std::int64_t delay = 2;
    SharedList first;
    SharedList second;
    first.read(10, true, at(0));
    second.fetched(*first.statement(at(0)), at(0));
    for (std::int64_t now = 0; now < 3000; now += 2 * delay) {
        second.heard(*first.statement(at(now)), at(now + delay));
        first.heard(*second.statement(at(now + delay)), at(now + 2 * delay));
    }
    const Base::Instant latest = at(1300 + 2 * delay);
    cr_assert(first.nextRead(ReaderRank::Other) <= latest);
    cr_assert(second.nextRead(ReaderRank::Other) <= latest);
}

/// The store's revision may stand still.
Test(sharedlist, aSecondReadAtTheSameRevisionIsNews)
{
    SharedList reader;
    SharedList other;
    reader.read(10, true, at(0));
    other.fetched(*reader.statement(at(0)), at(0));
    reader.read(10, false, at(800));
    cr_assert(other.heard(*reader.statement(at(800)), at(800)) == News::Confirmed);
    cr_assert(other.nextRead(ReaderRank::Other) >= at(2000));
}

/// A daemon that nobody's word reaches reads within the bound of 2 s, whatever its rank.
Test(sharedlist, everyRankReadsWithinTheBound)
{
    SharedList list;
    list.read(1, true, at(0));
    list.read(5, false, at(100));
    for (const ReaderRank rank : {ReaderRank::First, ReaderRank::Second, ReaderRank::Other}) {
        cr_assert(list.nextRead(rank) <= at(100 + 1400));
    }
    cr_assert(*list.statement(at(100)) == stated(1, 5, 0), "an unchanged list stays what it was");
}
