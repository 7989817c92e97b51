#pragma once

#include "virtualstore.h"

#include <scheduler/daemoncore.h>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

/// One execution of a call at a backend server.
struct Execution
{
    Base::ServerId server;
    /// "<program>/<number>"
    std::string callName;
    std::string input;
    Base::Instant at;
};

/// The replies that a caller has received.
struct CallerView
{
    std::vector<std::string> pieces;
    std::optional<CallerApi::CallerReply> last;
    Base::Instant sentAt;
    Base::Instant answeredAt;

    const Base::Error *error() const;
    const CallerApi::DoneReply *done() const;
};

/// Simulates several DaemonCores on a virtual clock, with links, a store and backend servers in
/// memory. Runs with the same seed are identical.
class CoreFleet
{
public:
    CoreFleet(size_t daemons, std::uint64_t seed);
    ~CoreFleet();

    /// Runs events up to now + duration.
    void run(Base::Duration duration);
    /// Runs until the condition holds; false if it does not within the duration.
    bool runUntil(const std::function<bool()> &condition, Base::Duration limit);
    Base::Instant now() const { return now_; }

    VirtualStore &store() { return store_; }
    Scheduler::DaemonCore &core(size_t daemon);
    bool isAlive(size_t daemon) const;
    size_t size() const { return daemons_.size(); }

    /// Ends the process without a shutdown.
    void kill(size_t daemon);
    /// Removes the VM from the platform's list.
    void unlist(size_t daemon);
    /// Starts a new incarnation on the VM of a killed daemon.
    void restart(size_t daemon);
    /// Suspends the process; its events are delivered after the pause.
    void pause(size_t daemon, Base::Duration duration);
    void beginShutdown(size_t daemon);

    /// Sends a caller's request and returns its number in callers().
    size_t call(size_t daemon, CallerApi::CallerRequest request, const std::string &key = {});
    void callerLeaves(size_t caller);
    const CallerView &caller(size_t number) const { return callers_.at(number); }

    Base::ProgramId createProgram(size_t daemon, std::int64_t budget = 1'000'000);
    size_t submit(size_t daemon,
                  const Base::ProgramId &program,
                  std::uint32_t number,
                  const std::string &service,
                  const std::string &input,
                  bool isStream = false);

    const std::vector<Execution> &executions() const { return executions_; }
    const std::string &key() const { return key_; }
    /// Sum of the partitions served by live daemons.
    size_t servedPartitions() const;

    /// Duration of a tool call; its effect occurs at the start.
    Base::Duration toolTime = std::chrono::milliseconds(20);
    Base::Duration tokenTime = std::chrono::milliseconds(10);
    Base::Duration linkDelay = std::chrono::microseconds(1500);
    double messageLoss = 0;

private:
    struct Daemon;
    struct RunningCall;

    void start(Daemon &daemon);
    void schedule(Base::Duration delay, std::function<void()> event);
    /// Runs the event at the daemon, after its pause if it is paused; dropped if that incarnation
    /// ended.
    void deliver(size_t index,
                 std::uint64_t incarnation,
                 std::function<void(Scheduler::DaemonCore &)> event);
    void carryOut(size_t index);
    void execute(size_t index, Scheduler::CoreAction &action);
    void callStore(size_t index, Scheduler::CallStore &call);
    void sendToPeer(size_t index, Scheduler::SendToPeer &send);
    void runModel(size_t index, Scheduler::RunModelCall &call);
    void runPlain(size_t index, Scheduler::RunPlainCall &call);
    void armTick(size_t index);
    std::vector<Fleet::Vm> listedVms() const;

    Base::Random random_;
    VirtualStore store_;
    Base::Instant now_;
    std::uint64_t sequence_ = 0;
    std::map<std::pair<Base::Instant, std::uint64_t>, std::function<void()>> events_;
    std::vector<std::unique_ptr<Daemon>> daemons_;
    std::vector<CallerView> callers_;
    std::vector<Execution> executions_;
    std::string key_;
    std::uint64_t seed_;
};
