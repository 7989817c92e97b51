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
    cr_assert(list.nextRead(firstReader) < list.nextRead(secondReader));
    cr_assert(list.nextRead(secondReader) < list.nextRead(lastReader));
    const Base::Instant due = list.nextRead(lastReader);
    cr_assert(list.applyReport(report(10, 15, 200), at(700)) == ReportOutcome::Confirmed);
    cr_assert(list.nextRead(lastReader) == due + std::chrono::milliseconds(500));
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
    cr_assert(first.nextRead(lastReader) <= latest);
    cr_assert(second.nextRead(lastReader) <= latest);
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
    cr_assert(other.nextRead(lastReader) >= at(2000));
}

/// A daemon that receives no reports reads within the bound of 2 s, regardless of its rank.
Test(sharedlist, everyRankReadsWithinTheBound)
{
    SharedList list;
    list.read(1, true, at(0));
    list.read(5, false, at(100));
    for (const ReaderRank rank : {firstReader, secondReader, lastReader}) {
        cr_assert(list.nextRead(rank) <= at(100 + 1400));
    }
    cr_assert(*list.report(at(100)) == report(1, 5, 0), "an unchanged list keeps its revision");
}

namespace {

/// Daemons in the order of their ranks, each with its copy of the list; the store rejects the
/// first ones. A step is ten milliseconds, as the messages between daemons take less.
class ReaderFleet
{
public:
    ReaderFleet(std::size_t size, std::size_t rejected)
        : lists_(size)
        , readEnds_(size)
        , rejected_(rejected)
    {
        for (SharedList &list : lists_) {
            list.fetched(report(1, 1, 0), at(0));
        }
    }

    void run(int milliseconds)
    {
        for (int now = 0; now < milliseconds; now += step) {
            for (std::size_t i = rejected_; i < lists_.size(); ++i) {
                endRead(i, at(now));
                startReadIfDue(i, at(now));
            }
            if (now % joinInterval == 0) {
                for (SharedList &list : lists_) {
                    list.applyReport(*lists_.front().report(at(now)), at(now));
                    oldest = std::max(oldest, list.report(at(now))->age);
                }
            }
        }
    }

    int reads = 0;
    Base::Duration oldest{};

private:
    void startReadIfDue(std::size_t daemon, Base::Instant now)
    {
        const ReaderRank rank(static_cast<std::uint32_t>(daemon));
        if (!readEnds_[daemon] && now >= lists_[daemon].nextRead(rank)) {
            ++reads;
            readEnds_[daemon] = now + readTime;
        }
    }

    void endRead(std::size_t daemon, Base::Instant now)
    {
        if (!readEnds_[daemon] || now < *readEnds_[daemon]) {
            return;
        }
        readEnds_[daemon].reset();
        SharedList &list = lists_[daemon];
        const bool wasActingReader = list.isActingReader();
        list.read(++revision_, false, now);
        const bool isNews = daemon > 0 && !wasActingReader;
        const std::size_t notified = isNews ? lists_.size() : lastReader.value();
        for (std::size_t i = 0; i < notified; ++i) {
            lists_[i].applyReport(*list.report(now), now);
        }
    }

    /// A daemon on a small share of a core decodes the list for some tens of milliseconds.
    static constexpr Base::Duration readTime = std::chrono::milliseconds(30);
    static constexpr int step = 10;
    static constexpr int joinInterval = 500;

    std::vector<SharedList> lists_;
    std::vector<std::optional<Base::Instant>> readEnds_;
    std::size_t rejected_;
    std::uint64_t revision_ = 1;
};

} // namespace

/// Guards against a fleet that reads the store all at once because the store rejects its readers:
/// 729 reads in 5 s by 168 daemons in scale-2 of the large wattlebird-prod.
Test(sharedlist, oneDaemonReadsForAllIfTheStoreRejectsTheReaders)
{
    constexpr int seconds = 20;
    for (const std::size_t rejected : {0U, 1U, 2U, 4U, 10U}) {
        ReaderFleet fleet(259, rejected);
        fleet.run(seconds * 1000);
        cr_assert_leq(fleet.reads, 2 * seconds, "%zu rejected: %d reads", rejected, fleet.reads);
        cr_assert_lt(fleet.oldest, std::chrono::milliseconds(1500), "%zu rejected", rejected);
    }
}
