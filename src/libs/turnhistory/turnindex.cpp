#include "turnindex.h"

namespace TurnHistory {

namespace {

/// Clocks of VMs differ, and may be stepped by some seconds.
constexpr Base::Duration clockTolerance = std::chrono::seconds(10);

UnixTime endOfRetention(const Turn &turn)
{
    const auto kept
        = std::chrono::duration_cast<std::chrono::milliseconds>(turn.retention + clockTolerance);
    return turn.endedAt + UnixTime(kept.count());
}

} // namespace

void TurnIndex::add(const Turn &turn, const TurnPosition &position)
{
    UnixTime keepUntil = endOfRetention(turn);
    if (const auto successor = awaited_.find(turn.id); successor != awaited_.end()) {
        keepUntil = std::max(keepUntil, successor->second);
        awaited_.erase(successor);
    }
    UnixTime &segmentEnd = segments_[position.segment];
    segmentEnd = std::max(segmentEnd, keepUntil);
    if (turns_.contains(turn.id)) {
        return;
    }
    auto entry = std::make_unique<IndexedTurn>(IndexedTurn{
        turn.id, turn.previous, turn.placementKey, keepUntil, position, ++lastSequence_});
    bySequence_.emplace(entry->sequence, entry.get());
    turns_.emplace(turn.id, std::move(entry));
    extendRetention(turn.previous, keepUntil);
}

/// Extends the retention of the turn and of its predecessors. A predecessor is never kept for a
/// shorter time than its successors, so the walk ends at the first that is kept long enough.
void TurnIndex::extendRetention(const TurnId &id, UnixTime keepUntil)
{
    TurnId current = id;
    while (!current.isEmpty()) {
        const auto entry = turns_.find(current);
        if (entry == turns_.end()) {
            UnixTime &awaited = awaited_[current];
            awaited = std::max(awaited, keepUntil);
            return;
        }
        IndexedTurn &turn = *entry->second;
        if (turn.keepUntil >= keepUntil) {
            return;
        }
        turn.keepUntil = keepUntil;
        UnixTime &segmentEnd = segments_[turn.position.segment];
        segmentEnd = std::max(segmentEnd, keepUntil);
        current = turn.previous;
    }
}

const IndexedTurn *TurnIndex::find(const TurnId &id) const
{
    const auto entry = turns_.find(id);
    return entry == turns_.end() ? nullptr : entry->second.get();
}

std::vector<const IndexedTurn *> TurnIndex::chain(const TurnId &id, std::uint64_t maxBytes) const
{
    std::vector<const IndexedTurn *> result;
    std::uint64_t bytes = 0;
    // A chain is never longer than the index; this also ends on a cycle of damaged records.
    for (const IndexedTurn *turn = find(id); turn && result.size() < turns_.size();
         turn = find(turn->previous)) {
        bytes += turn->position.bytes;
        if (!result.empty() && bytes > maxBytes) {
            break;
        }
        result.push_back(turn);
    }
    return result;
}

const IndexedTurn *TurnIndex::next(std::uint64_t sequence) const
{
    const auto entry = bySequence_.upper_bound(sequence);
    return entry == bySequence_.end() ? nullptr : entry->second;
}

std::vector<std::uint64_t> TurnIndex::expiredSegments(UnixTime now) const
{
    std::vector<std::uint64_t> result;
    for (const auto &[segment, keepUntil] : segments_) {
        if (keepUntil < now) {
            result.push_back(segment);
        }
    }
    return result;
}

void TurnIndex::removeSegment(std::uint64_t segment, UnixTime now)
{
    segments_.erase(segment);
    std::erase_if(turns_, [&](const auto &entry) {
        const bool isInSegment = entry.second->position.segment == segment;
        if (isInSegment) {
            bySequence_.erase(entry.second->sequence);
        }
        return isInSegment;
    });
    std::erase_if(awaited_, [&](const auto &entry) { return entry.second < now; });
}

} // namespace TurnHistory
