#pragma once

#include "programentry.h"
#include "programtable.h"

#include <deque>
#include <set>
#include <unordered_map>
#include <unordered_set>
#include <variant>

namespace Programs {

class ProgramTable::Private
{
public:
    explicit Private(const ProgramLimits &limits)
        : limits_(limits)
    {}

    // Requests
    void create(const CreateProgram &request, Base::Instant now);
    void submit(SubmitCall request, Base::Instant now);
    void describe(const DescribeProgram &request);
    void end(const EndProgram &request, Base::Instant now);
    void callerGone(Base::RequestId request, Base::Instant now);

    // Journal
    void committed(Journal::Ticket ticket, Base::Instant now);
    void appendRefused(Journal::Ticket ticket, const Base::Error &error, Base::Instant now);

    // Backend servers
    void dispatchStarted(DispatchId dispatch, const Base::ServerId &server);
    void outputReceived(DispatchId dispatch, const std::string &text, Base::Tokens tokens);
    void dispatchFinished(DispatchId dispatch, const DispatchOutcome &outcome, Base::Instant now);

    // Partitions
    void acquire(Base::PartitionId partition);
    void restore(const ProgramSnapshot &snapshot, Base::Instant now);
    void replay(Base::PartitionId partition, std::span<const Journal::Record> records);
    void recover(Base::PartitionId partition,
                 std::span<const Journal::Record> records,
                 std::span<const Journal::Record> uncertain,
                 Base::Instant now);
    void leave(Base::PartitionId partition);
    void lose(Base::PartitionId partition);
    void loseAll();
    bool isBusy(Base::PartitionId partition) const;

    void keyWithdrawn(const Base::KeyId &key, Base::Instant now);
    void tick(Base::Instant now);
    std::optional<Base::Instant> nextWakeUp() const;

    const ProgramEntry *find(const Base::ProgramId &program) const;
    std::vector<Base::ProgramId> programs(Base::PartitionId partition) const;
    size_t size() const { return entries_.size(); }
    Base::Bytes memoryOf(const ProgramEntry &entry) const;
    Base::Bytes memory() const;
    std::vector<ProgramAction> takeActions() { return std::exchange(actions_, {}); }

private:
    enum class PartitionState {
        Recovering,
        Serving,
        Leaving
    };

    struct CreateAppend
    {
        Journal::ProgramCreated created;
        /// Unset once the caller has disconnected.
        std::optional<Base::RequestId> request;
    };

    struct IntentAppend
    {
        Base::ProgramId program;
        Journal::CallIntent intent;
    };

    struct ResultAppend
    {
        Base::ProgramId program;
    };

    struct EndAppend
    {
        Base::ProgramId program;
    };

    using Append = std::variant<CreateAppend, IntentAppend, ResultAppend, EndAppend>;

    // Lookup and refusal
    ProgramEntry *find(const Base::ProgramId &program);
    ProgramEntry *findForTeam(const Base::ProgramId &program, const Base::TeamId &team);
    Base::PartitionId partitionOf(const Base::ProgramId &program) const;
    std::optional<Base::Error> checkPartition(const Base::ProgramId &program) const;
    bool isLeaving(const Base::ProgramId &program) const;
    const EndedProgram *findEnded(const Base::ProgramId &program, const Base::TeamId &team) const;
    void refuse(Base::RequestId request, Base::Error error);
    Base::Error retryableError(Base::Step step, Base::Ran ran, std::string message) const;
    template<typename Action>
    void emit(Action action);

    // Creation
    std::optional<Base::Error> checkCreation(const CreateProgram &request,
                                             const ProgramEntry *parent) const;
    void createRoot(const CreateProgram &request, Base::Instant now);
    void createChild(const CreateProgram &request, Base::Instant now);
    void appendCreation(const CreateProgram &request, const Base::ProgramId &id, Base::Instant now);
    void creationCommitted(const CreateAppend &append, Base::Instant now);
    void creationRefused(const CreateAppend &append, const Base::Error &error, Base::Instant now);

    // Order of calls
    std::optional<Base::Error> checkCall(const ProgramEntry &entry,
                                         const SubmitCall &request) const;
    bool answerDuplicate(ProgramEntry &entry, const SubmitCall &request, Base::Instant now);
    void answerRecorded(ProgramEntry &entry, const SubmitCall &request, Base::Instant now);
    void attachCaller(PendingCall &call, const SubmitCall &request);
    void attachToActive(ActiveCall &active, const SubmitCall &request);
    void acceptCall(ProgramEntry &entry, SubmitCall request, Base::Instant now);
    std::optional<Base::Error> checkNewCall(const ProgramEntry &entry,
                                            const SubmitCall &request) const;
    void park(ProgramEntry &entry, PendingCall call);
    PendingCall unpark(ProgramEntry &entry, Base::CallNumber number);
    void startNext(ProgramEntry &entry, Base::Instant now);

    // One call
    void start(ProgramEntry &entry, PendingCall call, Base::Instant now);
    std::optional<Base::Error> reserve(const ProgramEntry &entry, ActiveCall &active) const;
    void appendIntent(ProgramEntry &entry, Base::Instant now);
    void dispatch(ProgramEntry &entry, Base::Instant now);
    void intentCommitted(ProgramEntry &entry, const Journal::CallIntent &intent, Base::Instant now);
    void intentRefused(ProgramEntry &entry, const Base::Error &error, Base::Instant now);
    void cancel(ProgramEntry &entry, Base::Instant now);
    void completeCall(ProgramEntry &entry, const DispatchCompleted &outcome, Base::Instant now);
    void failCall(ProgramEntry &entry, const DispatchFailed &outcome, Base::Instant now);
    void dropCall(ProgramEntry &entry, const Base::Error &error, Base::Instant now);
    Journal::CallResult resultOf(const ProgramEntry &entry, Base::Instant now) const;
    void recordError(ProgramEntry &entry, Base::Error error, Base::Instant now);
    void recordResult(ProgramEntry &entry, Journal::CallResult result, Base::Instant now);
    void appendResult(ProgramEntry &entry);
    void resultCommitted(ProgramEntry &entry, Base::Instant now);
    void answerCallers(const ProgramEntry &entry, const ActiveCall &ended);
    void callEnded(ProgramEntry &entry, Base::Instant now);
    void refuseCallers(PendingCall &call, const Base::Error &error);
    void dropCallersOfKey(ProgramEntry &entry, const Base::KeyId &key, Base::Instant now);
    void handleRemovedCallers(ProgramEntry &entry, Base::Instant now);
    Base::KeyId keyOf(const PendingCall &call) const;
    Base::Tokens attainedService(const ProgramEntry &entry) const;

    // Ends
    void requestEnd(ProgramEntry &entry, Journal::EndReason reason, Base::Instant now);
    void stopCalls(ProgramEntry &entry, Base::Instant now);
    void tryEnd(ProgramEntry &entry, Base::Instant now);
    void endCommitted(const Base::ProgramId &program, Base::Instant now);
    void rememberEnded(const ProgramEntry &entry, Base::Instant now);
    void evictEnded(Base::Instant now);

    // Recovery and loss
    void replay(const Journal::ProgramRecord &record);
    void replayUncertain(const Journal::ProgramRecord &record, Base::Instant now);
    void dropIfEnded(const Base::ProgramId &program, Base::Instant now);
    void resolveIntent(ProgramEntry &entry,
                       const Journal::CallIntent &intent,
                       bool isUncertain,
                       Base::Instant now);
    void resolveOpenIntent(ProgramEntry &entry, Base::Instant now);
    void endIfKeyIsWithdrawn(ProgramEntry &entry, Base::Instant now);
    void loseProgram(ProgramEntry &entry);
    Base::Ran ranOf(const ActiveCall &active) const;
    void loseAppends(Base::PartitionId partition);

    // Timers
    static const Base::ProgramId &programOf(const Append &append);
    void rescheduleOf(const Append &append);
    void reschedule(ProgramEntry &entry);
    std::optional<Base::Instant> dueTime(const ProgramEntry &entry) const;
    void runTimers(ProgramEntry &entry, Base::Instant now);
    void runCallTimers(ProgramEntry &entry, Base::Instant now);
    void expireParked(ProgramEntry &entry, Base::Instant now);
    bool isIdle(const ProgramEntry &entry) const;
    void erase(const Base::ProgramId &program);

    Journal::Ticket append(Append append, std::vector<Journal::ProgramRecord> records);

    ProgramLimits limits_;
    std::vector<ProgramAction> actions_;
    std::unordered_map<Base::ProgramId, ProgramEntry> entries_;
    std::unordered_map<Base::PartitionId, PartitionState> partitions_;
    std::unordered_map<Journal::Ticket, Append> appends_;
    std::unordered_map<DispatchId, Base::ProgramId> dispatches_;
    /// Programs for which requests wait.
    std::unordered_map<Base::RequestId, Base::ProgramId> waiting_;
    std::unordered_map<Base::ProgramId, EndedProgram> ended_;
    std::deque<Base::ProgramId> endedOrder_;
    std::unordered_set<Base::KeyId> withdrawnKeys_;
    std::set<std::pair<Base::Instant, Base::ProgramId>> timers_;
    Base::Bytes parkedBytes_;
    /// Memory of the turns of all programs.
    Base::Bytes historyBytes_;
    Journal::Ticket lastTicket_;
    DispatchId lastDispatch_;
};

template<typename Action>
void ProgramTable::Private::emit(Action action)
{
    actions_.emplace_back(std::move(action));
}

} // namespace Programs
