#pragma once

#include <base/instant.h>
#include <base/strongtype.h>

#include <cstdint>
#include <optional>

namespace Proxy {

/// Describes a daemon's copy of a list in the store to other daemons.
struct ListReport
{
    /// Revision of the store at which the list was first seen with this content.
    std::uint64_t changedAt = 0;
    /// Revision of the store at which this content was last confirmed.
    std::uint64_t confirmedAt = 0;
    /// Position among the reads at that revision; together they identify the confirming read.
    std::uint64_t reads = 0;
    /// Time since that read from the store, by any daemon.
    Base::Duration age{};

    bool operator==(const ListReport &) const = default;
};

/// Position of a daemon in the order in which they read the list for all others; 0 reads first.
using ReaderRank = Base::StrongNumber<struct ReaderRankTag, std::uint32_t>;

inline constexpr ReaderRank firstReader(0);
inline constexpr ReaderRank secondReader(1);
/// Rank of all daemons that are not among the first in the order.
inline constexpr ReaderRank lastReader(16);

/// Age of the list at which a daemon of that rank reads it.
Base::Duration maxAge(ReaderRank rank);

/// Age of a list that some daemons read from the store and all others fetch from them. A daemon
/// reads the list itself only if its copy is older than its rank allows. So the calls of the first
/// reader serve the fleet, and the loss of any reader delays updates by a fraction of a second. A
/// daemon that had to read in place of those before it stays the reader until another read confirms
/// the list: the store may reject the others for long.
class SharedList
{
public:
    enum class ReportOutcome {
        /// The report is not newer than this daemon's copy.
        NothingNew,
        /// This daemon's copy was still current at a later read.
        Confirmed,
        /// The sender has a newer list.
        FetchRequired
    };

    /// Records a read by this daemon; \a isChanged refers to its previous copy.
    void read(std::uint64_t revision, bool isChanged, Base::Instant now);
    ReportOutcome applyReport(const ListReport &report, Base::Instant now);
    /// Records that the reported list was fetched.
    void fetched(const ListReport &report, Base::Instant now);

    /// Returns nothing before the first list.
    std::optional<ListReport> report(Base::Instant now) const;
    /// The time at which a daemon of the rank reads the list.
    Base::Instant nextRead(ReaderRank rank) const;
    std::uint64_t changedAt() const { return changedAt_; }
    /// Whether this daemon reads in place of those before it in the order.
    bool isActingReader() const { return isActingReader_; }
    /// The time at which the list was last known to be current.
    Base::Instant asOf() const { return asOf_; }

private:
    std::uint64_t changedAt_ = 0;
    std::uint64_t confirmedAt_ = 0;
    std::uint64_t reads_ = 0;
    Base::Instant asOf_;
    bool isActingReader_ = false;
};

} // namespace Proxy
