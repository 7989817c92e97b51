#include "sharedlist.h"

#include <algorithm>
#include <utility>

namespace Proxy {

namespace {

/// A server must get no new requests later than 2 s after its entry is marked as leaving. That time
/// covers the age of the last rank, a read that is retried once, and the transfer to the other
/// daemons.
constexpr Base::Duration firstReaderMaxAge = std::chrono::milliseconds(700);
constexpr Base::Duration secondReaderMaxAge = std::chrono::milliseconds(1000);

/// Time for a read and a notice to all others, so that few of them read at once.
constexpr Base::Duration standbyInterval = std::chrono::milliseconds(20);

} // namespace

Base::Duration maxAge(ReaderRank rank)
{
    if (rank == firstReader) {
        return firstReaderMaxAge;
    }
    const ReaderRank position = std::min(rank, lastReader);
    return secondReaderMaxAge + (position.value() - secondReader.value()) * standbyInterval;
}

void SharedList::read(std::uint64_t revision, bool isChanged, Base::Instant now)
{
    isActingReader_ = changedAt_ != 0;
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
    isActingReader_ = false;
    confirmedAt_ = report.confirmedAt;
    reads_ = report.reads;
    asOf_ = std::max(asOf_, now - report.age);
    return ReportOutcome::Confirmed;
}

void SharedList::fetched(const ListReport &report, Base::Instant now)
{
    isActingReader_ = false;
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
    return asOf_ + maxAge(isActingReader_ ? firstReader : rank);
}

} // namespace Proxy
