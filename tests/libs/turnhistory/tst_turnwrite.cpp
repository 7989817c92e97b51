#include <turnhistory/turnwrite.h>

#include <criterion/criterion.h>

#include <algorithm>
#include <functional>

using namespace TurnHistory;
using Base::VmId;

namespace {

enum class Answer {
    Kept,
    Refused,
    Full,
    Silent
};

/// As in the daemon, in milliseconds.
constexpr std::int64_t slowWrite = 40;
constexpr std::int64_t callTimeout = 600;

/// Holders by the millisecond of a virtual clock, and a daemon that writes one turn to them.
class Fleet
{
public:
    using Behaviour = std::function<Answer(const VmId &, std::int64_t millisecond)>;

    Fleet(std::size_t holders, std::size_t copies, std::int64_t timeLeft, Behaviour behaviour)
        : write({.copies = copies, .deadline = at(timeLeft)})
        , behaviour_(std::move(behaviour))
    {
        for (std::size_t i = 0; i < holders; ++i) {
            registered.push_back(VmId("vm" + std::to_string(i)));
        }
    }

    static Base::Instant at(std::int64_t millisecond)
    {
        return Base::Instant{} + std::chrono::seconds(100) + std::chrono::milliseconds(millisecond);
    }

    /// Runs until the write has ended, or until the given time; returns the time.
    std::int64_t run(std::int64_t end = 10'000)
    {
        for (; write.state() == TurnWrite::State::Pending && millisecond_ < end; ++millisecond_) {
            step();
        }
        return millisecond_;
    }

    TurnWrite write;
    std::vector<VmId> registered;
    /// Calls of each holder by their time.
    std::map<VmId, std::vector<std::int64_t>> calls;

private:
    struct Call
    {
        VmId holder;
        Answer answer;
        std::int64_t answeredAt;
    };

    void step()
    {
        const Base::Instant now = at(millisecond_);
        if (millisecond_ == 0 || (write.nextRoundAt() && *write.nextRoundAt() <= now)) {
            ask(write.beginRound(registered, now));
        }
        const std::vector<Call> pending = std::exchange(pending_, {});
        for (const Call &call : pending) {
            if (call.answeredAt > millisecond_) {
                pending_.push_back(call);
            } else if (call.answer == Answer::Kept) {
                ask(write.onKept(call.holder, now));
            } else if (call.answer == Answer::Full) {
                ask(write.onFull(call.holder, now));
            } else {
                ask(write.onFailed(call.holder, now));
            }
        }
        if (millisecond_ > 0 && millisecond_ % slowWrite == 0) {
            ask(write.onSlow(now));
        }
    }

    void ask(const std::vector<VmId> &holders)
    {
        for (const VmId &holder : holders) {
            calls[holder].push_back(millisecond_);
            const Answer answer = behaviour_(holder, millisecond_);
            const std::int64_t delay = answer == Answer::Silent ? callTimeout : 1;
            pending_.push_back({holder, answer, millisecond_ + delay});
        }
    }

    Behaviour behaviour_;
    std::vector<Call> pending_;
    std::int64_t millisecond_ = 0;
};

} // namespace

/// Every turn that ended while the daemons with disks restarted together was cut off.
Test(turnwrite, asksHoldersThatRestartUntilTheyAreBack)
{
    for (const Answer away : {Answer::Refused, Answer::Silent}) {
        Fleet fleet(6, 2, 3000, [&](const VmId &, std::int64_t time) {
            return time < 500 ? away : Answer::Kept;
        });
        const std::int64_t end = fleet.run();
        cr_assert_eq(fleet.write.state(), TurnWrite::State::Kept);
        cr_assert_leq(end, 1100, "kept after %ld ms", static_cast<long>(end));
    }
}

/// Holders that refuse all calls are asked a few times by each turn, not without a pause.
Test(turnwrite, asksFewTimesIfAllHoldersFail)
{
    for (const std::size_t holders : {2U, 6U, 40U}) {
        Fleet fleet(holders, 2, 3000, [](const VmId &, std::int64_t) { return Answer::Refused; });
        const std::int64_t end = fleet.run();
        cr_assert_eq(fleet.write.state(), TurnWrite::State::NotKept);
        cr_assert(end > 2500 && end <= 3000, "ended after %ld ms", static_cast<long>(end));
        for (const auto &[vm, times] : fleet.calls) {
            cr_assert_leq(times.size(), 12);
            for (std::size_t i = 1; i < times.size(); ++i) {
                cr_assert_geq(times[i] - times[i - 1], 50);
            }
        }
        cr_assert_leq(fleet.write.rounds(), 12);
    }
}

Test(turnwrite, endsWithTheTimeOfTheRequest)
{
    Fleet fleet(3, 2, 0, [](const VmId &, std::int64_t) { return Answer::Refused; });
    fleet.run();
    cr_assert_eq(fleet.write.state(), TurnWrite::State::NotKept);
    cr_assert_eq(fleet.write.rounds(), 1);
    cr_assert_eq(fleet.calls.size(), 3, "each holder is asked");
}

Test(turnwrite, asksAHolderThatRegistersMeanwhile)
{
    Fleet fleet(2, 2, 3000, [](const VmId &vm, std::int64_t) {
        return vm == VmId("vm0") ? Answer::Refused : Answer::Kept;
    });
    fleet.run(500);
    cr_assert_eq(fleet.write.state(), TurnWrite::State::Pending);
    fleet.registered.push_back(VmId("new"));
    fleet.run();
    cr_assert_eq(fleet.write.state(), TurnWrite::State::Kept);
}

/// With one sound holder left among many, later rounds reach each of the others in turn.
Test(turnwrite, reachesTheLastOfManyHolders)
{
    Fleet fleet(20, 2, 3000, [](const VmId &vm, std::int64_t time) {
        const bool isBack = vm == VmId("vm19") && time >= 30;
        return vm == VmId("vm0") || isBack ? Answer::Kept : Answer::Refused;
    });
    fleet.run();
    cr_assert_eq(fleet.write.state(), TurnWrite::State::Kept);
}

Test(turnwrite, doesNotAskAFullDiskAgain)
{
    Fleet fleet(3, 2, 3000, [](const VmId &vm, std::int64_t) {
        return vm == VmId("vm0") ? Answer::Kept : Answer::Full;
    });
    fleet.run();
    cr_assert_eq(fleet.write.state(), TurnWrite::State::NotKept);
    cr_assert_eq(fleet.calls[VmId("vm1")].size(), 1);
    cr_assert_eq(fleet.calls[VmId("vm2")].size(), 1);
}

/// A disk that confirmed the turn may be lost before another one has it.
Test(turnwrite, requestsOldConfirmationsAgain)
{
    Fleet fleet(2, 2, 3000, [](const VmId &vm, std::int64_t time) {
        return vm == VmId("vm1") && time < 2000 ? Answer::Refused : Answer::Kept;
    });
    fleet.run();
    cr_assert_eq(fleet.write.state(), TurnWrite::State::Kept);
    const std::int64_t lastConfirmation = fleet.calls[VmId("vm0")].back();
    const std::int64_t lastWrite = fleet.calls[VmId("vm1")].back();
    cr_assert_leq(lastWrite - lastConfirmation, 1000);
    cr_assert_leq(fleet.calls[VmId("vm0")].size(), 5);
}

/// A copy on a holder that was removed from the list does not count.
Test(turnwrite, doesNotCountAHolderThatIsNoLongerRegistered)
{
    Fleet fleet(2, 2, 3000, [](const VmId &vm, std::int64_t time) {
        return vm == VmId("vm1") && time < 200 ? Answer::Refused : Answer::Kept;
    });
    fleet.run(100);
    fleet.registered = {VmId("vm1"), VmId("vm2")};
    fleet.run();
    cr_assert_eq(fleet.write.state(), TurnWrite::State::Kept);
    cr_assert_eq(fleet.calls[VmId("vm2")].size(), 1);
}
