#include <admission/programdeadlines.h>
#include <admission/programlimiter.h>

#include <criterion/criterion.h>

#include <deque>
#include <map>
#include <set>
#include <string>

using namespace Admission;
using Base::Duration;
using Base::Instant;

namespace {

constexpr Duration step = std::chrono::milliseconds(10);

Instant at(double seconds)
{
    return Instant() + std::chrono::hours(1)
           + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

ProgramProfile profileOf(const std::string &program,
                         const std::string &team = "a",
                         std::uint32_t priority = 0)
{
    return {Base::ProgramId(program), Base::TeamId(team), priority};
}

/// Servers of one service as one first-come queue, before one daemon of a fleet of equal ones. A
/// turn that has not ended after its deadline is lost and its program starts it again, twice at
/// most.
class LoadReplay
{
public:
    struct Result
    {
        int started = 0;
        int refused = 0;
        int finished = 0;
        int failed = 0;
    };

    explicit LoadReplay(bool isLimited)
        : isLimited_(isLimited)
        , limiter_({}, 7)
    {}

    /// Callers start `perSecond` programs per second until `end`.
    Result run(double perSecond, double begin, double end)
    {
        Result result;
        for (double time = begin; time < end; time += Base::toSeconds(step)) {
            now_ = time;
            startPrograms(perSecond, result);
            serve(result);
            resume(result);
        }
        return result;
    }

private:
    struct Turn
    {
        std::string program;
        double arrivedAt = 0;
    };

    struct Program
    {
        int turnsLeft = 0;
        int failures = 0;
        double resumesAt = -1;
    };

    static constexpr int slots = 12;
    static constexpr int turnsPerProgram = 8;
    static constexpr double turnTime = 0.4;
    static constexpr double deadline = 3;

    void startPrograms(double perSecond, Result &result)
    {
        for (credit_ += perSecond * Base::toSeconds(step); credit_ >= 1; --credit_) {
            ++result.started;
            const std::string id = "p" + std::to_string(++number_);
            if (isLimited_ && !limiter_.admit(profileOf(id), at(now_)).isAdmitted) {
                ++result.refused;
                continue;
            }
            programs_[id] = {turnsPerProgram, 0, -1};
            send(id);
        }
    }

    void send(const std::string &id)
    {
        limiter_.requestStarted(profileOf(id), at(now_));
        queue_.push_back({id, now_});
    }

    /// The more requests wait, the more of the shared prompt parts are evicted and read again, up
    /// to 2.5 times the usual work; turns whose callers have given up are worked on all the same.
    void serve(Result &result)
    {
        work_ += slots / turnTime * Base::toSeconds(step);
        while (!queue_.empty()) {
            const double cost
                = 1 + std::min(1.5, static_cast<double>(queue_.size()) / (2.5 * slots));
            if (work_ < cost) {
                break;
            }
            work_ -= cost;
            const Turn turn = queue_.front();
            queue_.pop_front();
            const auto waiting = static_cast<std::uint32_t>(queue_.size());
            limiter_.queueReported({waiting, slots}, at(now_));
            end(turn, now_ - turn.arrivedAt + turnTime <= deadline, result);
        }
        work_ = std::min(work_, 2.5);
    }

    void end(const Turn &turn, bool isInTime, Result &result)
    {
        limiter_.requestEnded(Base::ProgramId(turn.program), at(now_));
        Program &program = programs_[turn.program];
        constexpr int maxFailures = 3;
        constexpr double pause = 0.15;
        program.turnsLeft -= isInTime ? 1 : 0;
        program.failures += isInTime ? 0 : 1;
        program.resumesAt = now_ + pause;
        if (program.turnsLeft == 0 || program.failures == maxFailures) {
            ++(program.turnsLeft == 0 ? result.finished : result.failed);
            programs_.erase(turn.program);
        }
    }

    void resume(Result &)
    {
        for (auto &[id, program] : programs_) {
            if (program.resumesAt >= 0 && program.resumesAt <= now_) {
                program.resumesAt = -1;
                send(id);
            }
        }
    }

    bool isLimited_;
    ProgramLimiter limiter_;
    double now_ = 0;
    double credit_ = 0;
    double work_ = 0;
    int number_ = 0;
    std::deque<Turn> queue_;
    std::map<std::string, Program> programs_;
};

/// Three programs a second are 80% of what the servers finish.
constexpr double usualLoad = 3;

double finishedShareAfterBurst(bool isLimited)
{
    LoadReplay replay(isLimited);
    replay.run(usualLoad, 0, 20);
    replay.run(2.4 * usualLoad, 20, 26);
    replay.run(usualLoad, 26, 31);
    const LoadReplay::Result after = replay.run(usualLoad, 31, 61);
    return double(after.finished) / after.started;
}

} // namespace

/// Guards against the state in which the servers work only on turns that their callers have given
/// up.
Test(programlimiter, goodputReturnsAfterABurst)
{
    cr_assert_geq(finishedShareAfterBurst(true), 0.95);
}

/// Shows that the load pattern of the previous test needs the limiter.
Test(programlimiter, goodputStaysLowAfterABurstWithoutALimit)
{
    cr_assert_lt(finishedShareAfterBurst(false), 0.5);
}

/// Guards against refusals while the servers have room.
Test(programlimiter, refusesNobodyBelowCapacity)
{
    LoadReplay replay(true);
    const LoadReplay::Result result = replay.run(usualLoad, 0, 60);
    cr_assert_eq(result.refused, 0);
    cr_assert_eq(result.failed, 0);
}

namespace {

/// A limiter with programs in progress that saw full queues for two seconds.
ProgramLimiter overloadedLimiter(int programs, std::uint32_t priority)
{
    ProgramLimiter limiter({}, 1);
    for (int i = 0; i < programs; ++i) {
        limiter.requestStarted(
            profileOf("p" + std::to_string(i), "t" + std::to_string(i), priority), at(0));
    }
    for (int i = 0; i <= 40; ++i) {
        limiter.queueReported({12, 12}, at(0.05 * i));
    }
    return limiter;
}

} // namespace

/// Guards against less urgent programs that are admitted while more urgent ones are refused.
Test(programlimiter, urgentProgramsAreRefusedLast)
{
    ProgramLimiter limiter = overloadedLimiter(40, 0);
    cr_assert(limiter.limit());
    // Programs end until a tenth of the limit is free.
    for (int i = 0; limiter.programCount() > 0.95 * *limiter.limit() && i < 40; ++i) {
        limiter.requestEnded(Base::ProgramId("p" + std::to_string(i)), at(2));
        limiter.queueReported({2, 12}, at(3.1 + 0.3 * i));
    }
    const Instant now = at(20);
    cr_assert(limiter.admit(profileOf("urgent", "x", 0), now).isAdmitted);
    cr_assert_not(limiter.admit(profileOf("other", "x", 2), now).isAdmitted);
}

/// Guards against callers that were refused together and return together.
Test(programlimiter, refusedCallersReturnOneAfterTheOther)
{
    ProgramLimiter limiter = overloadedLimiter(40, 0);
    std::set<Duration> times;
    for (int i = 0; i < 20; ++i) {
        const ProgramVerdict verdict = limiter.admit(profileOf("n" + std::to_string(i)), at(2.1));
        cr_assert_not(verdict.isAdmitted);
        cr_assert_leq(verdict.retryAfter, std::chrono::seconds(1));
        times.insert(verdict.retryAfter);
    }
    cr_assert_geq(times.size(), 18U);
}

/// Guards against a limit that outlives the overload.
Test(programlimiter, theLimitIsLiftedAfterTheOverload)
{
    ProgramLimiter limiter = overloadedLimiter(10, 0);
    for (int i = 0; i < 10; ++i) {
        limiter.requestEnded(Base::ProgramId("p" + std::to_string(i)), at(2));
    }
    for (int i = 0; i <= 100; ++i) {
        limiter.queueReported({0, 12}, at(3 + 0.1 * i));
    }
    cr_assert_not(limiter.limit());
}

/// Guards against limits from reports that say nothing.
Test(programlimiter, reportsWithoutSlotsAreIgnored)
{
    ProgramLimiter limiter({}, 1);
    limiter.requestStarted(profileOf("p"), at(0));
    for (int i = 0; i <= 40; ++i) {
        limiter.queueReported({50, 0}, at(0.1 * i));
    }
    cr_assert_not(limiter.limit());
}

/// Guards against work on programs whose callers have no more use for them, and against refusing
/// those whose start this daemon has not seen.
Test(programdeadlines, aProgramIsTooLateAfterTwiceItsObjective)
{
    ProgramDeadlines deadlines({});
    deadlines.programStarted(Base::ProgramId("p"), std::chrono::seconds(3), at(0));
    cr_assert_not(deadlines.isTooLate(Base::ProgramId("p"), at(5.9)));
    cr_assert(deadlines.isTooLate(Base::ProgramId("p"), at(6.1)));
    cr_assert_not(deadlines.isTooLate(Base::ProgramId("q"), at(100)));
}

/// Guards against memory that grows with the programs ever seen.
Test(programdeadlines, theNumberOfProgramsIsBounded)
{
    ProgramDeadlines deadlines({.maxPrograms = 10});
    for (int i = 0; i < 100; ++i) {
        deadlines.programStarted(
            Base::ProgramId(std::to_string(i)), std::chrono::seconds(3), at(i));
    }
    cr_assert_eq(deadlines.size(), 10U);
}
