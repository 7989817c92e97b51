#pragma once

#include <journal/historyreader.h>
#include <journal/journalhandover.h>
#include <journal/journalrecovery.h>
#include <ownership/ownershipactions.h>

#include <map>
#include <memory>

namespace Scheduler {

/// The state of a partition as recovered from its former owners' journals.
struct RecoveredPartition
{
    Base::PartitionId partition;
    Base::Epoch epoch;
    Journal::ReplayedPartition content;
    std::vector<Journal::UncertainCall> uncertain;
    /// The record that ends the adoption records in the own journal.
    Journal::PartitionAdopted adoption;
};

/// Sends a store request of the state machine with this number.
struct TakeoverStoreRequest
{
    std::uint64_t machine = 0;
    Platform::StoreRequest request;
};

struct TakeoverMessage
{
    Base::IncarnationId to;
    Journal::Message message;
};

/// Reports why the recovery of a journal is delayed, for the log.
struct TakeoverDelayed
{
    Base::IncarnationId owner;
    Base::Error error;
};

using TakeoverAction
    = std::variant<RecoveredPartition, TakeoverStoreRequest, TakeoverMessage, TakeoverDelayed>;

/// Recovers the journals of former owners for the partitions that this daemon acquired: the
/// newest journal first, and an older one for partitions that the newer owner never adopted.
class Takeover
{
public:
    explicit Takeover(Base::IncarnationId self);

    void acquired(const Ownership::PartitionAcquired &acquired, Base::Instant now);
    void lost(Base::PartitionId partition);
    /// Starts one recovery per journal for the partitions that are not being read.
    void startPending(Base::Instant now);

    void storeReplied(std::uint64_t machine, const Platform::StoreReply &reply, Base::Instant now);
    void witnessReplied(const Journal::WitnessSealReply &reply, Base::Instant now);
    void incarnationGone(const Base::IncarnationId &incarnation, Base::Instant now);
    void tick(Base::Instant now);
    std::optional<Base::Instant> nextWakeUp() const;
    std::vector<TakeoverAction> takeActions();

    /// Number of partitions that are being recovered.
    size_t pending() const { return partitions_.size(); }

private:
    struct Acquisition
    {
        Base::Epoch epoch;
        /// Oldest first; the last one is being read.
        std::vector<Ownership::PredecessorJournal> journals;
        std::vector<Journal::UncertainCall> uncertain;
        bool isDegraded = false;
        bool isReading = false;
    };

    using Machine = std::variant<std::unique_ptr<Journal::JournalRecovery>,
                                 std::unique_ptr<Journal::JournalHandover>>;

    struct Reader
    {
        Base::IncarnationId owner;
        std::set<Base::PartitionId> partitions;
        /// Witnesses listed in the fenced lease.
        std::set<Base::IncarnationId> witnesses;
        Machine machine;
    };

    void startRecovery(const Ownership::PredecessorJournal &journal,
                       std::set<Base::PartitionId> partitions,
                       Base::Instant now);
    void startHandover(const Base::IncarnationId &owner,
                       std::set<Base::PartitionId> partitions,
                       Base::Instant now);
    void collectActions(Base::Instant now);
    bool collectReaderActions(std::uint64_t number, Reader &reader, Base::Instant now);
    void partitionRead(Base::PartitionId partition,
                       const Base::IncarnationId &owner,
                       Journal::ReplayedPartition content);
    void complete(Base::PartitionId partition,
                  Journal::ReplayedPartition content,
                  const std::optional<Base::IncarnationId> &owner);
    void retryReading(const Reader &reader);

    Base::IncarnationId self_;
    std::uint64_t lastMachine_ = 0;
    std::map<Base::PartitionId, Acquisition> partitions_;
    std::map<std::uint64_t, Reader> readers_;
    std::set<Base::IncarnationId> gone_;
    std::vector<TakeoverAction> actions_;
};

} // namespace Scheduler
