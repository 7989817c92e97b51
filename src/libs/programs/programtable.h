#pragma once

#include "actions.h"
#include "programlimits.h"
#include "programsnapshot.h"

#include <memory>
#include <optional>
#include <span>
#include <vector>

namespace Programs {

/// Manages all programs of the partitions that this daemon owns: the order of their calls, their
/// histories, budgets and ends. A state machine without clocks or threads: methods deliver events,
/// and takeActions() returns the resulting actions.
///
/// A call is reported as done only after its result is committed. A non-idempotent call is
/// dispatched only after its intent is committed, and never twice.
class ProgramTable
{
public:
    explicit ProgramTable(const ProgramLimits &limits);
    ~ProgramTable();

    ProgramTable(const ProgramTable &) = delete;
    ProgramTable &operator=(const ProgramTable &) = delete;

    /// Requests of callers. Each gets exactly one of ReplyCreated, ReplyDone, ReplyDescription,
    /// ReplyEnded and ReplyError, unless callerGone() is called before.
    void create(const CreateProgram &request, Base::Instant now);
    void submit(SubmitCall request, Base::Instant now);
    void describe(const DescribeProgram &request, Base::Instant now);
    void end(const EndProgram &request, Base::Instant now);
    /// The caller closed its connection. A model call without other callers is cancelled.
    void callerGone(Base::RequestId request, Base::Instant now);

    /// The records of an AppendRecords are durable.
    void committed(Journal::Ticket ticket, Base::Instant now);
    /// The records were not written and will not be.
    void appendRefused(Journal::Ticket ticket, const Base::Error &error, Base::Instant now);
    /// This incarnation can no longer commit records. Drops all partitions.
    void fenced(Base::Instant now);

    void dispatchStarted(DispatchId dispatch, const Base::ServerId &server, Base::Instant now);
    void outputReceived(DispatchId dispatch,
                        const std::string &text,
                        Base::Tokens tokens,
                        Base::Instant now);
    void dispatchFinished(DispatchId dispatch, const DispatchOutcome &outcome, Base::Instant now);

    /// This daemon owns the partition. Its programs are unavailable until recover().
    void partitionAcquired(Base::PartitionId partition, Base::Epoch epoch, Base::Instant now);
    /// Restores a compacted program; called between partitionAcquired() and recover().
    void restore(const ProgramSnapshot &snapshot, Base::Instant now);
    /// Replays committed records of the partition, in order. May be called repeatedly with
    /// successive parts, so that not all records have to be in memory at the same time. Records
    /// that a restored snapshot already contains have no effect.
    void replay(Base::PartitionId partition, std::span<const Journal::Record> records);
    /// Replays the last committed records and starts to serve the partition's programs. Uncertain
    /// records were found in one place only and cannot have been acknowledged to the previous
    /// owner; their intents count as committed. Records that may have been acknowledged count as
    /// committed.
    void recover(Base::PartitionId partition,
                 std::span<const Journal::Record> records,
                 std::span<const Journal::Record> uncertain,
                 Base::Instant now);
    /// Accepts no further calls and programs in the partition; running calls end as usual.
    void partitionLeaving(Base::PartitionId partition, Base::Instant now);
    /// Another daemon owns the partition.
    void partitionLost(Base::PartitionId partition, Base::Instant now);
    /// Whether calls, ends or appends of the partition are pending.
    bool isBusy(Base::PartitionId partition) const;

    /// Ends the programs that were created with the key and refuses its waiting calls, also after
    /// later recoveries.
    void keyWithdrawn(const Base::KeyId &key, Base::Instant now);

    void tick(Base::Instant now);
    std::optional<Base::Instant> nextWakeUp() const;

    std::vector<ProgramAction> takeActions();

    /// The committed state; empty if the program is unknown or has ended.
    std::optional<ProgramSnapshot> snapshot(const Base::ProgramId &program) const;
    std::vector<Base::ProgramId> programs(Base::PartitionId partition) const;
    bool isLive(const Base::ProgramId &program) const;
    size_t size() const;
    /// Memory of one program, and of all of them.
    Base::Bytes memory(const Base::ProgramId &program) const;
    Base::Bytes memory() const;

private:
    class Private;
    std::unique_ptr<Private> d_;
};

} // namespace Programs
