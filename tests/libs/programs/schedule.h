#pragma once

#include "referenceprogram.h"

#include <base/random.h>
#include <programs/programtable.h>

#include <deque>
#include <functional>

namespace ProgramsTest {

/// Kinds of faults, as bits of ScheduleOptions::faults.
enum Fault : unsigned {
    LostAnswers = 1,
    FailedRuns = 2,
    RepeatedAnswers = 4,
    RefusedAppends = 8,
    Crashes = 16,
    Pauses = 32,
    WithdrawnKeys = 64,
    CallersGone = 128,
    UncertainRecords = 256,
    Moves = 512,
    AllFaults = 1023
};

struct ScheduleOptions
{
    std::uint64_t seed = 1;
    int programs = 3;
    unsigned faults = AllFaults;
};

/// One random run of daemons, a journal, backend servers and callers on a virtual clock. The run is
/// checked against the reference model and the servers' ledger.
class Schedule
{
public:
    explicit Schedule(const ScheduleOptions &options);

    /// Returns the first failure; empty if there was none.
    std::string run();
    const std::vector<std::string> &trace() const { return trace_; }

private:
    using Event = std::function<void()>;
    /// A call of a program.
    using CallKey = std::pair<Base::ProgramId, Base::CallNumber>;

    enum class DaemonState {
        Running,
        Paused,
        Dead
    };

    struct Daemon
    {
        std::unique_ptr<Programs::ProgramTable> table;
        DaemonState state = DaemonState::Running;
        bool isSealed = false;
        std::deque<Programs::AppendRecords> appends;
        std::vector<Event> heldEvents;
        Base::Instant lastAck;
        std::set<Base::KeyId> withdrawn;
    };

    struct Client
    {
        Base::ProgramId program;
        std::optional<Base::ProgramId> parent;
        Base::KeyId key;
        Base::CallNumber number{1};
        bool isCreated = false;
        bool isFinished = false;
        int failures = 0;
        std::optional<Base::RequestId> open;
        Base::Instant openSince;
    };

    struct Request
    {
        size_t client = 0;
        size_t daemon = 0;
        CallKey call;
        bool isCall = false;
        /// An additional request, beside the client's own one.
        bool isExtra = false;
        bool isAnswered = false;
        std::string streamed;
    };

    struct Run
    {
        size_t daemon = 0;
        Programs::StartDispatch order;
        bool hasEnded = false;
    };

    /// Executions on servers and attempts of callers for a non-idempotent call.
    struct Ledger
    {
        int executions = 0;
        int attempts = 0;
    };

    // Time and delivery
    void scheduleEvent(Base::Duration delay, Event event);
    Base::Duration delay(int milliseconds);
    bool shouldInject(Fault fault, double probability);
    void deliver(size_t daemon, Base::Duration delay, Event event);
    void addTraceLine(const std::string &line);
    void fail(const std::string &message);

    // Daemons and journal
    void startDaemon();
    void recoverAt(size_t daemon);
    void move();
    void finishMove(size_t daemon, Base::Instant deadline);
    void takeOver(size_t old);
    void seal(size_t old);
    void crash();
    void pause();
    void resume(size_t daemon);
    void withdrawKey();
    void notifyKeyWithdrawn(size_t daemon, const Base::KeyId &key);
    void commitNext(size_t daemon);
    void appendToJournal(size_t daemon, const Programs::AppendRecords &append);
    void drain(size_t daemon);
    void tickAll();

    // Actions
    void handle(size_t daemon, const Programs::ProgramAction &action);
    void handleReply(Base::RequestId request, const Event &answer);
    void startRun(size_t daemon, const Programs::StartDispatch &order);
    void checkDispatch(const Daemon &daemon, const Programs::StartDispatch &order);
    void execute(size_t run);
    void finishRun(size_t run, const Programs::DispatchOutcome &outcome, Base::Duration delay);
    void cancelRun(size_t daemon, Programs::DispatchId dispatch);
    void callDone(Request &request, const Programs::ReplyDone &reply);
    void callFailed(Request &request, const Base::Error &error);

    // Clients
    void act(size_t client);
    void actOn(Client &client, size_t index);
    Base::RequestId newRequest(size_t client, bool isExtra);
    void sendCreate(size_t client);
    void sendCall(size_t client, Base::CallNumber number, bool isExtra);
    void sendEnd(size_t client);
    void disconnect(Client &client);

    void checkEnd();
    void checkProgram(const Base::ProgramId &program);

    ScheduleOptions options_;
    Base::Random random_;
    Base::Instant now_{std::chrono::seconds(1'000)};
    bool injectsFaults_ = true;
    std::multimap<Base::Instant, Event> events_;
    std::deque<Daemon> daemons_;
    size_t owner_ = 0;
    std::vector<Journal::Record> journal_;
    std::vector<Journal::Record> uncertain_;
    std::vector<Programs::ProgramSnapshot> snapshots_;
    std::deque<Client> clients_;
    std::map<Base::RequestId, Request> requests_;
    std::vector<Run> runs_;
    std::map<CallKey, Ledger> ledger_;
    std::map<CallKey, std::string> reported_;
    std::set<Base::ProgramId> released_;
    std::set<Base::KeyId> withdrawn_;
    std::vector<std::string> trace_;
    std::string failure_;
    std::uint64_t lastRequest_ = 0;
};

} // namespace ProgramsTest
