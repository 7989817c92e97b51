#pragma once

#include <base/instant.h>

#include <cstdint>
#include <optional>

namespace Proxy {

/// What a daemon tells others of a list that it has from the store.
struct ListStatement
{
    /// Revision of the store at which the list was first seen with this content.
    std::uint64_t changedAt = 0;
    /// Revision of the store at which it was last known to have it.
    std::uint64_t confirmedAt = 0;
    /// Position among the reads at that revision; with it, names the read that confirmed the list.
    std::uint64_t reads = 0;
    /// Time since that was read from the store, by whichever daemon.
    Base::Duration age{};

    bool operator==(const ListStatement &) const = default;
};

/// How near a daemon is to reading the list for the others.
enum class ReaderRank {
    First,
    Second,
    Other
};

/// Age of a list that some daemons read from the store and all others have from them. A daemon
/// reads for itself only once its list is older than its rank allows, so the first reader's calls
/// serve the fleet and the loss of any reader costs a fraction of a second.
class SharedList
{
public:
    enum class News {
        /// Nothing that this daemon does not know.
        None,
        /// The list that this daemon has was still current at a later time.
        Confirmed,
        /// The sender has a later list, which is to be fetched.
        Newer
    };

    /// This daemon has read the list; a change is one against what it had before.
    void read(std::uint64_t revision, bool isChanged, Base::Instant now);
    News heard(const ListStatement &statement, Base::Instant now);
    /// The list that the statement is about was fetched.
    void fetched(const ListStatement &statement, Base::Instant now);

    /// Nothing before the first list.
    std::optional<ListStatement> statement(Base::Instant now) const;
    /// When a daemon of the rank is to read the list.
    Base::Instant nextRead(ReaderRank rank) const;
    std::uint64_t changedAt() const { return changedAt_; }
    /// When the list was last known to be current.
    Base::Instant asOf() const { return asOf_; }

private:
    std::uint64_t changedAt_ = 0;
    std::uint64_t confirmedAt_ = 0;
    std::uint64_t reads_ = 0;
    Base::Instant asOf_;
};

} // namespace Proxy
