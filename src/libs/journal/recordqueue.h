#pragma once

#include "record.h"

#include <deque>

namespace Journal {

/// Records that are not in an entry yet, append by append. Large appends are cut at records so
/// that each piece fits into an entry.
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
    /// more than `room` would be needed.
    Base::Result<void> add(Ticket ticket,
                           std::vector<Record> records,
                           Base::Bytes room,
                           Base::Instant now);
    /// Takes back an append of which nothing was taken; false if some of it was.
    bool withdraw(Ticket ticket);
    /// The next entry's records, up to the limit.
    Batch take();

    bool isEmpty() const { return pieces_.empty(); }
    Base::Bytes size() const { return size_; }
    /// Whether more than one entry's records wait.
    bool isFull() const { return size_ >= entryLimit_; }
    /// When the oldest record came; only if not empty.
    Base::Instant oldest() const { return pieces_.front().at; }
    /// Appends that wait, wholly or in part.
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
