// Membership, ownership of partitions, and the journal.

#include "daemoncore_p.h"

#include <base/partition.h>
#include <base/visitor.h>

namespace Scheduler {

namespace {

using Base::IncarnationId;
using Base::Instant;
using Base::PartitionId;
using Base::Visitor;

/// Lowest ticket of the core's own appends; tickets of the program table are lower.
constexpr std::uint64_t firstOwnTicket = 1ULL << 62;
/// Interval of empty appends to the witnesses while the lease is not renewed.
constexpr Base::Duration witnessRenewalInterval = std::chrono::milliseconds(250);
/// Remaining time of the lease below which leases of the witnesses are renewed.
constexpr Base::Duration witnessRenewalThreshold = std::chrono::milliseconds(1500);

} // namespace

void DaemonCore::Private::membershipActions(Instant now)
{
    for (Fleet::FleetAction &action : membership_.takeActions()) {
        ++processedActions_;
        std::visit(
            Visitor{
                [&](Fleet::SendToDaemon &message) {
                    std::visit(
                        [&](auto &body) {
                            actions_.emplace_back(
                                SendToPeer{message.to, message.address, std::move(body)});
                        },
                        message.message);
                },
                [&](const Fleet::MembershipEvent &event) { membershipEvent(event, now); },
                [&](const Fleet::VersionsReported &reported) { ownership_.handle(reported, now); }},
            action);
    }
}

void DaemonCore::Private::membershipEvent(const Fleet::MembershipEvent &event, Instant now)
{
    ownership_.handle(event, now);
    config_.peersChanged(peerIncarnations(), now);
    const auto *gone = std::get_if<Fleet::DaemonGone>(&event);
    if (!gone) {
        return;
    }
    const IncarnationId &incarnation = gone->daemon.incarnation;
    takeover_.incarnationGone(incarnation, now);
    slotLenders_.borrowerGone(incarnation, now);
    for (const Base::RequestId request : remoteCallers_.requestsOf(incarnation)) {
        remoteCallers_.remove(request);
        programs_.callerGone(request, now);
    }
}

std::vector<IncarnationId> DaemonCore::Private::peerIncarnations() const
{
    std::vector<IncarnationId> incarnations;
    for (const Fleet::Daemon &daemon : membership_.peers()) {
        incarnations.push_back(daemon.incarnation);
    }
    return incarnations;
}

void DaemonCore::Private::ownershipActions(Instant now)
{
    for (Ownership::OwnershipAction &action : ownership_.takeActions()) {
        ++processedActions_;
        std::visit(Visitor{[&](Ownership::SendStoreRequest &send) {
                               leaseExpiry_.requestSent(send.request, now);
                               callStore(StoreClient::Ownership, 0, std::move(send.request));
                           },
                           [&](Ownership::SendToPeer &message) {
                               std::visit(
                                   [&](auto &body) { send(message.to, std::move(body), now); },
                                   message.message);
                           },
                           [&](const Ownership::DaemonDiscovered &discovered) {
                               membership_.addDaemon(discovered.daemon, now);
                               config_.peersChanged(peerIncarnations(), now);
                           },
                           [&](const Ownership::LeaseRegistered &) {
                               log({Severity::Info, "lease registered", {}, {}, "ownership", {}});
                           },
                           [&](const Ownership::LeaseLost &) {
                               isFenced_ = true;
                               actions_.emplace_back(IncarnationEnded{});
                           },
                           [&](const Ownership::WitnessesProposed &witnesses) {
                               journal_.setWitnesses(
                                   {witnesses.proposed.begin(), witnesses.proposed.end()}, now);
                           },
                           [&](const Ownership::WitnessesConfirmed &confirmed) {
                               journal_.witnessesConfirmed(
                                   {confirmed.witnesses.begin(), confirmed.witnesses.end()}, now);
                           },
                           [&](const Ownership::PartitionAcquired &partition) {
                               partitionAcquired(partition, now);
                           },
                           [&](const Ownership::PartitionLost &partition) {
                               partitionLost(partition.partition, now);
                           },
                           [&](const Ownership::HandoverRequested &handover) {
                               draining_[handover.partition] = handover.to;
                               programs_.partitionLeaving(handover.partition, now);
                           },
                           [&](const Ownership::ShutdownComplete &) {
                               actions_.emplace_back(HandoverComplete{});
                           }},
                   action);
    }
    const Platform::ObjectVersion version = ownership_.assignmentVersion();
    if (version != knownAssignment_) {
        knownAssignment_ = version;
        router_.ownersChanged(now);
        for (const Contracts::Team &team : config_.document()->teams) {
            borrowers_.ownerChanged(team.id, now);
        }
        for (const Contracts::BackendServer &server : config_.document()->servers) {
            dispatcher_.slotOwnerChanged(server.id, now);
        }
    }
    Fleet::KnownVersions versions;
    versions.config = config_.version();
    versions.assignment = version.value();
    versions.lease = ownership_.leaseVersion().value();
    membership_.setVersions(versions);
}

void DaemonCore::Private::partitionAcquired(const Ownership::PartitionAcquired &acquired,
                                            Instant now)
{
    programs_.partitionAcquired(acquired.partition, acquired.epoch, now);
    takeover_.acquired(acquired, now);
}

void DaemonCore::Private::partitionLost(PartitionId partition, Instant now)
{
    takeover_.lost(partition);
    loader_.lost(partition);
    std::erase_if(pendingAdoptions_,
                  [&](const auto &entry) { return entry.second.recovered.partition == partition; });
    std::erase_if(deferredAdoptions_, [&](const LoadedPartition &loaded) {
        return loaded.recovered.partition == partition;
    });
    serving_.erase(partition);
    draining_.erase(partition);
    programs_.partitionLost(partition, now);
    stopLenders(partition);
}

void DaemonCore::Private::stopLenders(PartitionId partition)
{
    for (const Contracts::Team &team : config_.document()->teams) {
        if (partitionOfTeam(team.id) == partition) {
            lenders_.lost(team.id);
        }
    }
    for (const Contracts::BackendServer &server : config_.document()->servers) {
        if (partitionOfServer(server.id) == partition) {
            slotLenders_.lost(server.id);
        }
    }
}

void DaemonCore::Private::takeoverActions(Instant now)
{
    for (TakeoverAction &action : takeover_.takeActions()) {
        ++processedActions_;
        std::visit(
            Visitor{[&](RecoveredPartition &recovered) { loader_.load(std::move(recovered), now); },
                    [&](TakeoverStoreRequest &store) {
                        callStore(StoreClient::Takeover, store.machine, std::move(store.request));
                    },
                    [&](TakeoverMessage &message) {
                        std::visit([&](auto &body) { send(message.to, std::move(body), now); },
                                   message.message);
                    },
                    [&](const TakeoverDelayed &delayed) {
                        log({Severity::Warning,
                             "the recovery of the journal of " + delayed.owner.text()
                                 + " is delayed: " + delayed.error.message,
                             {},
                             {},
                             "recover",
                             delayed.error.peer});
                    }},
            action);
    }
}

void DaemonCore::Private::loaderActions(Instant now)
{
    for (LoaderAction &action : loader_.takeActions()) {
        ++processedActions_;
        std::visit(Visitor{[&](LoadedPartition &loaded) { adopt(std::move(loaded), now); },
                           [&](LoaderStoreRequest &store) {
                               callStore(
                                   StoreClient::Loader, store.machine, std::move(store.request));
                           }},
                   action);
    }
}

void DaemonCore::Private::adopt(LoadedPartition loaded, Instant now)
{
    const Journal::Ticket ticket(firstOwnTicket + ++lastTicket_);
    // The records refer to the stored chunks, so only turns outside of the chunks are written.
    Journal::ReplayedPartition content = loaded.recovered.content;
    for (auto &[program, snapshot] : content.programs) {
        const auto history = loaded.histories.find(program);
        if (history == loaded.histories.end()) {
            continue;
        }
        const Base::CallNumber chunked = snapshot.state.chunks.empty()
                                             ? Base::CallNumber()
                                             : snapshot.state.chunks.back().last;
        snapshot.tail.clear();
        for (const Journal::CallResult &turn : history->second) {
            if (turn.number > chunked) {
                snapshot.tail.push_back(turn);
            }
        }
    }
    std::vector<Journal::Record> records
        = Journal::adoptionRecords(loaded.recovered.partition, content, loaded.recovered.adoption);
    const PartitionId partition = loaded.recovered.partition;
    pendingAdoptions_.emplace(ticket, std::move(loaded));
    const Base::Result<void> appended = journal_.append(ticket, std::move(records), now);
    if (!appended) {
        log({Severity::Warning,
             "the adoption records of partition " + std::to_string(partition.value())
                 + " cannot be appended to the journal yet: " + appended.error().message,
             {},
             {},
             "recover",
             {}});
        auto entry = pendingAdoptions_.extract(ticket);
        deferredAdoptions_.push_back(std::move(entry.mapped()));
    }
}

void DaemonCore::Private::serve(const LoadedPartition &loaded, Instant now)
{
    const RecoveredPartition &recovered = loaded.recovered;
    std::vector<Journal::Record> records;
    for (const auto &[program, snapshot] : recovered.content.programs) {
        if (snapshot.state.ended) {
            records.push_back({recovered.partition, snapshot.state.created});
            records.push_back({recovered.partition, *snapshot.state.ended});
            continue;
        }
        programs_.restore(toSnapshot(snapshot.state, loaded.histories.at(program), recovered.epoch),
                          now);
    }
    programs_.recover(recovered.partition, records, {}, now);
    serving_[recovered.partition] = recovered.epoch;
    startLenders(
        recovered.partition, recovered.epoch, recovered.adoption.predecessor.has_value(), now);
    ownership_.partitionServing(recovered.partition, now);
    ownership_.dropPredecessors(recovered.partition, now);
    if (recovered.adoption.isDegraded) {
        log({Severity::Error,
             "partition " + std::to_string(recovered.partition.value())
                 + " was recovered without a witness: calls may be missing",
             {},
             {},
             "recover",
             recovered.adoption.predecessor ? recovered.adoption.predecessor->text()
                                            : std::string()});
    }
}

void DaemonCore::Private::startLenders(PartitionId partition,
                                       Base::Epoch epoch,
                                       bool hasPredecessor,
                                       Instant now)
{
    // A predecessor may lend until its witness leases expire, and its grants expire after that.
    const Base::Duration wait = WitnessLeaseSettings().duration + settings_.lender.grantLength;
    const Instant lendFrom = hasPredecessor ? now + wait : now;
    for (const Contracts::Team &team : config_.document()->teams) {
        if (partitionOfTeam(team.id) == partition) {
            lenders_.acquired(
                team.id, rateLimitOf(team), epoch, now, lendFrom, leaseExpiry_.expiry());
        }
    }
    for (const Contracts::BackendServer &server : config_.document()->servers) {
        if (partitionOfServer(server.id) == partition) {
            slotLenders_.acquired(server.id, server.slots, epoch, now);
            slotLenders_.configured(
                server.id, server.slots, config_.document()->getsNoWork(server), now);
        }
    }
}

void DaemonCore::Private::extendLending(Instant now)
{
    const Instant until
        = std::max(leaseExpiry_.expiry(), witnessLeases_.expiry(ownership_.witnessesInUse()));
    if (until > now) {
        lenders_.renewed(until);
    }
}

void DaemonCore::Private::renewWitnessLeases(Instant now)
{
    if (leaseExpiry_.expiry() > now + witnessRenewalThreshold || now < nextWitnessRenewal_
        || serving_.empty()) {
        return;
    }
    nextWitnessRenewal_ = now + witnessRenewalInterval;
    for (const IncarnationId &witness : ownership_.witnessesInUse()) {
        send(witness, Journal::WitnessAppend{settings_.self.incarnation, witness, {}, {}}, now);
    }
}

void DaemonCore::Private::drainPartitions(Instant now)
{
    for (auto entry = draining_.begin(); entry != draining_.end();) {
        const auto [partition, successor] = *entry;
        const auto epoch = serving_.find(partition);
        if (epoch == serving_.end()) {
            entry = draining_.erase(entry);
            continue;
        }
        if (programs_.isBusy(partition)) {
            ++entry;
            continue;
        }
        const Journal::Ticket ticket(firstOwnTicket + ++lastTicket_);
        const Journal::PartitionReleased released{epoch->second, successor};
        if (!journal_.append(ticket, {{partition, released}}, now)) {
            ++entry;
            continue;
        }
        ++processedActions_;
        serving_.erase(epoch);
        stopLenders(partition);
        entry = draining_.erase(entry);
    }
}

void DaemonCore::Private::journalActions(Instant now)
{
    for (Journal::WriterAction &action : journal_.takeActions()) {
        ++processedActions_;
        std::visit(
            Visitor{[&](Journal::SendStoreRequest &send) {
                        callStore(StoreClient::Journal, 0, std::move(send.request));
                    },
                    [&](Journal::SendMessage &message) {
                        std::visit([&](auto &body) { send(message.to, std::move(body), now); },
                                   message.message);
                    },
                    [&](const Journal::RecordsCommitted &committed) {
                        recordsCommitted(committed.ticket, now);
                    },
                    [&](Journal::SegmentStored &stored) { segmentStored(std::move(stored), now); },
                    [&](const Journal::Fenced &fenced) {
                        isFenced_ = true;
                        programs_.fenced(now);
                        log({Severity::Error,
                             "the journal was sealed by " + fenced.by.text(),
                             {},
                             {},
                             "journal",
                             fenced.by.text()});
                        actions_.emplace_back(IncarnationEnded{});
                    },
                    [&](const Journal::WitnessesReady &) { ownership_.witnessesReady(now); },
                    [&](const Journal::OutageStarted &) {
                        ownership_.setWitnessChangesHeld(true);
                        log({Severity::Warning,
                             "the store does not answer: records commit at the witnesses",
                             {},
                             {},
                             "journal",
                             "platform"});
                    },
                    [&](const Journal::OutageEnded &) {
                        ownership_.setWitnessChangesHeld(false);
                        log({Severity::Info,
                             "the store answers again and has every record",
                             {},
                             {},
                             "journal",
                             "platform"});
                    }},
            action);
    }
}

void DaemonCore::Private::recordsCommitted(Journal::Ticket ticket, Instant now)
{
    if (ticket.value() < firstOwnTicket) {
        programs_.committed(ticket, now);
        return;
    }
    const auto entry = pendingAdoptions_.find(ticket);
    if (entry != pendingAdoptions_.end()) {
        const LoadedPartition loaded = std::move(entry->second);
        pendingAdoptions_.erase(entry);
        serve(loaded, now);
    }
}

void DaemonCore::Private::segmentStored(Journal::SegmentStored stored, Instant now)
{
    for (const Journal::Record &record : stored.records) {
        if (std::holds_alternative<Journal::PartitionReleased>(record.body)) {
            ownership_.partitionDrained(record.partition, stored.number, now);
        }
    }
    compactor_.segmentStored(std::move(stored), now);
}

void DaemonCore::Private::compactorActions(Instant /*now*/)
{
    for (Journal::CompactorAction &action : compactor_.takeActions()) {
        ++processedActions_;
        if (auto *send = std::get_if<Journal::SendStoreRequest>(&action)) {
            callStore(StoreClient::Compactor, 0, std::move(send->request));
        }
    }
}

} // namespace Scheduler
