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

/// Tickets of the daemon's own appends start here; those of the program table stay below.
constexpr std::uint64_t firstOwnTicket = 1ULL << 62;
/// Pause between two rounds of questions to the witnesses while the lease is not renewed.
constexpr Base::Duration promiseInterval = std::chrono::milliseconds(250);
/// Remaining time of the lease at which the witnesses are asked.
constexpr Base::Duration leaseMargin = std::chrono::milliseconds(1500);

} // namespace

void DaemonCore::Private::membershipActions(Instant now)
{
    for (Fleet::FleetAction &action : membership_.takeActions()) {
        ++movedActions_;
        std::visit(
            Visitor{[&](Fleet::SendToDaemon &message) {
                        std::visit(
                            [&](auto &body) {
                                actions_.emplace_back(
                                    SendToPeer{message.to, message.address, std::move(body)});
                            },
                            message.message);
                    },
                    [&](const Fleet::MembershipEvent &event) { memberEvent(event, now); },
                    [&](const Fleet::VersionsReported &seen) { ownership_.handle(seen, now); }},
            action);
    }
}

void DaemonCore::Private::memberEvent(const Fleet::MembershipEvent &event, Instant now)
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
        ++movedActions_;
        std::visit(
            Visitor{
                [&](Ownership::SendStoreRequest &send) {
                    leaseClock_.sent(send.request, now);
                    callStore(StoreClient::Ownership, 0, std::move(send.request));
                },
                [&](Ownership::SendToPeer &message) {
                    std::visit([&](auto &body) { send(message.to, std::move(body), now); },
                               message.message);
                },
                [&](const Ownership::DaemonDiscovered &found) {
                    membership_.addDaemon(found.daemon, now);
                    config_.peersChanged(peerIncarnations(), now);
                },
                [&](const Ownership::LeaseRegistered &) {
                    report({Severity::Info, "lease registered", {}, {}, "ownership", {}});
                },
                [&](const Ownership::LeaseLost &) {
                    isFenced_ = true;
                    actions_.emplace_back(IncarnationEnded{});
                },
                [&](const Ownership::WitnessesProposed &witnesses) {
                    journal_.setWitnesses({witnesses.proposed.begin(), witnesses.proposed.end()},
                                          now);
                },
                [&](const Ownership::WitnessesConfirmed &confirmed) {
                    journal_.witnessesConfirmed(
                        {confirmed.witnesses.begin(), confirmed.witnesses.end()}, now);
                },
                [&](const Ownership::PartitionAcquired &partition) { acquired(partition, now); },
                [&](const Ownership::PartitionLost &partition) { lost(partition.partition, now); },
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
    if (version != seenAssignment_) {
        seenAssignment_ = version;
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

void DaemonCore::Private::acquired(const Ownership::PartitionAcquired &acquired, Instant now)
{
    programs_.partitionAcquired(acquired.partition, acquired.epoch, now);
    takeover_.acquired(acquired, now);
}

void DaemonCore::Private::lost(PartitionId partition, Instant now)
{
    takeover_.lost(partition);
    loader_.lost(partition);
    std::erase_if(adoptions_,
                  [&](const auto &entry) { return entry.second.found.partition == partition; });
    std::erase_if(retryAdoptions_, [&](const PartitionLoaded &loaded) {
        return loaded.found.partition == partition;
    });
    serving_.erase(partition);
    draining_.erase(partition);
    programs_.partitionLost(partition, now);
    stopContracts(partition);
}

void DaemonCore::Private::stopContracts(PartitionId partition)
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
        ++movedActions_;
        std::visit(
            Visitor{[&](PartitionFound &found) { loader_.load(std::move(found), now); },
                    [&](TakeoverStore &store) {
                        callStore(StoreClient::Takeover, store.machine, std::move(store.request));
                    },
                    [&](TakeoverMessage &message) {
                        std::visit([&](auto &body) { send(message.to, std::move(body), now); },
                                   message.message);
                    },
                    [&](const TakeoverDelayed &delayed) {
                        report({Severity::Warning,
                                "recovery of " + delayed.owner.text()
                                    + " waits: " + delayed.error.message,
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
        ++movedActions_;
        std::visit(Visitor{[&](PartitionLoaded &loaded) { adopt(std::move(loaded), now); },
                           [&](LoaderStore &store) {
                               callStore(
                                   StoreClient::Loader, store.machine, std::move(store.request));
                           }},
                   action);
    }
}

void DaemonCore::Private::adopt(PartitionLoaded loaded, Instant now)
{
    const Journal::Ticket ticket(firstOwnTicket + ++lastTicket_);
    // The findings name the chunks, so that only turns outside of them are written again.
    Journal::ReplayedPartition content = loaded.found.content;
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
        = Journal::adoptionRecords(loaded.found.partition, content, loaded.found.adopted);
    const PartitionId partition = loaded.found.partition;
    adoptions_.emplace(ticket, std::move(loaded));
    const Base::Result<void> appended = journal_.append(ticket, std::move(records), now);
    if (!appended) {
        report({Severity::Warning,
                "findings of partition " + std::to_string(partition.value())
                    + " wait: " + appended.error().message,
                {},
                {},
                "recover",
                {}});
        auto entry = adoptions_.extract(ticket);
        retryAdoptions_.push_back(std::move(entry.mapped()));
    }
}

void DaemonCore::Private::serve(const PartitionLoaded &loaded, Instant now)
{
    const PartitionFound &found = loaded.found;
    std::vector<Journal::Record> records;
    for (const auto &[program, snapshot] : found.content.programs) {
        if (snapshot.state.ended) {
            records.push_back({found.partition, snapshot.state.created});
            records.push_back({found.partition, *snapshot.state.ended});
            continue;
        }
        programs_.restore(toSnapshot(snapshot.state, loaded.histories.at(program), found.epoch),
                          now);
    }
    programs_.recover(found.partition, records, {}, now);
    serving_[found.partition] = found.epoch;
    serveContracts(found.partition, found.epoch, !found.adopted.predecessor, now);
    ownership_.partitionServing(found.partition, now);
    ownership_.dropPredecessors(found.partition, now);
    if (found.adopted.isDegraded) {
        report({Severity::Error,
                "partition " + std::to_string(found.partition.value())
                    + " was recovered without a witness: calls may be missing",
                {},
                {},
                "recover",
                found.adopted.predecessor ? found.adopted.predecessor->text() : std::string()});
    }
}

void DaemonCore::Private::serveContracts(PartitionId partition,
                                         Base::Epoch epoch,
                                         bool isFresh,
                                         Instant now)
{
    const Base::Duration wait = WitnessPromiseSettings().length + settings_.lender.grantLength;
    const Instant lendFrom = isFresh ? now : now + wait;
    for (const Contracts::Team &team : config_.document()->teams) {
        if (partitionOfTeam(team.id) == partition) {
            lenders_.acquired(
                team.id, rateLimitOf(team), epoch, now, lendFrom, leaseClock_.until());
        }
    }
    for (const Contracts::BackendServer &server : config_.document()->servers) {
        if (partitionOfServer(server.id) == partition) {
            slotLenders_.acquired(server.id, server.slots, epoch, now);
            slotLenders_.configured(server.id, server.slots, server.isLeaving, now);
        }
    }
}

void DaemonCore::Private::extendLending(Instant now)
{
    const Instant until
        = std::max(leaseClock_.until(), promises_.until(ownership_.witnessesInUse()));
    if (until > now) {
        lenders_.renewed(until);
    }
}

void DaemonCore::Private::askPromises(Instant now)
{
    if (leaseClock_.until() > now + leaseMargin || now < nextPromise_ || serving_.empty()) {
        return;
    }
    nextPromise_ = now + promiseInterval;
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
        ++movedActions_;
        serving_.erase(epoch);
        stopContracts(partition);
        entry = draining_.erase(entry);
    }
}

void DaemonCore::Private::journalActions(Instant now)
{
    for (Journal::WriterAction &action : journal_.takeActions()) {
        ++movedActions_;
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
                        report({Severity::Error,
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
                        report({Severity::Warning,
                                "the store does not answer: records commit at the witnesses",
                                {},
                                {},
                                "journal",
                                "platform"});
                    },
                    [&](const Journal::OutageEnded &) {
                        ownership_.setWitnessChangesHeld(false);
                        report({Severity::Info,
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
    const auto entry = adoptions_.find(ticket);
    if (entry != adoptions_.end()) {
        const PartitionLoaded loaded = std::move(entry->second);
        adoptions_.erase(entry);
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
        ++movedActions_;
        if (auto *send = std::get_if<Journal::SendStoreRequest>(&action)) {
            callStore(StoreClient::Compactor, 0, std::move(send->request));
        }
    }
}

} // namespace Scheduler
