#include "sharedlist.h"

#include <algorithm>
#include <utility>

namespace Proxy {

namespace {

/// A server must get no new requests later than 2 s after its entry is marked as leaving. That time
/// covers the age of the last rank, a read that is retried once, and the transfer to the other
/// daemons.
constexpr Base::Duration firstReaderMaxAge = std::chrono::milliseconds(800);
constexpr Base::Duration secondReaderMaxAge = std::chrono::milliseconds(1000);
constexpr Base::Duration otherMaxAge = std::chrono::milliseconds(1300);

Base::Duration maxAge(ReaderRank rank)
{
    switch (rank) {
    case ReaderRank::First:
        return firstReaderMaxAge;
    case ReaderRank::Second:
        return secondReaderMaxAge;
    case ReaderRank::Other:
        break;
    }
    return otherMaxAge;
}

} // namespace

void SharedList::read(std::uint64_t revision, bool isChanged, Base::Instant now)
{
    if (isChanged || changedAt_ == 0) {
        changedAt_ = revision;
    }
    reads_ = revision > confirmedAt_ ? 1 : reads_ + 1;
    confirmedAt_ = std::max(confirmedAt_, revision);
    asOf_ = now;
}

/// Readers see the same change at different revisions; lists whose ranges of revisions overlap are
/// the same. The age in a report does not include the transit time of the message, so only the
/// report of a later read may reduce the age of the list. Reports of the same read would reduce it
/// with every daemon that forwards them.
SharedList::ReportOutcome SharedList::applyReport(const ListReport &report, Base::Instant now)
{
    if (report.changedAt > confirmedAt_) {
        return ReportOutcome::FetchRequired;
    }
    const bool isLaterRead
        = std::pair(report.confirmedAt, report.reads) > std::pair(confirmedAt_, reads_);
    if (!isLaterRead) {
        return ReportOutcome::NothingNew;
    }
    confirmedAt_ = report.confirmedAt;
    reads_ = report.reads;
    asOf_ = std::max(asOf_, now - report.age);
    return ReportOutcome::Confirmed;
}

void SharedList::fetched(const ListReport &report, Base::Instant now)
{
    changedAt_ = report.changedAt;
    confirmedAt_ = std::max(report.changedAt, report.confirmedAt);
    reads_ = report.reads;
    asOf_ = std::max(asOf_, now - report.age);
}

std::optional<ListReport> SharedList::report(Base::Instant now) const
{
    if (changedAt_ == 0) {
        return std::nullopt;
    }
    return ListReport{
        changedAt_, confirmedAt_, reads_, std::max(Base::Duration::zero(), now - asOf_)};
}

Base::Instant SharedList::nextRead(ReaderRank rank) const
{
    return asOf_ + maxAge(rank);
}

} // namespace Proxy
