#include "takeover.h"

#include <base/visitor.h>

namespace Scheduler {

namespace {

using Base::IncarnationId;
using Base::Instant;
using Base::PartitionId;
using Base::Visitor;
using Journal::ReplayedPartition;

/// A journal to read for several partitions. Partitions that were released are read without sealing
/// the journal.
struct JournalKey
{
    IncarnationId owner;
    bool isReleased = false;

    auto operator<=>(const JournalKey &) const = default;
};

std::optional<Instant> earliest(std::optional<Instant> a, std::optional<Instant> b)
{
    if (!a || !b) {
        return a ? a : b;
    }
    return std::min(*a, *b);
}

} // namespace

Takeover::Takeover(IncarnationId self)
    : self_(std::move(self))
{}

void Takeover::acquired(const Ownership::PartitionAcquired &acquired, Instant /*now*/)
{
    Acquisition acquisition;
    acquisition.epoch = acquired.epoch;
    acquisition.journals = acquired.predecessors;
    partitions_[acquired.partition] = std::move(acquisition);
}

void Takeover::lost(PartitionId partition)
{
    partitions_.erase(partition);
}

void Takeover::startPending(Instant now)
{
    std::vector<PartitionId> withoutPredecessor;
    std::map<JournalKey, std::set<PartitionId>> byJournal;
    std::map<IncarnationId, Ownership::PredecessorJournal> journals;
    for (auto &[partition, acquisition] : partitions_) {
        if (acquisition.isReading) {
            continue;
        }
        acquisition.isReading = true;
        if (acquisition.journals.empty()) {
            withoutPredecessor.push_back(partition);
            continue;
        }
        const Ownership::PredecessorJournal &journal = acquisition.journals.back();
        const IncarnationId &owner = journal.predecessor.incarnation;
        byJournal[JournalKey{owner, journal.predecessor.releasedAt.has_value()}].insert(partition);
        journals.emplace(owner, journal);
    }
    for (const PartitionId partition : withoutPredecessor) {
        complete(partition, {}, std::nullopt);
    }
    for (auto &[key, partitions] : byJournal) {
        if (key.isReleased) {
            startHandover(key.owner, std::move(partitions), now);
        } else {
            startRecovery(journals.at(key.owner), std::move(partitions), now);
        }
    }
    collectActions(now);
}

void Takeover::startRecovery(const Ownership::PredecessorJournal &journal,
                             std::set<PartitionId> partitions,
                             Instant now)
{
    const IncarnationId &owner = journal.predecessor.incarnation;
    const std::uint64_t number = ++lastMachine_;
    Journal::RecoverySettings settings;
    settings.owner = owner;
    settings.self = self_;
    settings.partitions = partitions;
    settings.writeId = Base::WriteId(self_.text() + "/recovery/" + std::to_string(number));
    auto machine = std::make_unique<Journal::JournalRecovery>(settings);
    machine->start(now);
    for (const IncarnationId &incarnation : gone_) {
        machine->incarnationGone(incarnation, now);
    }
    readers_.emplace(number,
                     Reader{owner,
                            std::move(partitions),
                            {journal.witnesses.begin(), journal.witnesses.end()},
                            std::move(machine)});
}

void Takeover::startHandover(const IncarnationId &owner,
                             std::set<PartitionId> partitions,
                             Instant now)
{
    Journal::HandoverSettings settings;
    settings.owner = owner;
    settings.partitions = partitions;
    settings.self = self_;
    auto machine = std::make_unique<Journal::JournalHandover>(settings);
    machine->start(now);
    readers_.emplace(++lastMachine_, Reader{owner, std::move(partitions), {}, std::move(machine)});
}

void Takeover::storeReplied(std::uint64_t machine, const Platform::StoreReply &reply, Instant now)
{
    const auto entry = readers_.find(machine);
    if (entry == readers_.end()) {
        return;
    }
    std::visit([&](auto &reader) { reader->handle(reply, now); }, entry->second.machine);
    collectActions(now);
}

void Takeover::witnessReplied(const Journal::WitnessSealReply &reply, Instant now)
{
    for (auto &[number, reader] : readers_) {
        auto *recovery = std::get_if<std::unique_ptr<Journal::JournalRecovery>>(&reader.machine);
        if (recovery && reader.owner == reply.owner) {
            (*recovery)->handle(reply, now);
        }
    }
    collectActions(now);
}

void Takeover::incarnationGone(const IncarnationId &incarnation, Instant now)
{
    gone_.insert(incarnation);
    for (auto &[number, reader] : readers_) {
        if (auto *recovery
            = std::get_if<std::unique_ptr<Journal::JournalRecovery>>(&reader.machine)) {
            (*recovery)->incarnationGone(incarnation, now);
        }
    }
    collectActions(now);
}

void Takeover::tick(Instant now)
{
    for (auto &[number, reader] : readers_) {
        std::visit([&](auto &machine) { machine->tick(now); }, reader.machine);
    }
    collectActions(now);
}

std::optional<Instant> Takeover::nextWakeUp() const
{
    std::optional<Instant> next;
    for (const auto &[number, reader] : readers_) {
        next
            = std::visit([&](const auto &machine) { return earliest(next, machine->nextWakeUp()); },
                         reader.machine);
    }
    return next;
}

std::vector<TakeoverAction> Takeover::takeActions()
{
    return std::exchange(actions_, {});
}

void Takeover::collectActions(Instant now)
{
    std::vector<std::uint64_t> finished;
    // A reply to LeaseNeeded may produce further actions, so each machine is read until it has
    // none.
    for (auto &[number, reader] : readers_) {
        if (collectReaderActions(number, reader, now)) {
            finished.push_back(number);
        }
    }
    for (const std::uint64_t number : finished) {
        readers_.erase(number);
    }
}

bool Takeover::collectReaderActions(std::uint64_t number, Reader &reader, Instant now)
{
    bool isFinished = false;
    const auto store = [&](Journal::SendStoreRequest &send) {
        actions_.push_back(TakeoverStoreRequest{number, std::move(send.request)});
    };
    if (auto *handover = std::get_if<std::unique_ptr<Journal::JournalHandover>>(&reader.machine)) {
        for (Journal::HandoverAction &action : (*handover)->takeActions()) {
            std::visit(Visitor{[&](Journal::SendStoreRequest &send) { store(send); },
                               [&](Journal::HandoverDone &done) {
                                   isFinished = true;
                                   for (auto &[partition, content] : done.partitions) {
                                       partitionRead(partition, done.owner, std::move(content));
                                   }
                               },
                               [&](Journal::HandoverFailed &failed) {
                                   isFinished = true;
                                   actions_.push_back(TakeoverDelayed{reader.owner, failed.error});
                                   retryReading(reader);
                               }},
                       action);
        }
        return isFinished;
    }
    Journal::JournalRecovery &recovery
        = *std::get<std::unique_ptr<Journal::JournalRecovery>>(reader.machine);
    for (auto actions = recovery.takeActions(); !actions.empty();
         actions = recovery.takeActions()) {
        for (Journal::RecoveryAction &action : actions) {
            std::visit(
                Visitor{
                    [&](Journal::SendStoreRequest &send) { store(send); },
                    [&](Journal::SendMessage &send) {
                        actions_.push_back(TakeoverMessage{send.to, std::move(send.message)});
                    },
                    // The ownership manager has fenced the lease, so its witnesses cannot change.
                    [&](Journal::LeaseNeeded &) { recovery.leaseRead(reader.witnesses, now); },
                    [&](Journal::RecoveryBlocked &blocked) {
                        actions_.push_back(TakeoverDelayed{reader.owner, blocked.error});
                    },
                    [&](Journal::RecoveryFailed &failed) {
                        actions_.push_back(TakeoverDelayed{reader.owner, failed.error});
                        isFinished = true;
                    },
                    [&](Journal::RecoveryDone &done) {
                        isFinished = true;
                        for (const Journal::UncertainCall &call : done.uncertain) {
                            const auto entry = partitions_.find(call.partition);
                            if (entry != partitions_.end()) {
                                entry->second.uncertain.push_back(call);
                            }
                        }
                        for (const PartitionId partition : reader.partitions) {
                            const auto entry = partitions_.find(partition);
                            if (entry != partitions_.end() && done.isDegraded) {
                                entry->second.isDegraded = true;
                            }
                            partitionRead(
                                partition, done.owner, std::move(done.partitions[partition]));
                        }
                    }},
                action);
        }
    }
    return isFinished;
}

void Takeover::partitionRead(PartitionId partition,
                             const IncarnationId &owner,
                             ReplayedPartition content)
{
    const auto entry = partitions_.find(partition);
    if (entry == partitions_.end() || entry->second.journals.empty()
        || entry->second.journals.back().predecessor.incarnation != owner) {
        return;
    }
    Acquisition &acquisition = entry->second;
    if (content.adopted || acquisition.journals.size() == 1) {
        complete(partition, std::move(content), owner);
        return;
    }
    // This owner never adopted the partition, so the journal of the owner before it is read.
    acquisition.journals.pop_back();
    acquisition.isReading = false;
}

void Takeover::complete(PartitionId partition,
                        ReplayedPartition content,
                        const std::optional<IncarnationId> &owner)
{
    const auto entry = partitions_.find(partition);
    Acquisition acquisition = std::move(entry->second);
    partitions_.erase(entry);
    RecoveredPartition result;
    result.partition = partition;
    result.epoch = acquisition.epoch;
    result.content = std::move(content);
    result.uncertain = std::move(acquisition.uncertain);
    result.adoption = Journal::PartitionAdopted{
        .epoch = acquisition.epoch, .predecessor = owner, .isDegraded = acquisition.isDegraded};
    actions_.emplace_back(std::move(result));
}

void Takeover::retryReading(const Reader &reader)
{
    for (const PartitionId partition : reader.partitions) {
        const auto entry = partitions_.find(partition);
        if (entry != partitions_.end() && !entry->second.journals.empty()) {
            entry->second.isReading = false;
        }
    }
}

} // namespace Scheduler
