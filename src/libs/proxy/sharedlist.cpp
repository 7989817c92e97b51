#include "sharedlist.h"

#include <algorithm>
#include <utility>

namespace Proxy {

namespace {

/// A leaving server gets nothing new 2 s after its entry says so. The last rank's age, a read that
/// is retried once and the way to the others fit into that.
constexpr Base::Duration firstAge = std::chrono::milliseconds(800);
constexpr Base::Duration secondAge = std::chrono::milliseconds(1000);
constexpr Base::Duration otherAge = std::chrono::milliseconds(1300);

Base::Duration longestAge(ReaderRank rank)
{
    switch (rank) {
    case ReaderRank::First:
        return firstAge;
    case ReaderRank::Second:
        return secondAge;
    case ReaderRank::Other:
        break;
    }
    return otherAge;
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

/// Readers see one change at different revisions. Lists whose spans of revisions overlap are the
/// same. Each message takes some time that its age does not count, so only word of a later read
/// makes a list younger: word of the same read would with every daemon that passes it on.
SharedList::News SharedList::heard(const ListStatement &statement, Base::Instant now)
{
    if (statement.changedAt > confirmedAt_) {
        return News::Newer;
    }
    const bool isLaterRead
        = std::pair(statement.confirmedAt, statement.reads) > std::pair(confirmedAt_, reads_);
    if (!isLaterRead) {
        return News::None;
    }
    confirmedAt_ = statement.confirmedAt;
    reads_ = statement.reads;
    asOf_ = std::max(asOf_, now - statement.age);
    return News::Confirmed;
}

void SharedList::fetched(const ListStatement &statement, Base::Instant now)
{
    changedAt_ = statement.changedAt;
    confirmedAt_ = std::max(statement.changedAt, statement.confirmedAt);
    reads_ = statement.reads;
    asOf_ = std::max(asOf_, now - statement.age);
}

std::optional<ListStatement> SharedList::statement(Base::Instant now) const
{
    if (changedAt_ == 0) {
        return std::nullopt;
    }
    return ListStatement{
        changedAt_, confirmedAt_, reads_, std::max(Base::Duration::zero(), now - asOf_)};
}

Base::Instant SharedList::nextRead(ReaderRank rank) const
{
    return asOf_ + longestAge(rank);
}

} // namespace Proxy
