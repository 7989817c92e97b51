#include "daemonprocess.h"

#include <base/visitor.h>

#include <sstream>

namespace JournalTest {

using namespace Journal;

namespace {

constexpr int programsOfFirstOwner = 3;

WitnessSet split(const std::string &text)
{
    WitnessSet witnesses;
    std::istringstream in(text);
    for (std::string name; std::getline(in, name, ',');) {
        witnesses.insert(Base::IncarnationId(name));
    }
    return witnesses;
}

} // namespace

Platform::ObjectKey leaseKey(const Base::IncarnationId &id)
{
    return {Platform::ObjectKind::DaemonLease, id.text()};
}

void DaemonProcess::recoverNext()
{
    if (predecessors_.empty()) {
        adopt({}, std::nullopt, false);
        return;
    }
    RecoverySettings settings;
    settings.owner = predecessors_.front();
    settings.self = id_;
    settings.partitions = schedulePartitions();
    settings.writeId = Base::WriteId(name + ".recovers." + settings.owner.text());
    settings.maxReadsInFlight = 4;
    recovery_ = std::make_unique<JournalRecovery>(settings);
    recovery_->start(simulation_.network.now());
    for (const Base::IncarnationId &gone : simulation_.gone) {
        recovery_->incarnationGone(gone, simulation_.network.now());
    }
    drainRecovery();
}

void DaemonProcess::drainRecovery()
{
    if (!recovery_) {
        return;
    }
    const Base::IncarnationId owner = predecessors_.front();
    for (RecoveryAction &action : recovery_->takeActions()) {
        std::visit(
            Base::Visitor{
                [&](SendStoreRequest &send) {
                    simulation_.network.call(
                        *this, send.request, [this, owner](const Platform::StoreReply &reply) {
                            if (recovery_ && predecessors_.front() == owner) {
                                recovery_->handle(reply, simulation_.network.now());
                                drainRecovery();
                            }
                        });
                },
                [&](SendMessage &message) { send(message); },
                [&](LeaseNeeded &needed) {
                    const auto call
                        = leaseCalls_.get(leaseKey(needed.owner), simulation_.network.now());
                    leaseCallbacks_[call] = [this](const StoreResult &result) {
                        const auto &object = std::get<ReadAnswered>(result).object;
                        const WitnessSet named = object ? split(object->body) : WitnessSet();
                        recovery_->leaseRead(named, simulation_.network.now());
                        drainRecovery();
                    };
                    drainLease();
                },
                [&](RecoveryBlocked &) { simulation_.network.trace(name, "recovery is blocked"); },
                [&](RecoveryDone &done) { recovered(std::move(done)); },
                [&](RecoveryFailed &failed) { violation_ = failed.error.message; }},
            action);
    }
    if (recovery_ && !recovery_->isDone()) {
        armTimer(Timer::Recovery, recovery_->nextWakeUp(), [this] {
            if (recovery_) {
                recovery_->tick(simulation_.network.now());
                drainRecovery();
            }
        });
    }
}

void DaemonProcess::recovered(RecoveryDone done)
{
    const NaiveState found = toNaive(done.partitions, simulation_.network.store());
    simulation_.network.trace(name,
                              "recovered " + done.owner.text() + " sealed at "
                                  + std::to_string(done.sealedAt.value()));
    recoveries_.push_back({done.owner, found, done.isDegraded});
    recovery_.reset();
    bool isAdopted = true;
    for (const auto &[id, partition] : done.partitions) {
        isAdopted = isAdopted && partition.adopted;
    }
    if (isAdopted || done.isDegraded) {
        adopt(done.partitions, done.owner, done.isDegraded);
        return;
    }
    predecessors_.erase(predecessors_.begin());
    recoverNext();
}

void DaemonProcess::adopt(const std::map<Base::PartitionId, ReplayedPartition> &partitions,
                          const std::optional<Base::IncarnationId> &from,
                          bool isDegraded)
{
    std::vector<Record> records;
    for (const Base::PartitionId id : schedulePartitions()) {
        const auto found = partitions.find(id);
        const ReplayedPartition partition
            = found == partitions.end() ? ReplayedPartition() : found->second;
        const PartitionAdopted adopted{Base::Epoch(1), from, isDegraded};
        for (Record &record : adoptionRecords(id, partition, adopted)) {
            records.push_back(std::move(record));
        }
        for (const auto &[programId, program] : partition.programs) {
            programs_.push_back({programId, id, program.state.lastEnded});
        }
    }
    append(std::move(records), [this, partitions, isDegraded] {
        isServing_ = true;
        simulation_.network.trace(name, "serves");
        if (isDegraded) {
            return;
        }
        std::size_t index = 0;
        for (const auto &[id, partition] : partitions) {
            for (const auto &[programId, program] : partition.programs) {
                const std::size_t programIndex = index++;
                if (program.state.openCall) {
                    finishCall(programIndex, *program.state.openCall, true);
                } else {
                    nextCall(programIndex);
                }
            }
        }
        const int programCount = partitions.empty() ? programsOfFirstOwner : 1;
        for (int i = 0; i < programCount; ++i) {
            createProgram(i);
        }
    });
}

} // namespace JournalTest
