#include "schedule.h"

#include "daemonprocess.h"

#include <algorithm>
#include <array>

namespace JournalTest {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Mixed into the seed, so that the choice of faults is independent of their times.
constexpr std::uint64_t faultSeed = 0x9e37;
constexpr double lossProbability = 0.15;
constexpr double delayProbability = 0.15;
constexpr double witnessChangeProbability = 0.25;
constexpr double secondSuccessorProbability = 0.7;
constexpr double secondWitnessCrashProbability = 0.5;
constexpr Base::Instant faultsEnd{milliseconds(6500)};
constexpr Base::Instant callsEnd{seconds(7)};
constexpr Base::Instant scheduleEnd{seconds(17)};
constexpr std::size_t maxTraceLines = 2000;

Base::Instant randomInstant(Base::Random &random, Base::Duration from, Base::Duration to)
{
    const auto spread = static_cast<std::uint64_t>((to - from).count());
    return Base::Instant(from + Base::Duration(random.below(spread)));
}

class Schedule
{
public:
    Schedule(std::uint64_t seed, const std::set<Fault> &faults, bool isTracing)
        : network_(seed, isTracing)
        , simulation_{network_}
        , faults_(faults)
    {}

    ScheduleOutcome run();

private:
    bool hasFault(Fault fault) const { return faults_.contains(fault); }
    void addProcesses();
    void planNetworkFaults();
    void planProcessFaults();
    void crash(Process &process, Base::Instant at);
    void pause(Process &process, Base::Instant at);
    std::string firstViolation() const;
    std::string checkRecovery(const DaemonProcess &by, const FinishedRecovery &recovery) const;
    std::string checkLiveness(const DaemonProcess &daemon) const;
    int crashedWitnesses() const;

    Network network_;
    Simulation simulation_;
    std::set<Fault> faults_;
};

void Schedule::addProcesses()
{
    for (const char *id : {"a.1", "b.1", "c.1"}) {
        simulation_.witnesses.emplace_back(id);
    }
    const Base::IncarnationId x("x.1");
    const Base::IncarnationId y("y.1");
    const auto add
        = [this](const std::string &id, const std::vector<Base::IncarnationId> &predecessors) {
              simulation_.daemons.push_back(
                  std::make_unique<DaemonProcess>(simulation_, id, predecessors));
              return simulation_.daemons.back().get();
          };
    const auto startAt = [this](DaemonProcess *daemon, Base::Instant at) {
        network_.at(at, *daemon, [daemon] { daemon->start(); });
    };
    startAt(add("x.1", {}), Base::Instant());
    const Base::Instant first = randomInstant(network_.random(), milliseconds(200), seconds(4));
    startAt(add("y.1", {x}), first);
    if (network_.random().chance(secondSuccessorProbability)) {
        const Base::Instant second = randomInstant(network_.random(), milliseconds(0), seconds(3));
        startAt(add("w.1", {y, x}), first + second.time_since_epoch());
    }
    network_.at(callsEnd, [this] {
        for (const auto &daemon : simulation_.daemons) {
            daemon->stopNewCalls();
        }
    });
}

void Schedule::planNetworkFaults()
{
    Faults &faults = network_.faults();
    faults.loseMessage = hasFault(Fault::MessageLoss) ? lossProbability : 0;
    faults.delayMessage = hasFault(Fault::MessageDelay) ? delayProbability : 0;
    faults.loseStoreRequest = hasFault(Fault::StoreRequestLoss) ? lossProbability : 0;
    faults.loseStoreAnswer = hasFault(Fault::StoreAnswerLoss) ? lossProbability : 0;
    faults.delayStore = hasFault(Fault::StoreDelay) ? delayProbability : 0;
    if (hasFault(Fault::Outage)) {
        faults.outageFrom = randomInstant(network_.random(), milliseconds(100), seconds(4));
        faults.outageUntil
            = faults.outageFrom
              + randomInstant(network_.random(), milliseconds(100), seconds(4)).time_since_epoch();
    }
    network_.at(faultsEnd, [this] { network_.faults() = Faults(); });
}

void Schedule::planProcessFaults()
{
    Base::Random &random = network_.random();
    const Base::Instant ownerAt = randomInstant(random, milliseconds(100), seconds(5));
    const Base::Instant witnessAt = randomInstant(random, milliseconds(100), seconds(5));
    const Base::Instant successorAt = randomInstant(random, milliseconds(300), seconds(6));
    DaemonProcess &owner = *simulation_.daemons[0];
    DaemonProcess &successor = *simulation_.daemons[1];
    if (hasFault(Fault::OwnerCrash)) {
        crash(owner, ownerAt);
    }
    if (hasFault(Fault::OwnerPause)) {
        pause(owner, ownerAt);
    }
    if (hasFault(Fault::WitnessCrash)) {
        crash(simulation_.witnesses[0], witnessAt);
        if (random.chance(secondWitnessCrashProbability)) {
            crash(simulation_.witnesses[1], randomInstant(random, milliseconds(100), seconds(5)));
        }
    }
    if (hasFault(Fault::WitnessPause)) {
        pause(simulation_.witnesses[0], witnessAt);
    }
    if (hasFault(Fault::SuccessorCrash) && simulation_.daemons.size() > 2) {
        crash(successor, successorAt);
    }
    if (hasFault(Fault::SuccessorPause)) {
        pause(successor, successorAt);
    }
}

void Schedule::crash(Process &process, Base::Instant at)
{
    network_.at(at, [this, &process] {
        network_.trace(process.name, "crashes");
        process.isCrashed = true;
    });
    const Base::Duration lag
        = randomInstant(network_.random(), milliseconds(300), seconds(2)).time_since_epoch();
    network_.at(at + lag, [this, &process] {
        network_.trace(process.name, "is listed as gone");
        simulation_.setGone(Base::IncarnationId(process.name));
    });
}

void Schedule::pause(Process &process, Base::Instant at)
{
    const Base::Duration length
        = randomInstant(network_.random(), milliseconds(100), seconds(4)).time_since_epoch();
    network_.at(at, [this, &process, until = at + length] {
        network_.trace(process.name, "pauses");
        process.pausedUntil = until;
    });
}

int Schedule::crashedWitnesses() const
{
    return static_cast<int>(std::count_if(simulation_.witnesses.begin(),
                                          simulation_.witnesses.end(),
                                          [](const Process &p) { return p.isCrashed; }));
}

std::string Schedule::checkRecovery(const DaemonProcess &by, const FinishedRecovery &recovery) const
{
    const auto owner = std::find_if(simulation_.daemons.begin(),
                                    simulation_.daemons.end(),
                                    [&](auto &d) { return d->id() == recovery.owner; });
    if (recovery.isDegraded && !((*owner)->isCrashed && crashedWitnesses() >= 2)) {
        return "degraded although the owner or a witness was alive";
    }
    const std::size_t atLeast = recovery.isDegraded ? 0 : (*owner)->committed();
    const std::string difference
        = compareWithLog(recovery.found, (*owner)->log(), atLeast, simulation_.network.store());
    if (difference.empty()) {
        return {};
    }
    return by.name + " recovered " + recovery.owner.text() + " wrongly:\n  " + difference;
}

std::string Schedule::checkLiveness(const DaemonProcess &daemon) const
{
    if (daemon.isCrashed) {
        return {};
    }
    if (!daemon.isFenced() && !daemon.isIdle()) {
        return daemon.name + " has uncommitted records at the end";
    }
    const bool isLast = simulation_.daemons.back()->id() == daemon.id();
    const bool mayBeBlocked = crashedWitnesses() >= 2;
    if (isLast && !daemon.isServing() && !mayBeBlocked) {
        return daemon.name + " does not serve at the end";
    }
    return {};
}

std::string Schedule::firstViolation() const
{
    for (const auto &[call, times] : simulation_.executionCounts) {
        if (times > 1) {
            return call.first.text() + " call " + std::to_string(call.second.value())
                   + " ran more than once";
        }
    }
    for (const auto &daemon : simulation_.daemons) {
        if (!daemon->violation().empty()) {
            return daemon->name + ": " + daemon->violation();
        }
        for (const FinishedRecovery &recovery : daemon->recoveries()) {
            if (std::string violation = checkRecovery(*daemon, recovery); !violation.empty()) {
                return violation;
            }
        }
        if (std::string violation = checkLiveness(*daemon); !violation.empty()) {
            return violation;
        }
    }
    return {};
}

ScheduleOutcome Schedule::run()
{
    addProcesses();
    planNetworkFaults();
    planProcessFaults();
    network_.run(scheduleEnd);
    ScheduleOutcome outcome;
    outcome.violation = firstViolation();
    outcome.trace = network_.lines();
    outcome.dispatched = static_cast<int>(simulation_.executionCounts.size());
    for (const auto &daemon : simulation_.daemons) {
        outcome.outageCommits += daemon->outageCommits();
        for (const FinishedRecovery &recovery : daemon->recoveries()) {
            ++outcome.recoveries;
            outcome.degraded += recovery.isDegraded ? 1 : 0;
        }
    }
    return outcome;
}

} // namespace

std::string toString(Fault fault)
{
    switch (fault) {
    case Fault::MessageLoss:
        return "message loss";
    case Fault::MessageDelay:
        return "message delay";
    case Fault::StoreRequestLoss:
        return "store request loss";
    case Fault::StoreAnswerLoss:
        return "store answer loss";
    case Fault::StoreDelay:
        return "store delay";
    case Fault::Outage:
        return "outage";
    case Fault::OwnerCrash:
        return "owner crash";
    case Fault::OwnerPause:
        return "owner pause";
    case Fault::WitnessCrash:
        return "witness crash";
    case Fault::WitnessPause:
        return "witness pause";
    case Fault::SuccessorCrash:
        return "successor crash";
    case Fault::SuccessorPause:
        return "successor pause";
    }
    return {};
}

std::set<Fault> faultsOf(std::uint64_t seed)
{
    // A change of witnesses during a store failure requires both of these faults.
    static constexpr std::array storeFaults{
        Fault::StoreRequestLoss, Fault::StoreAnswerLoss, Fault::StoreDelay, Fault::Outage};
    Base::Random random(seed ^ faultSeed);
    if (random.chance(witnessChangeProbability)) {
        return {Fault::WitnessCrash, storeFaults[random.below(storeFaults.size())]};
    }
    return {static_cast<Fault>(random.below(faultCount)),
            static_cast<Fault>(random.below(faultCount))};
}

ScheduleOutcome runSchedule(std::uint64_t seed, const std::set<Fault> &faults, bool isTracing)
{
    return Schedule(seed, faults, isTracing).run();
}

std::string explainFailure(std::uint64_t seed)
{
    std::set<Fault> faults = faultsOf(seed);
    for (const Fault fault : faultsOf(seed)) {
        std::set<Fault> fewer = faults;
        fewer.erase(fault);
        if (!runSchedule(seed, fewer, false).violation.empty()) {
            faults = fewer;
        }
    }
    const ScheduleOutcome outcome = runSchedule(seed, faults, true);
    std::string text = "seed " + std::to_string(seed) + ", faults:";
    for (const Fault fault : faults) {
        text += " [" + toString(fault) + "]";
    }
    text += "\n" + outcome.violation + "\n";
    const std::size_t skipped
        = outcome.trace.size() - std::min(outcome.trace.size(), maxTraceLines);
    for (std::size_t i = skipped; i < outcome.trace.size(); ++i) {
        text += outcome.trace[i] + "\n";
    }
    return text;
}

} // namespace JournalTest
