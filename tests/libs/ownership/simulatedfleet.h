#pragma once

#include "memorystore.h"

#include <base/random.h>
#include <fleet/membershipview.h>
#include <ownership/ownershipmanager.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace OwnershipTest {

struct Faults
{
    /// Probability that an operation takes effect but its reply is lost.
    double lostAnswer = 0;
    /// Probability that a message between daemons is lost.
    double lostMessage = 0;
    Base::Duration shortestRecovery = std::chrono::milliseconds(20);
    Base::Duration longestRecovery = std::chrono::milliseconds(200);
};

enum class RunState {
    Running,
    Paused,
    Dead
};

/// Membership view and ownership manager of one simulated daemon.
struct SimulatedDaemon
{
    std::size_t vmNumber = 0;
    Fleet::Daemon identity;
    std::unique_ptr<Fleet::MembershipView> view;
    std::unique_ptr<Ownership::OwnershipManager> manager;
    RunState state = RunState::Running;
    bool isShutdownComplete = false;
    /// Events that arrived during a pause.
    std::vector<std::function<void()>> deferred;
    std::uint64_t bytesSent = 0;
    std::uint64_t bytesReceived = 0;
    Base::Instant scheduledWakeUp = Base::Instant::max();
};

/// Simulates many daemons with one in-memory store on a virtual clock. Checks the invariants with
/// each write of the assignment.
class SimulatedFleet
{
public:
    SimulatedFleet(std::uint64_t seed, std::uint16_t partitionCount);

    /// Starts a daemon on the numbered VM; zones are assigned round-robin. Returns the daemon's
    /// index.
    std::size_t startDaemon(std::size_t vm);
    void kill(std::size_t daemon);
    void pause(std::size_t daemon);
    void resume(std::size_t daemon);
    void beginShutdown(std::size_t daemon);
    void setStoreUp(bool isUp) { isStoreUp_ = isUp; }
    Faults &faults() { return faults_; }

    void run(Base::Duration duration);
    Base::Instant now() const { return now_; }

    std::deque<SimulatedDaemon> &daemons() { return daemons_; }
    MemoryStore &store() { return store_; }
    /// Returns the assignment in the store.
    Ownership::Assignment assignment() const;

    /// Descriptions of violated invariants.
    const std::vector<std::string> &violations() const { return violations_; }
    /// Empty if every partition is served by a running daemon and the loads of any two daemons
    /// differ by at most one partition; otherwise describes the problem.
    std::string settledProblem() const;
    /// Time of the last write of the assignment.
    Base::Instant lastAssignmentWrite() const { return lastAssignmentWrite_; }
    /// Time of the last acquisition announced to a daemon.
    Base::Instant lastAcquisition() const { return lastAcquisition_; }
    std::size_t assignmentWrites() const { return assignmentWrites_; }
    /// Number of daemons that were restarted after their lease was fenced.
    std::size_t leasesLost() const { return leasesLost_; }

private:
    struct Event
    {
        Base::Instant at;
        std::uint64_t order = 0;
        std::function<void()> action;

        bool operator>(const Event &other) const
        {
            return std::pair(at, order) > std::pair(other.at, other.order);
        }
    };

    void schedule(Base::Duration delay, std::function<void()> action);
    void deliver(std::size_t daemon, std::function<void()> action);
    void wake(std::size_t daemon, Base::Instant at);
    void restart(std::size_t daemon);
    void afterEvent(std::size_t daemon);
    void perform(std::size_t daemon, const Fleet::FleetAction &action);
    void perform(std::size_t daemon, const Ownership::OwnershipAction &action);
    void sendToStore(std::size_t daemon, const Platform::StoreRequest &request);
    void sendToDaemon(std::size_t from, const Fleet::SendToDaemon &send);
    void sendToPeer(const Ownership::SendToPeer &send);
    void recover(std::size_t daemon, const Ownership::PartitionAcquired &acquired);
    void drain(std::size_t daemon, Base::PartitionId partition);
    void checkWrite(const Platform::StoredObject &object);
    void checkEntry(std::size_t partition,
                    const Ownership::PartitionEntry &before,
                    const Ownership::PartitionEntry &after);
    bool isFenced(const Base::IncarnationId &incarnation) const;
    Base::Duration randomBetween(Base::Duration shortest, Base::Duration longest);

    Base::Random random_;
    std::uint16_t partitionCount_;
    Faults faults_;
    bool isStoreUp_ = true;
    MemoryStore store_;
    std::deque<SimulatedDaemon> daemons_;
    std::map<Base::IncarnationId, std::size_t> indices_;
    Base::Instant now_{std::chrono::seconds(1000)};
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
    std::uint64_t order_ = 0;
    Ownership::Assignment last_;
    std::set<std::tuple<std::size_t, Base::IncarnationId, Base::Epoch>> recoveredOwners_;
    std::vector<std::string> violations_;
    Base::Instant lastAssignmentWrite_;
    Base::Instant lastAcquisition_;
    std::size_t assignmentWrites_ = 0;
    std::size_t leasesLost_ = 0;
    std::uint64_t segments_ = 0;
};

} // namespace OwnershipTest
