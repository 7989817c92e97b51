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
    Base::Duration storeRetryDelay{};
    Base::Duration editBatchDelay{};
};

/// Reads the assignment at a limited rate and writes edits to it by conditional updates.
class AssignmentClient
{
public:
    AssignmentClient(AssignmentClientSettings settings,
                     std::string writeIdPrefix,
                     std::uint64_t seed,
                     RequestSender &sender);

    /// Intervals of reads and deferred writes scale with the fleet, so that the load on the store
    /// does not grow with the square of the fleet's size.
    void setFleetSize(std::size_t size) { fleetSize_ = size; }

    void readNow(Base::Instant now);
    /// Schedules a read that keeps the minimum spacing between reads.
    void readSoon(Base::Instant now);
    /// A peer reported this version.
    void peerVersionReceived(Platform::ObjectVersion version, Base::Instant now);

    /// Writes the edit with the next batch; a queued edit is not queued again.
    void addEdit(const AssignmentEdit &edit, Base::Instant now);
    /// Writes the edit after a random delay that spreads the daemons' writes, or with an earlier
    /// batch.
    void addDeferredEdit(const AssignmentEdit &edit, Base::Instant now);

    /// True if the reply was for this object; then the assignment may have changed.
    bool handle(const Platform::StoreReply &reply, Base::Instant now);
    void tick(const std::vector<Candidate> &candidates, Base::Instant now);
    std::optional<Base::Instant> nextWakeUp() const;

    /// Null until an assignment was read.
    const Assignment *assignment() const { return assignment_ ? &*assignment_ : nullptr; }
    Platform::ObjectVersion version() const { return version_; }
    /// Whether the store was read and has no assignment.
    bool isAbsent() const { return isAbsent_; }
    /// Returns the daemons that got partitions by this daemon's writes since the last call.
    std::vector<Base::IncarnationId> takeNewOwners();

private:
    struct QueuedEdit
    {
        AssignmentEdit edit;
        Base::Instant dueAt;
        bool isDeferred = false;
    };

    void addEditAt(QueuedEdit queued);
    void handleRead(const Platform::StoreOutcome &outcome, Base::Instant now);
    void handleWrite(const Platform::StoreOutcome &outcome, Base::Instant now);
    void handleProgress(const Platform::WriteProgress &progress, Base::Instant now);
    void updateFrom(const std::optional<Platform::StoredObject> &object);
    void updateFromWrite(Platform::ObjectVersion version);
    void sendRead();
    void writeBatch(const std::vector<Candidate> &candidates, Base::Instant now);
    bool isBatchDue(Base::Instant now) const;
    Base::Duration nextBackoff();
    Base::Duration readSpacing() const;
    Base::Duration pollInterval() const;
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

    std::optional<Platform::StoreRequestId> pendingRead_;
    std::optional<Base::Instant> readAt_;
    std::optional<Base::Instant> lastRead_;
    /// When the store last reported the state of the object.
    std::optional<Base::Instant> stateReceivedAt_;

    std::vector<QueuedEdit> edits_;
    Base::Instant deferredEditsAt_;
    std::optional<Platform::ConditionalWriter> writer_;
    std::optional<Platform::StoreRequestId> pendingWrite_;
    std::optional<Base::Instant> retryWriteAt_;
    /// No write before this time, after a version conflict.
    std::optional<Base::Instant> backoffUntil_;
    int consecutiveConflicts_ = 0;
    Assignment written_;
    std::vector<Base::IncarnationId> newOwners_;
};

} // namespace Ownership
