#include <base/random.h>
#include <programs/allocationgroups.h>

#include <criterion/criterion.h>

#include <array>
#include <deque>
#include <memory>
#include <numeric>

using namespace Programs;
using Base::Tokens;

namespace {

constexpr Base::Duration retention = std::chrono::seconds(60);

Base::Instant at(std::int64_t milliseconds)
{
    return Base::Instant(std::chrono::milliseconds(milliseconds));
}

Base::ProgramId program(std::uint64_t number)
{
    return Base::ProgramId("p" + std::to_string(number));
}

WriteAllocation allocation(std::uint64_t number,
                           std::uint64_t expected,
                           std::int64_t total,
                           const char *writeId,
                           bool isAwaited = true)
{
    return {program(number),
            AllocationVersion(expected),
            Tokens(total),
            Base::WriteId(writeId),
            retention,
            isAwaited};
}

/// A single group for all programs.
AllocationGroups oneGroup()
{
    AllocationGroupSettings settings;
    settings.groupCount = 1;
    return AllocationGroups(settings);
}

/// A store with the objects of groups and conditional writes.
class GroupStore
{
public:
    GroupOutcome write(const WriteGroup &write)
    {
        ++writes_;
        GroupConflict &object = objects_[write.group];
        if (write.expected != object.version) {
            return object;
        }
        object = {GroupVersion(++revision_), write.entries};
        return GroupWritten{object.version};
    }

    int writes() const { return writes_; }

private:
    std::map<AllocationGroup, GroupConflict> objects_;
    std::uint64_t revision_ = 0;
    int writes_ = 0;
};

std::vector<AnswerAllocation> answersOf(const std::vector<AllocationGroupAction> &actions)
{
    std::vector<AnswerAllocation> result;
    for (const AllocationGroupAction &action : actions) {
        if (const auto *answer = std::get_if<AnswerAllocation>(&action)) {
            result.push_back(*answer);
        }
    }
    return result;
}

std::vector<WriteGroup> writesOf(const std::vector<AllocationGroupAction> &actions)
{
    std::vector<WriteGroup> result;
    for (const AllocationGroupAction &action : actions) {
        if (const auto *write = std::get_if<WriteGroup>(&action)) {
            result.push_back(*write);
        }
    }
    return result;
}

/// Executes due writes and those that result from the responses, until none are left.
std::vector<AnswerAllocation> perform(AllocationGroups &groups,
                                      GroupStore &store,
                                      Base::Instant now)
{
    std::vector<AnswerAllocation> answers;
    groups.tick(now);
    for (auto actions = groups.takeActions(); !actions.empty(); actions = groups.takeActions()) {
        for (const AnswerAllocation &answer : answersOf(actions)) {
            answers.push_back(answer);
        }
        for (const WriteGroup &write : writesOf(actions)) {
            groups.groupAnswered(write.group, store.write(write), now);
        }
    }
    return answers;
}

/// Daemons with ledgers and groups that serve several programs in random order and are killed and
/// restarted. Writes to the store and its responses are lost or delayed.
class GroupFleet
{
public:
    static constexpr std::int64_t budget = 6000;
    static constexpr std::int64_t maxTokens = 580;
    static constexpr std::uint64_t programs = 5;

    explicit GroupFleet(std::uint64_t seed)
        : random_(seed)
        , delivered_(programs)
    {
        for (Daemon &daemon : daemons_) {
            restart(daemon);
        }
    }

    void run()
    {
        for (int step = 0; step < 800; ++step) {
            now_ += static_cast<std::int64_t>(random_.below(60));
            Daemon &daemon = daemons_[random_.below(daemons_.size())];
            switch (random_.below(40)) {
            case 0:
                restart(daemon);
                break;
            case 1:
            case 2:
                executeDelayedWrite();
                break;
            default:
                finishOne(daemon);
                begin(daemon);
                break;
            }
            if (random_.chance(0.7)) {
                answerOne(daemons_[random_.below(daemons_.size())]);
            }
            for (Daemon &each : daemons_) {
                each.ledger->tick(at(now_));
                each.groups->tick(at(now_));
                perform(each);
            }
            for (const std::int64_t delivered : delivered_) {
                cr_assert(delivered <= budget + maxTokens, "%ld tokens of %ld", delivered, budget);
            }
        }
    }

    std::int64_t delivered() const
    {
        return std::accumulate(delivered_.begin(), delivered_.end(), std::int64_t(0));
    }

private:
    struct Running
    {
        ReservationId id;
        std::uint64_t program = 0;
    };
    struct Daemon
    {
        std::unique_ptr<TokenLedger> ledger;
        std::unique_ptr<AllocationGroups> groups;
        std::deque<Running> running;
        std::deque<WriteGroup> inFlight;
    };

    void restart(Daemon &daemon)
    {
        const std::string name = "d." + std::to_string(++incarnations_);
        daemon.ledger
            = std::make_unique<TokenLedger>(Base::IncarnationId(name), TokenLedgerSettings{});
        AllocationGroupSettings settings;
        settings.groupCount = 2;
        daemon.groups = std::make_unique<AllocationGroups>(settings);
        for (const Running &turn : std::exchange(daemon.running, {})) {
            delivered_[turn.program] += static_cast<std::int64_t>(random_.below(maxTokens + 1));
        }
        for (WriteGroup &write : std::exchange(daemon.inFlight, {})) {
            delayedWrites_.push_back(std::move(write));
        }
    }

    void begin(Daemon &daemon)
    {
        const std::uint64_t number = random_.below(programs);
        const ReservationId id(++lastId_);
        programOf_[id] = number;
        TurnReservation turn{id, program(number), Tokens(budget), Tokens(maxTokens), retention};
        daemon.ledger->reserve(turn, at(now_));
    }

    void finishOne(Daemon &daemon)
    {
        if (daemon.running.empty()) {
            return;
        }
        const Running turn = daemon.running.front();
        daemon.running.pop_front();
        const auto used = static_cast<std::int64_t>(random_.below(maxTokens + 1));
        delivered_[turn.program] += used;
        daemon.ledger->settle(turn.id, Tokens(used), at(now_));
    }

    void perform(Daemon &daemon)
    {
        bool isBusy = true;
        while (isBusy) {
            isBusy = false;
            for (const TokenLedgerAction &action : daemon.ledger->takeActions()) {
                isBusy = true;
                if (const auto *allocation = std::get_if<WriteAllocation>(&action)) {
                    WriteAllocation each = *allocation;
                    each.isAwaited = random_.chance(0.5);
                    daemon.groups->write(each, at(now_));
                } else if (const auto *answer = std::get_if<AnswerTurn>(&action);
                           answer && answer->verdict == TurnVerdict::Admitted) {
                    daemon.running.push_back({answer->id, programOf_.at(answer->id)});
                }
            }
            for (const AllocationGroupAction &action : daemon.groups->takeActions()) {
                isBusy = true;
                if (const auto *write = std::get_if<WriteGroup>(&action)) {
                    daemon.inFlight.push_back(*write);
                } else {
                    const auto &answer = std::get<AnswerAllocation>(action);
                    daemon.ledger->allocationAnswered(answer.program, answer.outcome, at(now_));
                }
            }
        }
    }

    void answerOne(Daemon &daemon)
    {
        if (daemon.inFlight.empty()) {
            return;
        }
        const WriteGroup write = daemon.inFlight.front();
        daemon.inFlight.pop_front();
        GroupOutcome outcome = GroupUnanswered{};
        switch (random_.below(10)) {
        case 0:
            delayedWrites_.push_back(write); // executed later, if the version still matches
            break;
        case 1:
            store_.write(write); // executed, and the response is lost
            break;
        case 2:
            break;
        default:
            outcome = store_.write(write);
            break;
        }
        daemon.groups->groupAnswered(write.group, outcome, at(now_));
    }

    void executeDelayedWrite()
    {
        if (!delayedWrites_.empty()) {
            store_.write(delayedWrites_.front());
            delayedWrites_.pop_front();
        }
    }

    Base::Random random_;
    std::int64_t now_ = 0;
    GroupStore store_;
    std::array<Daemon, 3> daemons_;
    std::deque<WriteGroup> delayedWrites_;
    std::map<ReservationId, std::uint64_t> programOf_;
    std::vector<std::int64_t> delivered_;
    std::uint64_t lastId_ = 0;
    int incarnations_ = 0;
};

} // namespace

/// Writing each program's allocation separately took 3,800 store calls in run quiet-1 of the grown
/// wattlebird-prod.
Test(allocationgroups, allocationsWithoutWaitingTurnsAreOneWrite)
{
    AllocationGroups groups = oneGroup();
    GroupStore store;
    for (std::uint64_t i = 0; i < 20; ++i) {
        groups.write(allocation(i, 0, 100, "w", false), at(static_cast<std::int64_t>(i)));
    }
    cr_assert(perform(groups, store, at(100)).empty());
    const auto answers = perform(groups, store, *groups.nextWakeUp());
    cr_assert_eq(answers.size(), 20);
    cr_assert_eq(store.writes(), 1);
}

Test(allocationgroups, waitingTurnExpeditesTheWrite)
{
    AllocationGroups groups = oneGroup();
    GroupStore store;
    groups.write(allocation(1, 0, 100, "w1", false), at(0));
    groups.write(allocation(2, 0, 100, "w2", false), at(0));
    groups.expedite(program(2), at(10));
    cr_assert_eq(perform(groups, store, at(10)).size(), 2);
    groups.write(allocation(3, 0, 100, "w3", true), at(20));
    cr_assert_eq(perform(groups, store, at(20)).size(), 1);
    cr_assert_eq(store.writes(), 2);
}

Test(allocationgroups, detectsAndKeepsWritesOfOtherDaemons)
{
    GroupStore store;
    AllocationGroups first = oneGroup();
    AllocationGroups second = oneGroup();
    first.write(allocation(1, 0, 100, "w1"), at(0));
    perform(first, store, at(0));
    second.write(allocation(2, 0, 50, "w2"), at(10));
    second.write(allocation(1, 0, 70, "w3"), at(10));
    const auto answers = perform(second, store, at(10));
    cr_assert_eq(answers.size(), 2);
    for (const AnswerAllocation &answer : answers) {
        if (answer.program == program(1)) {
            const auto &conflict = std::get<AllocationConflict>(answer.outcome);
            cr_assert_eq(conflict.stored.total.value(), 100);
            cr_assert_eq(conflict.stored.lastWrite.text(), "w1");
        } else {
            cr_assert(std::holds_alternative<AllocationWritten>(answer.outcome));
        }
    }
    first.write(allocation(2, 0, 60, "w4"), at(20));
    const auto late = perform(first, store, at(20));
    cr_assert_eq(std::get<AllocationConflict>(late.at(0).outcome).stored.total.value(), 50);
}

/// A daemon writes its own allocation and a relayed one: only one of them can match the version.
Test(allocationgroups, doesNotWriteTwoAllocationsOfOneProgram)
{
    GroupStore store;
    AllocationGroups groups = oneGroup();
    groups.write(allocation(1, 0, 100, "own", false), at(0));
    groups.write(allocation(1, 0, 90, "relayed", true), at(1));
    const auto answers = perform(groups, store, at(1));
    cr_assert_eq(answers.size(), 2);
    cr_assert(std::holds_alternative<AllocationWritten>(answers.at(0).outcome));
    cr_assert(std::holds_alternative<AllocationConflict>(answers.at(1).outcome));
}

Test(allocationgroups, recognizesItsWriteAfterALostResponse)
{
    GroupStore store;
    AllocationGroups groups = oneGroup();
    groups.write(allocation(1, 0, 100, "w1"), at(0));
    const WriteGroup write = writesOf(groups.takeActions()).at(0);
    store.write(write);
    groups.groupAnswered(write.group, GroupUnanswered{}, at(500));
    const auto lost = answersOf(groups.takeActions());
    cr_assert(std::holds_alternative<AllocationUnanswered>(lost.at(0).outcome));
    groups.write(allocation(1, 0, 100, "w1"), at(600));
    const auto found = perform(groups, store, at(600));
    cr_assert(std::holds_alternative<AllocationWritten>(found.at(0).outcome));
}

Test(allocationgroups, evictsProgramsThatAreIdleForLong)
{
    GroupStore store;
    AllocationGroups groups = oneGroup();
    groups.write(allocation(1, 0, 100, "w1"), at(0));
    perform(groups, store, at(0));
    groups.write(allocation(2, 0, 100, "w2"), at(119'000));
    auto write = writesOf(groups.takeActions()).at(0);
    cr_assert_eq(write.entries.size(), 2, "kept for two retentions");
    groups.groupAnswered(write.group, store.write(write), at(119'000));
    groups.takeActions();
    groups.write(allocation(3, 0, 100, "w3"), at(121'000));
    write = writesOf(groups.takeActions()).at(0);
    cr_assert(!write.entries.contains(program(1)));
    cr_assert_eq(write.entries.size(), 2);
}

Test(allocationgroups, noScheduleExceedsTheBudgetByMoreThanOneTurn)
{
    std::int64_t delivered = 0;
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        GroupFleet fleet(seed);
        fleet.run();
        delivered += fleet.delivered();
    }
    const std::int64_t totalBudget
        = 300 * GroupFleet::budget * static_cast<std::int64_t>(GroupFleet::programs);
    cr_assert_gt(delivered,
                 totalBudget / 4,
                 "the schedules use their budgets: %ld of %ld",
                 delivered,
                 totalBudget);
}
