#include "simulatedfleet.h"

#include <base/visitor.h>

#include <algorithm>

namespace OwnershipTest {

using namespace std::chrono_literals;

namespace {

constexpr Base::Duration minStoreDelay = 2ms;
constexpr Base::Duration maxStoreDelay = 8ms;
constexpr Base::Duration storeTimeout = 500ms;
constexpr Base::Duration minHopDelay = 800us;
constexpr Base::Duration maxHopDelay = 1600us;
constexpr Base::Duration minWakeUpDelay = 1ms;
constexpr Base::Duration exitPause = 100ms;
constexpr Base::Duration restartDelay = 500ms;
constexpr std::size_t zoneCount = 3;

const Platform::ObjectKey assignmentKey{Platform::ObjectKind::Assignment, "assignment"};

Fleet::Daemon identityOf(std::size_t vm, std::size_t start)
{
    const std::string name = "vm-" + std::to_string(vm);
    Fleet::Daemon daemon;
    daemon.incarnation = Base::IncarnationId(name + "." + std::to_string(10000000 + start));
    daemon.vm = Base::VmId(name);
    daemon.zone = Base::ZoneId("zone-" + std::to_string(vm % zoneCount));
    daemon.address = {"10.0." + std::to_string(vm / 250) + "." + std::to_string(vm % 250), 7400};
    return daemon;
}

} // namespace

SimulatedFleet::SimulatedFleet(std::uint64_t seed, std::uint16_t partitionCount)
    : random_(seed)
    , partitionCount_(partitionCount)
{
    store_.setObserver([this](const Platform::StoredObject &object) { checkWrite(object); });
}

Base::Duration SimulatedFleet::randomBetween(Base::Duration shortest, Base::Duration longest)
{
    const auto span = static_cast<std::uint64_t>((longest - shortest).count());
    return shortest + Base::Duration(static_cast<std::int64_t>(random_.below(span + 1)));
}

void SimulatedFleet::schedule(Base::Duration delay, std::function<void()> action)
{
    events_.push({now_ + delay, ++order_, std::move(action)});
}

void SimulatedFleet::run(Base::Duration duration)
{
    const Base::Instant end = now_ + duration;
    while (!events_.empty() && events_.top().at <= end) {
        const Event event = events_.top();
        events_.pop();
        now_ = event.at;
        event.action();
    }
    now_ = end;
}

std::size_t SimulatedFleet::startDaemon(std::size_t vm)
{
    const std::size_t index = daemons_.size();
    SimulatedDaemon &daemon = daemons_.emplace_back();
    daemon.vmNumber = vm;
    daemon.identity = identityOf(vm, index);
    daemon.view = std::make_unique<Fleet::MembershipView>(
        daemon.identity, Fleet::MembershipSettings(), random_.next());
    Ownership::OwnershipSettings settings;
    settings.partitionCount = partitionCount_;
    daemon.manager
        = std::make_unique<Ownership::OwnershipManager>(daemon.identity, settings, random_.next());
    indices_[daemon.identity.incarnation] = index;
    schedule(randomBetween(0ms, 500ms), [this, index] {
        deliver(index, [this, index] { daemons_[index].manager->start(now_); });
    });
    return index;
}

void SimulatedFleet::kill(std::size_t daemon)
{
    daemons_[daemon].state = RunState::Dead;
    daemons_[daemon].deferred.clear();
}

void SimulatedFleet::pause(std::size_t daemon)
{
    if (daemons_[daemon].state == RunState::Running) {
        daemons_[daemon].state = RunState::Paused;
    }
}

void SimulatedFleet::resume(std::size_t daemon)
{
    if (daemons_[daemon].state != RunState::Paused) {
        return;
    }
    daemons_[daemon].state = RunState::Running;
    for (std::function<void()> &action : std::exchange(daemons_[daemon].deferred, {})) {
        deliver(daemon, std::move(action));
    }
    deliver(daemon, [] {});
}

void SimulatedFleet::beginShutdown(std::size_t daemon)
{
    deliver(daemon, [this, daemon] {
        daemons_[daemon].view->beginLeaving(now_);
        daemons_[daemon].manager->beginShutdown(now_);
    });
}

void SimulatedFleet::deliver(std::size_t daemon, std::function<void()> action)
{
    if (daemons_[daemon].state == RunState::Dead) {
        return;
    }
    if (daemons_[daemon].state == RunState::Paused) {
        daemons_[daemon].deferred.push_back(std::move(action));
        return;
    }
    action();
    afterEvent(daemon);
}

void SimulatedFleet::afterEvent(std::size_t daemon)
{
    Fleet::MembershipView &view = *daemons_[daemon].view;
    Ownership::OwnershipManager &manager = *daemons_[daemon].manager;
    view.tick(now_);
    for (const Fleet::FleetAction &action : view.takeActions()) {
        perform(daemon, action);
    }
    for (const Ownership::OwnershipAction &action : manager.takeActions()) {
        perform(daemon, action);
    }
    view.setVersions({Base::ConfigVersion(),
                      manager.assignmentVersion().value(),
                      manager.leaseVersion().value()});
    const Base::Instant wakeUp = std::min(view.nextWakeUp().value_or(Base::Instant::max()),
                                          manager.nextWakeUp().value_or(Base::Instant::max()));
    const Base::Instant at = std::max(wakeUp, now_ + minWakeUpDelay);
    if (at < daemons_[daemon].scheduledWakeUp) {
        daemons_[daemon].scheduledWakeUp = at;
        schedule(at - now_, [this, daemon, at] { wake(daemon, at); });
    }
}

void SimulatedFleet::wake(std::size_t daemon, Base::Instant at)
{
    // A later call scheduled an earlier wake-up.
    if (daemons_[daemon].scheduledWakeUp != at) {
        return;
    }
    deliver(daemon, [this, daemon] {
        daemons_[daemon].scheduledWakeUp = Base::Instant::max();
        daemons_[daemon].manager->tick(now_);
    });
}

void SimulatedFleet::perform(std::size_t daemon, const Fleet::FleetAction &action)
{
    Ownership::OwnershipManager &manager = *daemons_[daemon].manager;
    std::visit(
        Base::Visitor{
            [&](const Fleet::SendToDaemon &send) { sendToDaemon(daemon, send); },
            [&](const Fleet::MembershipEvent &event) { manager.handle(event, now_); },
            [&](const Fleet::VersionsReported &reported) { manager.handle(reported, now_); }},
        action);
}

void SimulatedFleet::perform(std::size_t daemon, const Ownership::OwnershipAction &action)
{
    SimulatedDaemon &self = daemons_[daemon];
    std::visit(
        Base::Visitor{
            [&](const Ownership::SendStoreRequest &send) { sendToStore(daemon, send.request); },
            [&](const Ownership::SendToPeer &send) { sendToPeer(send); },
            [&](const Ownership::DaemonDiscovered &discovered) {
                self.view->addDaemon(discovered.daemon, now_);
            },
            // The simulation has no journal, so the witnesses lack no records.
            [&](const Ownership::WitnessesProposed &) { self.manager->witnessesReady(now_); },
            [&](const Ownership::LeaseLost &) { restart(daemon); },
            [&](const Ownership::PartitionAcquired &acquired) { recover(daemon, acquired); },
            [&](const Ownership::HandoverRequested &requested) {
                drain(daemon, requested.partition);
            },
            [&](const Ownership::ShutdownComplete &) { self.isShutdownComplete = true; },
            [](const auto &) {}},
        action);
}

void SimulatedFleet::restart(std::size_t daemon)
{
    ++leasesLost_;
    schedule(0ms, [this, daemon] { kill(daemon); });
    schedule(restartDelay, [this, vm = daemons_[daemon].vmNumber] { startDaemon(vm); });
}

void SimulatedFleet::sendToStore(std::size_t daemon, const Platform::StoreRequest &request)
{
    const auto reply = [this, daemon, id = request.id](const Platform::StoreOutcome &outcome) {
        deliver(daemon, [this, daemon, id, outcome] {
            daemons_[daemon].manager->handle(Platform::StoreReply{id, outcome}, now_);
        });
    };
    schedule(randomBetween(minStoreDelay, maxStoreDelay), [this, request, reply] {
        if (!isStoreUp_) {
            schedule(storeTimeout, [reply] { reply(Platform::StoreUnavailable{}); });
            return;
        }
        const Platform::StoreOutcome outcome = store_.apply(request.operation);
        if (random_.chance(faults_.lostAnswer)) {
            schedule(storeTimeout, [reply] { reply(Platform::StoreUnavailable{}); });
            return;
        }
        schedule(1ms, [reply, outcome] { reply(outcome); });
    });
}

void SimulatedFleet::sendToDaemon(std::size_t from, const Fleet::SendToDaemon &send)
{
    const std::size_t size = Fleet::wireSize(send.message);
    daemons_[from].bytesSent += size;
    const auto found = indices_.find(send.to);
    if (found == indices_.end() || random_.chance(faults_.lostMessage)) {
        return;
    }
    const std::size_t to = found->second;
    schedule(randomBetween(minHopDelay, maxHopDelay), [this, to, size, message = send.message] {
        deliver(to, [this, to, size, message] {
            daemons_[to].bytesReceived += size;
            daemons_[to].view->handle(message, now_);
        });
    });
}

void SimulatedFleet::sendToPeer(const Ownership::SendToPeer &send)
{
    const auto found = indices_.find(send.to);
    if (found == indices_.end() || random_.chance(faults_.lostMessage)) {
        return;
    }
    const std::size_t to = found->second;
    schedule(randomBetween(minHopDelay, maxHopDelay), [this, to, message = send.message] {
        deliver(to, [this, to, message] { daemons_[to].manager->handle(message, now_); });
    });
}

void SimulatedFleet::recover(std::size_t daemon, const Ownership::PartitionAcquired &acquired)
{
    lastAcquisition_ = now_;
    const Base::Duration delay
        = acquired.predecessors.empty()
              ? Base::Duration(1000)
              : randomBetween(faults_.shortestRecovery, faults_.longestRecovery);
    schedule(delay, [this, daemon, acquired] {
        deliver(daemon, [this, daemon, acquired] {
            Ownership::OwnershipManager &manager = *daemons_[daemon].manager;
            const Base::PartitionId partition = acquired.partition;
            const Ownership::Owner self{daemons_[daemon].identity.incarnation, acquired.epoch};
            if (manager.stateOf(partition) == Ownership::PartitionState::Acquired
                && manager.ownerOf(partition) == self) {
                manager.partitionServing(partition, now_);
                recoveredOwners_.emplace(partition.value(), self.incarnation, self.epoch);
                manager.dropPredecessors(partition, now_);
            }
        });
    });
}

void SimulatedFleet::drain(std::size_t daemon, Base::PartitionId partition)
{
    schedule(randomBetween(faults_.shortestRecovery, faults_.longestRecovery),
             [this, daemon, partition] {
                 deliver(daemon, [this, daemon, partition] {
                     const Base::SegmentNumber releasedAt(++segments_);
                     daemons_[daemon].manager->partitionDrained(partition, releasedAt, now_);
                 });
             });
}

Ownership::Assignment SimulatedFleet::assignment() const
{
    const Platform::StoredObject *object = store_.find(assignmentKey);
    if (object == nullptr) {
        return {};
    }
    return Ownership::decodeAssignment(object->body).value();
}

void SimulatedFleet::checkWrite(const Platform::StoredObject &object)
{
    if (object.key != assignmentKey) {
        return;
    }
    const auto written = Ownership::decodeAssignment(object.body);
    if (!written || written.value().entries.size() != partitionCount_) {
        violations_.emplace_back("the written assignment is malformed");
        return;
    }
    ++assignmentWrites_;
    lastAssignmentWrite_ = now_;
    for (std::size_t i = 0; i < last_.entries.size(); ++i) {
        checkEntry(i, last_.entries[i], written.value().entries[i]);
    }
    last_ = written.value();
}

void SimulatedFleet::checkEntry(std::size_t partition,
                                const Ownership::PartitionEntry &before,
                                const Ownership::PartitionEntry &after)
{
    const std::string name = "partition " + std::to_string(partition) + ": ";
    const bool isOwnerKept = before.owner == after.owner && before.epoch == after.epoch;
    // One write may contain several successive changes of owner.
    if (!isOwnerKept && after.epoch <= before.epoch) {
        violations_.push_back(name + "the epoch did not increase with a change of owner");
    }
    std::vector<Ownership::Predecessor> needed = before.predecessors;
    if (recoveredOwners_.contains({partition, before.owner, before.epoch})) {
        needed.clear();
    }
    for (const Ownership::Predecessor &predecessor : needed) {
        if (std::ranges::find(after.predecessors, predecessor) == after.predecessors.end()) {
            violations_.push_back(name + "a predecessor that is not recovered was removed");
        }
    }
    const auto isLastOwner = [&](const Ownership::Predecessor &predecessor) {
        return predecessor.incarnation == before.owner && predecessor.epoch == before.epoch;
    };
    if (isOwnerKept) {
        return;
    }
    const auto last = std::ranges::find_if(after.predecessors, isLastOwner);
    if (last == after.predecessors.end()) {
        violations_.push_back(name + "the last owner is not a predecessor");
    } else if (!last->releasedAt && !isFenced(before.owner)) {
        violations_.push_back(name + "taken over although the owner's lease was not fenced");
    }
}

bool SimulatedFleet::isFenced(const Base::IncarnationId &incarnation) const
{
    const Platform::StoredObject *object = store_.find(Ownership::leaseKey(incarnation));
    return object == nullptr || Ownership::decodeLease(object->body).value().fencedBy;
}

std::string SimulatedFleet::settledProblem() const
{
    std::map<Base::IncarnationId, std::size_t> loads;
    for (const SimulatedDaemon &daemon : daemons_) {
        if (daemon.state == RunState::Running && !daemon.isShutdownComplete) {
            loads[daemon.identity.incarnation] = 0;
        }
    }
    const Ownership::Assignment current = assignment();
    for (std::size_t i = 0; i < current.entries.size(); ++i) {
        const Ownership::PartitionEntry &entry = current.entries[i];
        if (!loads.contains(entry.owner)) {
            return "partition " + std::to_string(i)
                   + " is owned by a daemon that is not running: " + entry.owner.text();
        }
        ++loads[entry.owner];
        const Ownership::OwnershipManager &manager = *daemons_[indices_.at(entry.owner)].manager;
        const Base::PartitionId partition(static_cast<std::uint16_t>(i));
        if (manager.stateOf(partition) != Ownership::PartitionState::Serving) {
            return "partition " + std::to_string(i) + " is not served";
        }
        if (!entry.predecessors.empty()) {
            return "partition " + std::to_string(i) + " has predecessors that are not recovered";
        }
    }
    const auto [least, most]
        = std::ranges::minmax_element(loads, {}, [](const auto &load) { return load.second; });
    if (current.entries.empty() || most->second > least->second + 1) {
        return "uneven loads: " + std::to_string(least->second) + " to "
               + std::to_string(most->second) + " partitions per daemon";
    }
    return {};
}

} // namespace OwnershipTest
