#pragma once

#include "naivejournal.h"
#include "network.h"

#include <journal/compactor.h>
#include <journal/journalrecovery.h>
#include <journal/journalwriter.h>
#include <journal/witnessbuffer.h>

#include <deque>
#include <memory>

namespace JournalTest {

/// Number of executions of each call at the backend servers.
using ExecutionCounts = std::map<std::pair<Base::ProgramId, Base::CallNumber>, int>;

struct WitnessProcess : Process
{
    explicit WitnessProcess(const std::string &id);

    Journal::WitnessBuffer buffer;
};

/// A recovery that a daemon has finished, with the histories that the store had at that time.
struct FinishedRecovery
{
    Base::IncarnationId owner;
    NaiveState found;
    bool isDegraded = false;
};

class DaemonProcess;

/// State shared by the processes of one schedule.
struct Simulation
{
    Network &network;
    ExecutionCounts executionCounts;
    std::deque<WitnessProcess> witnesses;
    std::deque<std::unique_ptr<DaemonProcess>> daemons;

    void setGone(const Base::IncarnationId &incarnation);
    std::set<Base::IncarnationId> gone;
};

/// A daemon reduced to its journal: recovers the journals of its predecessors, then runs calls of a
/// few programs, each with an intent, an execution and a result.
class DaemonProcess : public Process
{
public:
    DaemonProcess(Simulation &simulation,
                  const std::string &id,
                  std::vector<Base::IncarnationId> predecessors);

    /// Recovers the predecessors, newest first; the first owner has none and serves immediately.
    void start();
    void stopNewCalls() { takesCalls_ = false; }
    void incarnationGone(const Base::IncarnationId &incarnation);

    const std::vector<Journal::Record> &log() const { return log_; }
    /// Number of records of the log that were reported as committed.
    std::size_t committed() const { return committed_; }
    const std::vector<FinishedRecovery> &recoveries() const { return recoveries_; }
    /// Appends that committed while the journal was in outage mode.
    int outageCommits() const { return outageCommits_; }
    bool isServing() const { return isServing_; }
    bool isRecovering() const { return recovery_ != nullptr; }
    bool isFenced() const { return writer_.isFenced(); }
    bool isIdle() const { return committed_ == log_.size(); }
    const std::string &violation() const { return violation_; }
    const Base::IncarnationId &id() const { return id_; }

    void receive(const Journal::WitnessAppendReply &reply);
    void receive(const Journal::WitnessSealReply &reply);

private:
    struct RunningProgram
    {
        Base::ProgramId id;
        Base::PartitionId partition;
        Base::CallNumber ended;
    };
    struct PendingAppend
    {
        std::size_t logEnd = 0;
        std::function<void()> then;
    };

    void append(std::vector<Journal::Record> records, std::function<void()> then);
    void committed(Journal::Ticket ticket);
    void drainWriter();
    void drainCompactor();
    void drainRecovery();
    void drainLease();
    enum class Timer {
        Writer,
        Compactor,
        Recovery,
        Lease
    };
    void armTimer(Timer timer, std::optional<Base::Instant> at, std::function<void()> tick);
    void send(const Journal::SendMessage &message);
    void useWitnesses(const Journal::WitnessSet &witnesses);
    void writeLease(const Journal::WitnessSet &witnesses);
    void replaceWitness(const Base::IncarnationId &gone);
    void recoverNext();
    void recovered(Journal::RecoveryDone done);
    void adopt(const std::map<Base::PartitionId, Journal::ReplayedPartition> &partitions,
               const std::optional<Base::IncarnationId> &from,
               bool isDegraded);
    void createProgram(int index);
    void nextCall(std::size_t program);
    void dispatch(std::size_t program, const Journal::CallIntent &intent);
    void finishCall(std::size_t program, const Journal::CallIntent &intent, bool mayHaveRun);

    Simulation &simulation_;
    Base::IncarnationId id_;
    std::vector<Base::IncarnationId> predecessors_;
    Journal::JournalWriter writer_;
    Journal::Compactor compactor_;
    std::unique_ptr<Journal::JournalRecovery> recovery_;
    Journal::StoreCalls leaseCalls_;
    std::map<Journal::StoreCallId, std::function<void(const Journal::StoreResult &)>>
        leaseCallbacks_;
    Journal::WitnessSet witnesses_;
    Platform::ObjectVersion leaseVersion_;
    std::uint64_t leaseWrites_ = 0;
    bool isLeaseInFlight_ = false;
    std::vector<RunningProgram> programs_;
    std::vector<Journal::Record> log_;
    std::map<Journal::Ticket, PendingAppend> pending_;
    Journal::Ticket lastTicket_;
    std::size_t committed_ = 0;
    int outageCommits_ = 0;
    std::vector<FinishedRecovery> recoveries_;
    std::map<Timer, Base::Instant> armed_;
    bool isServing_ = false;
    bool takesCalls_ = true;
    std::string violation_;
};

/// Key of the object with the comma-separated names of a daemon's witnesses.
Platform::ObjectKey leaseKey(const Base::IncarnationId &id);

/// Partitions of every schedule.
std::set<Base::PartitionId> schedulePartitions();

} // namespace JournalTest
