#include <proxy/sharedlist.h>

#include <criterion/criterion.h>

using namespace Proxy;

namespace {

using ReportOutcome = SharedList::ReportOutcome;

Base::Instant at(std::int64_t milliseconds)
{
    return Base::Instant(std::chrono::milliseconds(milliseconds));
}

ListReport report(std::uint64_t changedAt, std::uint64_t confirmedAt, int age)
{
    return {changedAt, confirmedAt, 1, std::chrono::milliseconds(age)};
}

} // namespace

Test(sharedlist, reportsNothingBeforeItsFirstList)
{
    SharedList list;
    cr_assert(!list.report(at(0)));
    cr_assert(list.applyReport(report(5, 9, 0), at(0)) == ReportOutcome::FetchRequired);
    list.fetched(report(5, 9, 100), at(1000));
    cr_assert(*list.report(at(1200)) == report(5, 9, 300));
}

Test(sharedlist, reportOfALaterReadDelaysTheNextRead)
{
    SharedList list;
    list.read(10, true, at(0));
    cr_assert(list.nextRead(ReaderRank::First) < list.nextRead(ReaderRank::Second));
    cr_assert(list.nextRead(ReaderRank::Second) < list.nextRead(ReaderRank::Other));
    const Base::Instant due = list.nextRead(ReaderRank::Other);
    cr_assert(list.applyReport(report(10, 15, 200), at(700)) == ReportOutcome::Confirmed);
    cr_assert(list.nextRead(ReaderRank::Other) == due + std::chrono::milliseconds(500));
    cr_assert(list.applyReport(report(10, 15, 400), at(700)) == ReportOutcome::NothingNew,
              "the read is known");
}

/// Readers see the same change at different revisions.
Test(sharedlist, overlappingRevisionRangesAreTheSameList)
{
    SharedList list;
    list.read(103, true, at(0));
    cr_assert(list.applyReport(report(100, 102, 0), at(10)) == ReportOutcome::NothingNew,
              "confirmed before the change");
    cr_assert(list.applyReport(report(100, 150, 0), at(20)) == ReportOutcome::Confirmed);
    cr_assert(list.applyReport(report(151, 151, 0), at(30)) == ReportOutcome::FetchRequired);
    cr_assert(list.applyReport(report(140, 160, 0), at(30)) == ReportOutcome::Confirmed);
}

/// Reports of one read that daemons forward to each other must not reduce the list's age by the
/// transit time of each message. Seen in scenario trouble-1 of the grown wattlebird-prod with 65
/// daemons: nobody read the store for 6 s.
Test(sharedlist, forwardedReportsDoNotReduceTheAge)
{
    constexpr std::int64_t delay = 2;
    SharedList first;
    SharedList second;
    first.read(10, true, at(0));
    second.fetched(*first.report(at(0)), at(0));
    for (std::int64_t now = 0; now < 3000; now += 2 * delay) {
        second.applyReport(*first.report(at(now)), at(now + delay));
        first.applyReport(*second.report(at(now + delay)), at(now + 2 * delay));
    }
    const Base::Instant latest = at(1300 + 2 * delay);
    cr_assert(first.nextRead(ReaderRank::Other) <= latest);
    cr_assert(second.nextRead(ReaderRank::Other) <= latest);
}

/// The revision of the store does not change between reads if nothing is written.
Test(sharedlist, aSecondReadAtTheSameRevisionConfirmsTheList)
{
    SharedList reader;
    SharedList other;
    reader.read(10, true, at(0));
    other.fetched(*reader.report(at(0)), at(0));
    reader.read(10, false, at(800));
    cr_assert(other.applyReport(*reader.report(at(800)), at(800)) == ReportOutcome::Confirmed);
    cr_assert(other.nextRead(ReaderRank::Other) >= at(2000));
}

/// A daemon that receives no reports reads within the bound of 2 s, regardless of its rank.
Test(sharedlist, everyRankReadsWithinTheBound)
{
    SharedList list;
    list.read(1, true, at(0));
    list.read(5, false, at(100));
    for (const ReaderRank rank : {ReaderRank::First, ReaderRank::Second, ReaderRank::Other}) {
        cr_assert(list.nextRead(rank) <= at(100 + 1400));
    }
    cr_assert(*list.report(at(100)) == report(1, 5, 0), "an unchanged list keeps its revision");
}
