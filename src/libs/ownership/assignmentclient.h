#pragma once

#include "assignmentplan.h"
#include "requestsender.h"

#include <base/instant.h>
#include <base/random.h>
#include <platform/conditionalwriter.h>

#include <optional>
#include <vector>

namespace Ownership {

struct AssignmentClientSettings
{
    Base::Duration storeRetry{};
    Base::Duration editBatch{};
};

/// Reads the assignment within bounds and writes edits of it by conditional updates.
class AssignmentClient
{
public:
    AssignmentClient(AssignmentClientSettings settings,
                     std::string writeIdPrefix,
                     std::uint64_t seed,
                     RequestSender &sender);

    /// Pauses between reads and lazy writes grow with the fleet, so that the store's load does not
    /// grow with its square.
    void setFleetSize(std::size_t size) { fleetSize_ = size; }

    void readNow(Base::Instant now);
    /// Reads within the spacing of reads.
    void readSoon(Base::Instant now);
    /// A peer knows this version.
    void noteVersion(Platform::ObjectVersion version, Base::Instant now);

    /// Writes the edit with the next batch; a repeated edit is queued once.
    void addEdit(const AssignmentEdit &edit, Base::Instant now);
    /// Writes the edit within a pause that spreads the daemons' writes, or with an earlier batch.
    void addLazyEdit(const AssignmentEdit &edit, Base::Instant now);

    /// True if the reply was for this object; then the assignment may have changed.
    bool handle(const Platform::StoreReply &reply, Base::Instant now);
    void tick(const std::vector<Candidate> &candidates, Base::Instant now);
    std::optional<Base::Instant> nextWakeUp() const;

    /// Null until one was read.
    const Assignment *assignment() const { return assignment_ ? &*assignment_ : nullptr; }
    Platform::ObjectVersion version() const { return version_; }
    /// The store was read and has no assignment.
    bool isAbsent() const { return isAbsent_; }
    /// Daemons that gained partitions by this daemon's own writes since the last call.
    std::vector<Base::IncarnationId> takeGainers();

private:
    struct QueuedEdit
    {
        AssignmentEdit edit;
        Base::Instant dueAt;
        bool isLazy = false;
    };

    void addEditAt(QueuedEdit queued);
    void handleRead(const Platform::StoreOutcome &outcome, Base::Instant now);
    void handleWrite(const Platform::StoreOutcome &outcome, Base::Instant now);
    void handleProgress(const Platform::WriteProgress &progress, Base::Instant now);
    void adopt(const std::optional<Platform::StoredObject> &object);
    void adoptWritten(Platform::ObjectVersion version);
    void sendRead();
    void writeBatch(const std::vector<Candidate> &candidates, Base::Instant now);
    bool isBatchDue(Base::Instant now) const;
    Base::Duration backOff();
    Base::Duration readSpacing() const;
    Base::Duration pollPause() const;
    Base::Duration randomUpTo(Base::Duration bound);

    AssignmentClientSettings settings_;
    std::string writeIdPrefix_;
    std::uint64_t writes_ = 0;
    Base::Random random_;
    RequestSender *sender_;
    std::size_t fleetSize_ = 1;

    std::optional<Assignment> assignment_;
    Platform::ObjectVersion version_;
    bool isAbsent_ = false;

    std::optional<Platform::StoreRequestId> reading_;
    std::optional<Base::Instant> readAt_;
    std::optional<Base::Instant> lastRead_;
    /// When the store last told the object's state.
    std::optional<Base::Instant> freshAt_;

    std::vector<QueuedEdit> edits_;
    Base::Instant lazyEditsAt_;
    std::optional<Platform::ConditionalWriter> writer_;
    std::optional<Platform::StoreRequestId> writing_;
    std::optional<Base::Instant> retryWriteAt_;
    /// After a lost race: no write before.
    std::optional<Base::Instant> backOffUntil_;
    int lostRaces_ = 0;
    Assignment written_;
    std::vector<Base::IncarnationId> gainers_;
};

} // namespace Ownership
