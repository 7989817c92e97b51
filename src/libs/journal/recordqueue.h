#pragma once

#include "record.h"

#include <deque>

namespace Journal {

/// Queue of appended records that are not in an entry yet. Large appends are split between records
/// so that each piece fits into an entry.
class RecordQueue
{
public:
    /// Records of one entry, and the appends that end in it.
    struct Batch
    {
        std::vector<Record> records;
        std::vector<Ticket> tickets;
        Base::Bytes size;
    };

    explicit RecordQueue(Base::Bytes entryLimit);

    /// Queues one append. Errors: TooLarge if a record does not fit into an entry, Unavailable if
    /// the append needs more than `freeBytes`.
    Base::Result<void> add(Ticket ticket,
                           std::vector<Record> records,
                           Base::Bytes freeBytes,
                           Base::Instant now);
    /// Cancels an append that is still queued as a whole; returns false otherwise.
    bool cancel(Ticket ticket);
    /// Removes and returns the records of the next entry, up to the limit.
    Batch takeBatch();

    bool isEmpty() const { return pieces_.empty(); }
    Base::Bytes size() const { return size_; }
    /// Whether the queued records fill at least one entry.
    bool isFull() const { return size_ >= entryLimit_; }
    /// Time at which the oldest record was queued; only valid if the queue is not empty.
    Base::Instant oldestQueuedAt() const { return pieces_.front().at; }
    /// Appends that are queued, wholly or in part.
    std::vector<Ticket> tickets() const;

private:
    struct Piece
    {
        Ticket ticket;
        std::vector<Record> records;
        Base::Bytes size;
        Base::Instant at;
        bool isFirst = true;
        bool isLast = true;
    };

    Base::Bytes entryLimit_;
    std::deque<Piece> pieces_;
    Base::Bytes size_;
};

} // namespace Journal
