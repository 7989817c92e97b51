#pragma once

#include "turn.h"

#include <cstdint>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

namespace TurnHistory {

/// Where the record of a turn is on disk.
struct TurnPosition
{
    std::uint64_t segment = 0;
    /// In bytes from the start of the segment.
    std::uint64_t offset = 0;
    std::uint32_t bytes = 0;

    bool operator==(const TurnPosition &) const = default;
};

struct IndexedTurn
{
    TurnId id;
    TurnId previous;
    std::string placementKey;
    /// End of the retention of the turn and of all turns that continue it.
    UnixTime keepUntil;
    TurnPosition position;
    /// Order in which this daemon added its turns, from 1.
    std::uint64_t sequence = 0;
};

/// The turns on the disk of one daemon.
class TurnIndex
{
public:
    /// Ignores a turn that is already indexed. Extends the retention of the turns that it
    /// continues.
    void add(const Turn &turn, const TurnPosition &position);

    const IndexedTurn *find(const TurnId &id) const;
    /// Returns the turn and its predecessors, newest first, up to the first that is not indexed.
    /// Returns at most \a maxBytes of records, but at least one turn.
    std::vector<const IndexedTurn *> chain(const TurnId &id, std::uint64_t maxBytes) const;
    /// Returns the next turn after the given sequence number; nullptr if there is none.
    const IndexedTurn *next(std::uint64_t sequence) const;

    /// Sequence number of the turn that was added last; 0 before the first.
    std::uint64_t lastSequence() const { return lastSequence_; }
    std::size_t size() const { return turns_.size(); }

    bool hasSegment(std::uint64_t segment) const { return segments_.contains(segment); }
    /// Segments in which the retention of every turn has ended.
    std::vector<std::uint64_t> expiredSegments(UnixTime now) const;
    /// Removes the turns of a segment whose retention has ended at \a now.
    void removeSegment(std::uint64_t segment, UnixTime now);

private:
    void extendRetention(const TurnId &id, UnixTime keepUntil);

    std::unordered_map<TurnId, std::unique_ptr<IndexedTurn>> turns_;
    std::map<std::uint64_t, const IndexedTurn *> bySequence_;
    /// End of the retention of the last turn in each segment.
    std::map<std::uint64_t, UnixTime> segments_;
    /// Retention of turns that are continued by indexed ones but are not indexed themselves.
    std::unordered_map<TurnId, UnixTime> awaited_;
    std::uint64_t lastSequence_ = 0;
};

} // namespace TurnHistory
