#include "recordqueue.h"

#include "codec.h"

#include <algorithm>
#include <iterator>

namespace Journal {

namespace {

Base::Error queueError(Base::ErrorCode code, std::string message)
{
    Base::Error error;
    error.code = code;
    error.step = Base::Step::Journal;
    error.message = std::move(message);
    return error;
}

} // namespace

RecordQueue::RecordQueue(Base::Bytes entryLimit)
    : entryLimit_(entryLimit)
{}

Base::Result<void> RecordQueue::add(Ticket ticket,
                                    std::vector<Record> records,
                                    Base::Bytes freeBytes,
                                    Base::Instant now)
{
    Base::Bytes total;
    std::deque<Piece> pieces{Piece{ticket, {}, Base::Bytes(), now}};
    for (Record &record : records) {
        const Base::Bytes size = sizeBound(record);
        if (size > entryLimit_) {
            return queueError(Base::ErrorCode::TooLarge,
                              "record of up to " + std::to_string(size.value())
                                  + " bytes exceeds the limit of a journal entry, "
                                  + std::to_string(entryLimit_.value()) + " bytes");
        }
        if (pieces.back().size + size > entryLimit_) {
            pieces.back().isLast = false;
            pieces.push_back({ticket, {}, Base::Bytes(), now, false});
        }
        pieces.back().records.push_back(std::move(record));
        pieces.back().size += size;
        total += size;
    }
    if (total > freeBytes) {
        return queueError(Base::ErrorCode::Unavailable,
                          "the journal's queue is full: append of " + std::to_string(total.value())
                              + " bytes, " + std::to_string(freeBytes.value()) + " bytes free");
    }
    size_ += total;
    std::move(pieces.begin(), pieces.end(), std::back_inserter(pieces_));
    return boost::outcome_v2::success();
}

bool RecordQueue::cancel(Ticket ticket)
{
    const auto first = std::find_if(
        pieces_.begin(), pieces_.end(), [&](const Piece &piece) { return piece.ticket == ticket; });
    if (first == pieces_.end() || !first->isFirst) {
        return false;
    }
    const auto last = std::find_if(first, pieces_.end(), [](const Piece &p) { return p.isLast; });
    for (auto piece = first; piece != std::next(last); ++piece) {
        size_ -= piece->size;
    }
    pieces_.erase(first, std::next(last));
    return true;
}

RecordQueue::Batch RecordQueue::takeBatch()
{
    Batch batch;
    while (!pieces_.empty() && batch.size + pieces_.front().size <= entryLimit_) {
        Piece &piece = pieces_.front();
        batch.size += piece.size;
        std::move(piece.records.begin(), piece.records.end(), std::back_inserter(batch.records));
        if (piece.isLast) {
            batch.tickets.push_back(piece.ticket);
        }
        pieces_.pop_front();
    }
    size_ -= batch.size;
    return batch;
}

std::vector<Ticket> RecordQueue::tickets() const
{
    std::vector<Ticket> tickets;
    for (const Piece &piece : pieces_) {
        if (piece.isLast) {
            tickets.push_back(piece.ticket);
        }
    }
    return tickets;
}

} // namespace Journal
