#pragma once

#include "actions.h"
#include "programlimits.h"
#include "programsnapshot.h"

#include <memory>
#include <optional>
#include <span>
#include <vector>

namespace Programs {

/// All programs of the partitions that this daemon owns: the order of their calls, their
/// histories, budgets and ends. A state machine without clock or thread: events go in by
/// methods, orders come out by takeActions().
///
/// A call is answered as done only after its result is committed; a non-idempotent call is
/// dispatched only after its intent is committed, and never twice.
class ProgramTable
{
public:
    explicit ProgramTable(const ProgramLimits &limits);
    ~ProgramTable();

    ProgramTable(const ProgramTable &) = delete;
    ProgramTable &operator=(const ProgramTable &) = delete;

    /// Requests of callers. Each gets exactly one of ReplyCreated, ReplyDone, ReplyDescription,
    /// ReplyEnded and ReplyError, unless callerGone() comes first.
    void create(const CreateProgram &request, Base::Instant now);
    void submit(SubmitCall request, Base::Instant now);
    void describe(const DescribeProgram &request, Base::Instant now);
    void end(const EndProgram &request, Base::Instant now);
    /// The caller closed its connection. A model call that nobody else waits for is cancelled.
    void callerGone(Base::RequestId request, Base::Instant now);

    /// The records of an AppendRecords are durable.
    void committed(Journal::Ticket ticket, Base::Instant now);
    /// The records were not written and never will be.
    void appendRefused(Journal::Ticket ticket, const Base::Error &error, Base::Instant now);
    /// This incarnation can commit nothing more. Everything is dropped.
    void fenced(Base::Instant now);

    void dispatchStarted(DispatchId dispatch, const Base::ServerId &server, Base::Instant now);
    void outputReceived(DispatchId dispatch,
                        const std::string &text,
                        Base::Tokens tokens,
                        Base::Instant now);
    void dispatchFinished(DispatchId dispatch, const DispatchOutcome &outcome, Base::Instant now);

    /// The partition is ours; its programs are refused as unavailable until recover().
    void partitionAcquired(Base::PartitionId partition, Base::Epoch epoch, Base::Instant now);
    /// Takes a program as it was compacted; after partitionAcquired() and before recover().
    void restore(const ProgramSnapshot &snapshot, Base::Instant now);
    /// Replays committed records of the partition, in order; may be called for one part of them
    /// after the other, so that they need not be in memory together. Records that are part of a
    /// restored snapshot already change nothing.
    void replay(Base::PartitionId partition, std::span<const Journal::Record> records);
    /// Replays the last of the committed records and serves the partition's programs from now on.
    /// Uncertain records were seen in one place but can't have been acknowledged to the old owner;
    /// each counts as an intent seen. A record that may have been acknowledged is a committed one.
    void recover(Base::PartitionId partition,
                 std::span<const Journal::Record> records,
                 std::span<const Journal::Record> uncertain,
                 Base::Instant now);
    /// Starts no further call or program in the partition; running calls end as usual.
    void partitionLeaving(Base::PartitionId partition, Base::Instant now);
    /// Another daemon owns the partition.
    void partitionLost(Base::PartitionId partition, Base::Instant now);
    /// Whether a call, or an append, of the partition is under way.
    bool isBusy(Base::PartitionId partition) const;

    /// Ends the programs that the key created and refuses its waiting calls, now and after later
    /// recoveries.
    void keyWithdrawn(const Base::KeyId &key, Base::Instant now);

    void tick(Base::Instant now);
    std::optional<Base::Instant> nextWakeUp() const;

    std::vector<ProgramAction> takeActions();

    /// The committed state; nothing if the program is unknown or has ended.
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
