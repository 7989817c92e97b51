#include "journalrecovery.h"

#include "codec.h"

#include <algorithm>

namespace Journal {

JournalRecovery::JournalRecovery(RecoverySettings settings)
    : settings_(std::move(settings))
    , calls_(settings_.storeTimeout, settings_.storeRetryInterval)
    , reader_(settings_.owner, settings_.maxReadsInFlight)
{}

void JournalRecovery::start(Base::Instant now)
{
    reader_.start(calls_, now);
    sendRequests();
}

void JournalRecovery::handle(const Platform::StoreReply &reply, Base::Instant now)
{
    if (const std::optional<FinishedCall> finished = calls_.handle(reply, now)) {
        handleFinished(*finished, now);
    }
    sendRequests();
}

void JournalRecovery::handleFinished(const FinishedCall &finished, Base::Instant now)
{
    if (phase_ == Phase::Done) {
        return;
    }
    if (sealCall_ == finished.call) {
        sealCall_.reset();
        if (std::holds_alternative<Platform::WriteConfirmed>(finished.result)) {
            checkCheckpoint(now);
            return;
        }
        // The owner's segment or another successor's seal was written first, so it is read.
        phase_ = Phase::Reading;
        reader_.resume(calls_, now);
        return;
    }
    if (checkpointCheckCall_ == finished.call) {
        checkpointCheckCall_.reset();
        checkpointChecked(std::get<ReadAnswered>(finished.result), now);
        return;
    }
    if (reader_.handle(finished, calls_, now) && phase_ == Phase::Reading) {
        checkReadingDone(now);
    }
}

void JournalRecovery::checkReadingDone(Base::Instant now)
{
    if (reader_.error()) {
        fail(*reader_.error());
        return;
    }
    if (!reader_.isAtEnd()) {
        return;
    }
    if (reader_.isSealed()) {
        checkCheckpoint(now);
        return;
    }
    seal(now);
}

void JournalRecovery::seal(Base::Instant now)
{
    phase_ = Phase::Sealing;
    Segment segment;
    segment.writer = settings_.self;
    segment.number = reader_.end();
    segment.writeId = Base::WriteId(settings_.writeId.text() + ".seal."
                                    + std::to_string(segment.number.value()));
    segment.entries.push_back(
        {settings_.owner, reader_.throughSequence().next(), {}, SealMark{settings_.self}});
    Platform::PutObject put{segmentKey(settings_.owner, segment.number),
                            Platform::ObjectVersion(),
                            encode(segment),
                            segment.writeId};
    sealCall_ = calls_.put(std::move(put), now);
}

void JournalRecovery::checkCheckpoint(Base::Instant now)
{
    // Compaction may have deleted a segment that was read as absent. The seal then has a segment
    // number that the owner never uses again, and the checkpoint has a new version.
    phase_ = Phase::CheckingCheckpoint;
    checkpointCheckCall_ = calls_.get(checkpointKey(settings_.owner), now);
}

void JournalRecovery::checkpointChecked(const ReadAnswered &answer, Base::Instant now)
{
    const Platform::ObjectVersion version
        = answer.object ? answer.object->version : Platform::ObjectVersion();
    if (version != reader_.checkpointVersion()) {
        phase_ = Phase::Reading;
        reader_.start(calls_, now);
        return;
    }
    // The lease is read after the seal because the owner stops using an earlier witness only once
    // it has stored a segment after the confirmation of the new lease.
    phase_ = Phase::AwaitingLease;
    actions_.emplace_back(LeaseNeeded{settings_.owner});
}

void JournalRecovery::leaseRead(const std::set<Base::IncarnationId> &witnesses, Base::Instant now)
{
    if (phase_ != Phase::AwaitingLease) {
        return;
    }
    phase_ = Phase::SealingWitnesses;
    witnesses_ = witnesses;
    if (witnesses_.empty()) {
        // Without witnesses the owner commits in the store only.
        finish(false);
        return;
    }
    for (const Base::IncarnationId &witness : witnesses_) {
        copies_[witness].next = reader_.throughSequence().next();
    }
    requestSeals(now);
    finishIfAllGone();
}

void JournalRecovery::requestSeals(Base::Instant now)
{
    for (const Base::IncarnationId &witness : witnesses_) {
        if (!gone_.contains(witness)) {
            requestSeal(witness);
        }
    }
    sealRetryAt_ = now + settings_.witnessRetryInterval;
}

void JournalRecovery::requestSeal(const Base::IncarnationId &witness)
{
    const WitnessSeal message{settings_.owner, witness, settings_.self, copies_[witness].next};
    actions_.emplace_back(SendMessage{witness, message});
}

void JournalRecovery::handle(const WitnessSealReply &reply, Base::Instant now)
{
    const bool isExpected = phase_ == Phase::SealingWitnesses && reply.owner == settings_.owner
                            && reply.successor == settings_.self
                            && witnesses_.contains(reply.witness);
    if (!isExpected) {
        return;
    }
    WitnessCopy &copy = copies_[reply.witness];
    for (const Entry &entry : reply.entries) {
        if (entry.sequence == copy.next) {
            copy.entries.push_back(entry);
            copy.next = copy.next.next();
        }
    }
    if (copy.next <= reply.heldThrough) {
        requestSeal(reply.witness);
        sealRetryAt_ = now + settings_.witnessRetryInterval;
        return;
    }
    applyWitness(std::move(copy));
    finish(false);
}

void JournalRecovery::applyWitness(WitnessCopy copy)
{
    for (Entry &entry : copy.entries) {
        for (Record &record : entry.records) {
            if (const auto *intent = std::get_if<CallIntent>(&record.body)) {
                witnessIntents_.emplace(intent->program, intent->number);
            }
            reader_.replay().apply(std::move(record));
        }
    }
}

void JournalRecovery::incarnationGone(const Base::IncarnationId &incarnation, Base::Instant)
{
    gone_.insert(incarnation);
    finishIfAllGone();
}

void JournalRecovery::finishIfAllGone()
{
    if (phase_ != Phase::SealingWitnesses || !gone_.contains(settings_.owner)) {
        return;
    }
    const bool areAllGone
        = std::all_of(witnesses_.begin(), witnesses_.end(), [this](const auto &witness) {
              return gone_.contains(witness);
          });
    if (areAllGone) {
        finish(true);
    }
}

void JournalRecovery::finish(bool isDegraded)
{
    phase_ = Phase::Done;
    RecoveryDone done;
    done.owner = settings_.owner;
    done.isDegraded = isDegraded;
    done.sealedAt = reader_.end();
    for (const Base::PartitionId partition : settings_.partitions) {
        ReplayedPartition *found = reader_.replay().find(partition);
        done.partitions[partition] = found ? std::move(*found) : ReplayedPartition();
    }
    collectUncertainCalls(done);
    actions_.emplace_back(std::move(done));
}

void JournalRecovery::collectUncertainCalls(RecoveryDone &done) const
{
    for (const auto &[partition, replayed] : done.partitions) {
        for (const auto &[id, program] : replayed.programs) {
            const std::optional<CallIntent> &open = program.state.openCall;
            if (!open) {
                continue;
            }
            const bool isFromWitness = witnessIntents_.contains({id, open->number});
            done.uncertain.push_back(
                {partition, id, open->number, open->isIdempotent, isFromWitness});
        }
    }
}

void JournalRecovery::fail(const Base::Error &error)
{
    phase_ = Phase::Done;
    actions_.emplace_back(RecoveryFailed{error});
}

void JournalRecovery::tick(Base::Instant now)
{
    calls_.tick(now);
    if (phase_ == Phase::SealingWitnesses && sealRetryAt_ && *sealRetryAt_ <= now) {
        if (!hasReportedBlocked_) {
            hasReportedBlocked_ = true;
            Base::Error error;
            error.code = Base::ErrorCode::Unavailable;
            error.step = Base::Step::Recover;
            error.peer = witnesses_.begin()->text();
            error.message = "none of " + std::to_string(witnesses_.size()) + " witnesses of "
                            + settings_.owner.text() + " could be sealed yet";
            actions_.emplace_back(RecoveryBlocked{std::move(error)});
        }
        requestSeals(now);
    }
    sendRequests();
}

std::optional<Base::Instant> JournalRecovery::nextWakeUp() const
{
    if (phase_ == Phase::Done) {
        return std::nullopt;
    }
    if (phase_ == Phase::SealingWitnesses) {
        return sealRetryAt_;
    }
    return calls_.nextWakeUp();
}

void JournalRecovery::sendRequests()
{
    for (Platform::StoreRequest &request : calls_.takeRequests()) {
        actions_.emplace_back(SendStoreRequest{std::move(request)});
    }
}

std::vector<RecoveryAction> JournalRecovery::takeActions()
{
    return std::exchange(actions_, {});
}

} // namespace Journal
