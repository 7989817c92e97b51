#include "journalwriter.h"

#include "codec.h"

#include <base/visitor.h>

#include <algorithm>
#include <iterator>

namespace Journal {

namespace {

// What a segment's and an entry's own fields take at most.
constexpr Base::Bytes envelopeBytes{1000};
// Entries sent to witnesses beyond the last one that all of them hold.
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
    , allowance_(settings.writesPerSecond, settings.writeBurst)
    , witnesses_(incarnation_, settings.witnessRetryInterval)
    , open_(settings.maxSegmentBytes - envelopeBytes)
{}

Base::Result<void> JournalWriter::append(Ticket ticket,
                                         std::vector<Record> records,
                                         Base::Instant now)
{
    if (isFenced_) {
        Base::Error error;
        error.code = Base::ErrorCode::Unavailable;
        error.step = Base::Step::Journal;
        error.message = "a successor sealed the journal";
        return error;
    }
    const Base::Bytes room = settings_.maxQueuedBytes - queuedBytes();
    BOOST_OUTCOME_TRYV(open_.add(ticket, std::move(records), room, now));
    pump(now);
    return boost::outcome_v2::success();
}

void JournalWriter::setWitnesses(const WitnessSet &witnesses, Base::Instant now)
{
    witnesses_.add(witnesses, toldThrough_);
    pump(now);
}

void JournalWriter::witnessesConfirmed(const WitnessSet &witnesses, Base::Instant now)
{
    witnesses_.confirm(witnesses, lastSegment_.next());
    pump(now);
}

void JournalWriter::pump(Base::Instant now)
{
    if (isFenced_) {
        return;
    }
    if (const std::optional<EntrySequence> held = witnesses_.heldThrough()) {
        tellCommitted(std::min(*held, lastSequence_));
    }
    detectOutage(now);
    while (startSegment(now)) {
    }
    if (isOutage_) {
        formForWitnesses(now);
    }
    sendToWitnesses(now);
    for (WitnessSet &ready : witnesses_.takeReady(storedThrough_)) {
        actions_.emplace_back(WitnessesReady{std::move(ready)});
    }
    for (Platform::StoreRequest &request : calls_.takeRequests()) {
        actions_.emplace_back(SendStore{std::move(request)});
    }
}

void JournalWriter::detectOutage(Base::Instant now)
{
    const bool isSlow = std::any_of(inFlight_.begin(), inFlight_.end(), [&](const auto &segment) {
        return !segment.isWritten && segment.sentAt + settings_.outageAfter <= now;
    });
    if (!isOutage_ && (isSlow || calls_.hasUnanswered())) {
        isOutage_ = true;
        actions_.emplace_back(OutageStarted{});
    }
}

std::size_t JournalWriter::createLimit() const
{
    return calls_.hasUnanswered() ? 1 : settings_.maxCreatesInFlight;
}

bool JournalWriter::isEntryDue(Base::Instant now) const
{
    if (open_.isEmpty()) {
        return witnesses_.needsSegment(lastSegment_);
    }
    return inFlight_.empty() || open_.isFull() || open_.oldest() + settings_.groupInterval <= now;
}

bool JournalWriter::startSegment(Base::Instant now)
{
    if (inFlight_.size() >= createLimit()) {
        return false;
    }
    if (!hasUnassigned() && !isEntryDue(now)) {
        return false;
    }
    if (!allowance_.isAvailable(now)) {
        return false;
    }
    if (!hasUnassigned()) {
        formEntry();
    }
    assignSegment(now);
    return true;
}

void JournalWriter::formEntry()
{
    lastSequence_ = lastSequence_.next();
    RecordQueue::Batch batch = open_.take();
    unstoredBytes_ += batch.size;
    entries_.push_back({{incarnation_, lastSequence_, std::move(batch.records), std::nullopt},
                        batch.size,
                        std::move(batch.tickets)});
}

void JournalWriter::assignSegment(Base::Instant now)
{
    lastSegment_ = lastSegment_.next();
    allowance_.spend();
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

void JournalWriter::formForWitnesses(Base::Instant now)
{
    const std::optional<EntrySequence> held = witnesses_.heldThrough();
    if (!held) {
        return;
    }
    while (!open_.isEmpty()) {
        const EntrySequence confirmed = std::max(*held, storedThrough_);
        const std::uint64_t ahead = lastSequence_.value() - confirmed.value();
        const bool isDue
            = ahead == 0 || open_.isFull() || open_.oldest() + settings_.groupInterval <= now;
        if (!isDue || ahead >= maxEntriesAhead) {
            return;
        }
        formEntry();
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
    pump(now);
}

void JournalWriter::segmentWritten(StoreCallId call)
{
    const auto segment = std::find_if(
        inFlight_.begin(), inFlight_.end(), [&](const auto &entry) { return entry.call == call; });
    segment->isWritten = true;
    advanceStored();
    endOutageIfDrained();
}

void JournalWriter::advanceStored()
{
    // A seal can take the place of an earlier segment that is still under way, so a segment
    // counts only after all earlier ones.
    while (!inFlight_.empty() && inFlight_.front().isWritten) {
        const SegmentInFlight segment = inFlight_.front();
        inFlight_.pop_front();
        storedSegment_ = segment.number;
        storedThrough_ = segment.last;
        tellCommitted(segment.last);
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

void JournalWriter::tellCommitted(EntrySequence through)
{
    const std::size_t end = indexAfter(entries_, through);
    for (std::size_t i = indexAfter(entries_, toldThrough_); i < end; ++i) {
        for (const Ticket ticket : entries_[i].tickets) {
            actions_.emplace_back(RecordsCommitted{ticket});
        }
    }
    toldThrough_ = std::max(toldThrough_, through);
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
    pump(now);
}

void JournalWriter::fence(const Base::IncarnationId &by)
{
    isFenced_ = true;
    Fenced fenced{by, {}};
    for (const UnstoredEntry &unstored : entries_) {
        if (unstored.entry.sequence > toldThrough_) {
            fenced.uncommitted.insert(
                fenced.uncommitted.end(), unstored.tickets.begin(), unstored.tickets.end());
        }
    }
    const std::vector<Ticket> waiting = open_.tickets();
    fenced.uncommitted.insert(fenced.uncommitted.end(), waiting.begin(), waiting.end());
    calls_.cancelAll();
    entries_.clear();
    open_ = RecordQueue(Base::Bytes());
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
    pump(now);
}

std::optional<Base::Instant> JournalWriter::nextSegmentAt() const
{
    const bool hasWork
        = hasUnassigned() || !open_.isEmpty() || witnesses_.needsSegment(lastSegment_);
    if (!hasWork || inFlight_.size() >= createLimit()) {
        return std::nullopt;
    }
    const Base::Instant allowed = allowance_.availableAt();
    if (hasUnassigned() || open_.isEmpty() || inFlight_.empty()) {
        return allowed;
    }
    return std::max(allowed, open_.oldest() + settings_.groupInterval);
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
        consider(inFlight_.front().sentAt + settings_.outageAfter);
    }
    const std::optional<EntrySequence> held = witnesses_.heldThrough();
    const bool waitsForGroup
        = isOutage_ && held && !open_.isEmpty()
          && lastSequence_.value() < std::max(*held, storedThrough_).value() + maxEntriesAhead;
    if (waitsForGroup) {
        consider(open_.oldest() + settings_.groupInterval);
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
    const bool canUseWitnesses = witnesses_.heldThrough() && witnesses_.isAnswering(now);
    return canUseWitnesses ? CommitPath::Witnesses : CommitPath::None;
}

std::vector<WriterAction> JournalWriter::takeActions()
{
    return std::exchange(actions_, {});
}

} // namespace Journal
