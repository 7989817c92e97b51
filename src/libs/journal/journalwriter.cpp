#include "journalwriter.h"

#include "codec.h"

#include <base/visitor.h>

#include <algorithm>
#include <iterator>

namespace Journal {

namespace {

// Upper bound of the encoded fields of a segment or an entry besides its records.
constexpr Base::Bytes envelopeBytes{1000};
// Limit of entries sent to witnesses beyond the last one that all of them hold.
constexpr std::uint64_t maxEntriesAhead = 4;

Base::IncarnationId sealerOf(const std::optional<Platform::StoredObject> &object)
{
    if (!object) {
        return {};
    }
    const Base::Result<Segment> segment = decodeSegment(object->body);
    const bool isSeal
        = segment && !segment.value().entries.empty() && segment.value().entries.front().seal;
    return isSeal ? segment.value().entries.front().seal->by : Base::IncarnationId();
}

} // namespace

JournalWriter::JournalWriter(Base::IncarnationId incarnation, WriterSettings settings)
    : incarnation_(std::move(incarnation))
    , settings_(settings)
    , calls_(settings.storeTimeout, settings.storeRetryInterval)
    , rateLimiter_(settings.writesPerSecond, settings.writeBurst)
    , witnesses_(incarnation_, settings.witnessRetryInterval)
    , queue_(settings.maxSegmentBytes - envelopeBytes)
{}

Base::Result<void> JournalWriter::append(Ticket ticket,
                                         std::vector<Record> records,
                                         Base::Instant now)
{
    if (isFenced_) {
        Base::Error error;
        error.code = Base::ErrorCode::Unavailable;
        error.step = Base::Step::Journal;
        error.message = "the journal of " + incarnation_.text() + " was sealed by a successor";
        return error;
    }
    const Base::Bytes freeBytes = settings_.maxQueuedBytes - queuedBytes();
    BOOST_OUTCOME_TRYV(queue_.add(ticket, std::move(records), freeBytes, now));
    advance(now);
    return boost::outcome_v2::success();
}

void JournalWriter::setWitnesses(const WitnessSet &witnesses, Base::Instant now)
{
    witnesses_.add(witnesses, committedThrough_);
    advance(now);
}

void JournalWriter::witnessesConfirmed(const WitnessSet &witnesses, Base::Instant now)
{
    witnesses_.confirm(witnesses, lastSegment_.next());
    advance(now);
}

void JournalWriter::advance(Base::Instant now)
{
    if (isFenced_) {
        return;
    }
    if (const std::optional<EntrySequence> held = witnesses_.heldThrough()) {
        reportCommitted(std::min(*held, lastSequence_));
    }
    detectOutage(now);
    while (tryWriteSegment(now)) {
    }
    if (isOutage_) {
        createEntriesForWitnesses(now);
    }
    sendToWitnesses(now);
    for (WitnessSet &ready : witnesses_.takeReady(storedThrough_)) {
        actions_.emplace_back(WitnessesReady{std::move(ready)});
    }
    for (Platform::StoreRequest &request : calls_.takeRequests()) {
        actions_.emplace_back(SendStoreRequest{std::move(request)});
    }
}

void JournalWriter::detectOutage(Base::Instant now)
{
    const bool isSlow = std::any_of(inFlight_.begin(), inFlight_.end(), [&](const auto &segment) {
        return !segment.isWritten && segment.sentAt + settings_.outageTimeout <= now;
    });
    if (!isOutage_ && (isSlow || calls_.hasUnanswered())) {
        isOutage_ = true;
        actions_.emplace_back(OutageStarted{});
    }
}

std::size_t JournalWriter::createsInFlightLimit() const
{
    return calls_.hasUnanswered() ? 1 : settings_.maxCreatesInFlight;
}

bool JournalWriter::isEntryDue(Base::Instant now) const
{
    if (queue_.isEmpty()) {
        return witnesses_.needsSegment(lastSegment_);
    }
    return inFlight_.empty() || queue_.isFull()
           || queue_.oldestQueuedAt() + settings_.groupInterval <= now;
}

bool JournalWriter::tryWriteSegment(Base::Instant now)
{
    if (inFlight_.size() >= createsInFlightLimit()) {
        return false;
    }
    if (!hasUnassignedEntries() && !isEntryDue(now)) {
        return false;
    }
    if (!rateLimiter_.isAvailable(now)) {
        return false;
    }
    if (!hasUnassignedEntries()) {
        createEntry();
    }
    writeSegment(now);
    return true;
}

void JournalWriter::createEntry()
{
    lastSequence_ = lastSequence_.next();
    RecordQueue::Batch batch = queue_.takeBatch();
    unstoredBytes_ += batch.size;
    entries_.push_back({{incarnation_, lastSequence_, std::move(batch.records), std::nullopt},
                        batch.size,
                        std::move(batch.tickets)});
}

void JournalWriter::writeSegment(Base::Instant now)
{
    lastSegment_ = lastSegment_.next();
    rateLimiter_.consume();
    Segment segment;
    segment.writer = incarnation_;
    segment.number = lastSegment_;
    segment.writeId
        = Base::WriteId(incarnation_.text() + "." + std::to_string(lastSegment_.value()));
    Base::Bytes size;
    for (std::size_t i = indexAfter(entries_, assignedThrough_); i < entries_.size(); ++i) {
        const UnstoredEntry &unstored = entries_[i];
        size += unstored.size + envelopeBytes;
        if (!segment.entries.empty() && size > settings_.maxSegmentBytes) {
            break;
        }
        segment.entries.push_back(unstored.entry);
    }
    assignedThrough_ = segment.entries.back().sequence;
    Platform::PutObject put{segmentKey(incarnation_, lastSegment_),
                            Platform::ObjectVersion(),
                            encode(segment),
                            segment.writeId};
    const StoreCallId call = calls_.put(std::move(put), now);
    inFlight_.push_back({lastSegment_, assignedThrough_, call, now});
}

void JournalWriter::createEntriesForWitnesses(Base::Instant now)
{
    const std::optional<EntrySequence> held = witnesses_.heldThrough();
    if (!held) {
        return;
    }
    while (!queue_.isEmpty()) {
        const EntrySequence confirmed = std::max(*held, storedThrough_);
        const std::uint64_t ahead = lastSequence_.value() - confirmed.value();
        const bool isDue = ahead == 0 || queue_.isFull()
                           || queue_.oldestQueuedAt() + settings_.groupInterval <= now;
        if (!isDue || ahead >= maxEntriesAhead) {
            return;
        }
        createEntry();
    }
}

void JournalWriter::sendToWitnesses(Base::Instant now)
{
    std::vector<SendMessage> messages;
    if (isOutage_ && witnesses_.heldThrough()) {
        witnesses_.send(entries_, storedThrough_, now, messages);
    } else {
        witnesses_.trim(storedThrough_, now, messages);
    }
    std::move(messages.begin(), messages.end(), std::back_inserter(actions_));
}

void JournalWriter::handle(const Platform::StoreReply &reply, Base::Instant now)
{
    const std::optional<FinishedCall> finished = calls_.handle(reply, now);
    if (finished && !isFenced_) {
        if (const auto *lost = std::get_if<Platform::WriteLost>(&finished->result)) {
            fence(sealerOf(lost->current));
        } else {
            segmentWritten(finished->call);
        }
    }
    advance(now);
}

void JournalWriter::segmentWritten(StoreCallId call)
{
    const auto segment = std::find_if(
        inFlight_.begin(), inFlight_.end(), [&](const auto &entry) { return entry.call == call; });
    segment->isWritten = true;
    reportStoredSegments();
    endOutageIfDrained();
}

void JournalWriter::reportStoredSegments()
{
    // A seal can be stored instead of an earlier segment that is still in flight, so a segment
    // counts as stored only after all earlier ones.
    while (!inFlight_.empty() && inFlight_.front().isWritten) {
        const SegmentInFlight segment = inFlight_.front();
        inFlight_.pop_front();
        storedSegment_ = segment.number;
        storedThrough_ = segment.last;
        reportCommitted(segment.last);
        SegmentStored stored{segment.number, segment.last, {}, {}};
        while (!entries_.empty() && entries_.front().entry.sequence <= segment.last) {
            UnstoredEntry &front = entries_.front();
            stored.size += front.size;
            std::move(front.entry.records.begin(),
                      front.entry.records.end(),
                      std::back_inserter(stored.records));
            entries_.pop_front();
        }
        unstoredBytes_ -= stored.size;
        witnesses_.segmentStored(segment.number);
        actions_.emplace_back(std::move(stored));
    }
}

void JournalWriter::reportCommitted(EntrySequence through)
{
    const std::size_t end = indexAfter(entries_, through);
    for (std::size_t i = indexAfter(entries_, committedThrough_); i < end; ++i) {
        for (const Ticket ticket : entries_[i].tickets) {
            actions_.emplace_back(RecordsCommitted{ticket});
        }
    }
    committedThrough_ = std::max(committedThrough_, through);
}

void JournalWriter::endOutageIfDrained()
{
    if (!isOutage_ || calls_.hasUnanswered()) {
        return;
    }
    Base::Bytes backlog;
    for (std::size_t i = indexAfter(entries_, assignedThrough_); i < entries_.size(); ++i) {
        backlog += entries_[i].size + envelopeBytes;
    }
    if (backlog <= settings_.maxSegmentBytes) {
        isOutage_ = false;
        actions_.emplace_back(OutageEnded{});
    }
}

void JournalWriter::handle(const WitnessAppendReply &reply, Base::Instant now)
{
    if (isFenced_) {
        return;
    }
    if (witnesses_.handle(reply) == WitnessVerdict::Sealed) {
        fence(Base::IncarnationId());
        return;
    }
    advance(now);
}

void JournalWriter::fence(const Base::IncarnationId &by)
{
    isFenced_ = true;
    Fenced fenced{by, {}};
    for (const UnstoredEntry &unstored : entries_) {
        if (unstored.entry.sequence > committedThrough_) {
            fenced.uncommitted.insert(
                fenced.uncommitted.end(), unstored.tickets.begin(), unstored.tickets.end());
        }
    }
    const std::vector<Ticket> waiting = queue_.tickets();
    fenced.uncommitted.insert(fenced.uncommitted.end(), waiting.begin(), waiting.end());
    calls_.cancelAll();
    entries_.clear();
    queue_ = RecordQueue(Base::Bytes());
    unstoredBytes_ = Base::Bytes();
    inFlight_.clear();
    actions_.emplace_back(std::move(fenced));
}

void JournalWriter::tick(Base::Instant now)
{
    if (isFenced_) {
        return;
    }
    calls_.tick(now);
    advance(now);
}

std::optional<Base::Instant> JournalWriter::nextSegmentAt() const
{
    const bool hasWork
        = hasUnassignedEntries() || !queue_.isEmpty() || witnesses_.needsSegment(lastSegment_);
    if (!hasWork || inFlight_.size() >= createsInFlightLimit()) {
        return std::nullopt;
    }
    const Base::Instant allowed = rateLimiter_.availableAt();
    if (hasUnassignedEntries() || queue_.isEmpty() || inFlight_.empty()) {
        return allowed;
    }
    return std::max(allowed, queue_.oldestQueuedAt() + settings_.groupInterval);
}

std::optional<Base::Instant> JournalWriter::nextWakeUp() const
{
    if (isFenced_) {
        return std::nullopt;
    }
    std::optional<Base::Instant> earliest;
    const auto consider = [&earliest](const std::optional<Base::Instant> &at) {
        if (at) {
            earliest = earliest ? std::min(*earliest, *at) : *at;
        }
    };
    consider(calls_.nextWakeUp());
    consider(nextSegmentAt());
    consider(witnesses_.nextWakeUp());
    if (!isOutage_ && !inFlight_.empty()) {
        consider(inFlight_.front().sentAt + settings_.outageTimeout);
    }
    const std::optional<EntrySequence> held = witnesses_.heldThrough();
    const bool waitsForGroup
        = isOutage_ && held && !queue_.isEmpty()
          && lastSequence_.value() < std::max(*held, storedThrough_).value() + maxEntriesAhead;
    if (waitsForGroup) {
        consider(queue_.oldestQueuedAt() + settings_.groupInterval);
    }
    return earliest;
}

CommitPath JournalWriter::path(Base::Instant now) const
{
    if (isFenced_) {
        return CommitPath::Fenced;
    }
    if (!isOutage_) {
        return CommitPath::Store;
    }
    const bool canUseWitnesses = witnesses_.heldThrough() && witnesses_.isResponsive(now);
    return canUseWitnesses ? CommitPath::Witnesses : CommitPath::None;
}

std::vector<WriterAction> JournalWriter::takeActions()
{
    return std::exchange(actions_, {});
}

} // namespace Journal
