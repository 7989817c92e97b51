#include "peercodec.h"

#include "callcodec.h"

#include <base/visitor.h>
#include <journal/codec.h>

namespace PeerCodec {

namespace {

using Base::Visitor;
using Scheduler::PeerMessage;
namespace Wire = PeerProtocol;

template<typename Number>
std::int64_t number(Number value)
{
    return static_cast<std::int64_t>(value.value());
}

template<typename Number>
Number strong(std::int64_t value)
{
    return Number(static_cast<typename Number::Value>(value));
}

Base::Error malformed(const char *what)
{
    return Base::Error{.code = Base::ErrorCode::Malformed,
                       .step = Base::Step::Forward,
                       .message = std::string("a peer's message cannot be read: ") + what};
}

Wire::WireDaemon encodeDaemon(const Fleet::Daemon &daemon)
{
    Wire::WireDaemon wire;
    wire.incarnation = daemon.incarnation.text();
    wire.vm = daemon.vm.text();
    wire.zone = daemon.zone.text();
    wire.ip = daemon.address.ip;
    wire.port = daemon.address.port;
    wire.state = static_cast<int>(daemon.state);
    return wire;
}

Fleet::Daemon decodeDaemon(const Wire::WireDaemon &wire)
{
    Fleet::Daemon daemon;
    daemon.incarnation = Base::IncarnationId(wire.incarnation);
    daemon.vm = Base::VmId(wire.vm);
    daemon.zone = Base::ZoneId(wire.zone);
    daemon.address = {wire.ip, static_cast<std::uint16_t>(wire.port)};
    const bool isKnown
        = wire.state >= 0 && wire.state <= static_cast<int>(Fleet::DaemonState::Gone);
    daemon.state
        = isKnown ? static_cast<Fleet::DaemonState>(wire.state) : Fleet::DaemonState::Suspect;
    return daemon;
}

Wire::WireVersions encodeVersions(const Fleet::KnownVersions &versions)
{
    Wire::WireVersions wire;
    wire.config = number(versions.config);
    wire.assignment = static_cast<std::int64_t>(versions.assignment);
    wire.lease = static_cast<std::int64_t>(versions.lease);
    return wire;
}

Fleet::KnownVersions decodeVersions(const Wire::WireVersions &wire)
{
    return {strong<Base::ConfigVersion>(wire.config),
            static_cast<std::uint64_t>(wire.assignment),
            static_cast<std::uint64_t>(wire.lease)};
}

std::vector<Wire::WireDigest> encodeDigests(const std::vector<Fleet::DaemonDigest> &digests)
{
    std::vector<Wire::WireDigest> wire;
    wire.reserve(digests.size());
    for (const Fleet::DaemonDigest &digest : digests) {
        Wire::WireDigest entry;
        entry.daemon = encodeDaemon(digest.daemon);
        entry.sequence = number(digest.sequence);
        wire.push_back(std::move(entry));
    }
    return wire;
}

std::vector<Fleet::DaemonDigest> decodeDigests(const std::vector<Wire::WireDigest> &wire)
{
    std::vector<Fleet::DaemonDigest> digests;
    digests.reserve(wire.size());
    for (const Wire::WireDigest &entry : wire) {
        digests.push_back(
            {decodeDaemon(entry.daemon), strong<Fleet::HeartbeatSequence>(entry.sequence)});
    }
    return digests;
}

std::string encodeEntries(const Base::IncarnationId &owner,
                          const std::vector<Journal::Entry> &entries)
{
    Journal::Segment segment;
    segment.writer = owner;
    segment.entries = entries;
    return Journal::encode(segment);
}

Wire::GrantReturn encodeReturn(const Admission::GrantReturn &statement)
{
    Wire::GrantReturn wire;
    wire.team = statement.team.text();
    wire.epoch = number(statement.epoch);
    wire.grant = number(statement.grant);
    wire.used = number(statement.used);
    wire.returned = number(statement.returned);
    return wire;
}

Admission::GrantReturn decodeReturn(const Wire::GrantReturn &wire)
{
    return {Base::TeamId(wire.team),
            strong<Base::Epoch>(wire.epoch),
            strong<Base::GrantId>(wire.grant),
            Admission::Permits(wire.used),
            Admission::Permits(wire.returned)};
}

Wire::Heartbeat encodeBody(const Fleet::Heartbeat &heartbeat)
{
    Wire::Heartbeat wire;
    wire.sender = encodeDaemon(heartbeat.from);
    wire.sequence = number(heartbeat.sequence);
    wire.versions = encodeVersions(heartbeat.versions);
    wire.digests = encodeDigests(heartbeat.digests);
    return wire;
}

Wire::HeartbeatAck encodeBody(const Fleet::HeartbeatAck &ack)
{
    Wire::HeartbeatAck wire;
    wire.sender = encodeDaemon(ack.from);
    wire.sequence = number(ack.sequence);
    wire.answers = number(ack.answers);
    wire.versions = encodeVersions(ack.versions);
    wire.digests = encodeDigests(ack.digests);
    return wire;
}

Wire::WitnessAppend encodeBody(const Journal::WitnessAppend &append)
{
    Wire::WitnessAppend wire;
    wire.owner = append.owner.text();
    wire.witness = append.witness.text();
    wire.storedThrough = number(append.storedThrough);
    wire.entries = encodeEntries(append.owner, append.entries);
    return wire;
}

Wire::WitnessSealReply encodeBody(const Journal::WitnessSealReply &reply)
{
    Wire::WitnessSealReply wire;
    wire.owner = reply.owner.text();
    wire.witness = reply.witness.text();
    wire.successor = reply.successor.text();
    wire.storedThrough = number(reply.storedThrough);
    wire.heldThrough = number(reply.heldThrough);
    wire.entries = encodeEntries(reply.owner, reply.entries);
    return wire;
}

Wire::GrantRequest encodeBody(const Admission::GrantRequest &request)
{
    Wire::GrantRequest wire;
    wire.team = request.team.text();
    wire.borrower = request.borrower.text();
    wire.number = number(request.number);
    wire.needed = number(request.needed);
    wire.expected = number(request.expected);
    for (const Admission::GrantReturn &statement : request.returns) {
        wire.returns.push_back(encodeReturn(statement));
    }
    return wire;
}

Wire::Grant encodeBody(const Admission::Grant &grant)
{
    Wire::Grant wire;
    wire.team = grant.team.text();
    wire.epoch = number(grant.epoch);
    wire.grant = number(grant.grant);
    wire.answers = number(grant.answers);
    wire.permits = number(grant.permits);
    wire.validForUs = grant.validFor.count();
    wire.backlog = number(grant.backlog);
    wire.borrower = grant.borrower.text();
    return wire;
}

Wire::SlotRequest encodeBody(const Dispatch::SlotRequest &request)
{
    Wire::SlotRequest wire;
    wire.server = request.server.text();
    wire.borrower = request.borrower.text();
    wire.number = number(request.number);
    for (const Dispatch::TeamDemand &demand : request.demands) {
        Wire::TeamDemand entry;
        entry.team = demand.team.text();
        entry.weight = demand.weight;
        entry.waiting = static_cast<std::int32_t>(demand.waiting);
        entry.firstKey = demand.firstKey;
        entry.firstCost = number(demand.firstCost);
        wire.demands.push_back(std::move(entry));
    }
    for (const Dispatch::HeldSlot &slot : request.held) {
        Wire::HeldSlot entry;
        entry.epoch = number(slot.epoch);
        entry.slot = number(slot.slot);
        entry.team = slot.team.text();
        wire.held.push_back(std::move(entry));
    }
    return wire;
}

Fleet::Heartbeat decodeBody(const Wire::Heartbeat &wire)
{
    return {decodeDaemon(wire.sender),
            strong<Fleet::HeartbeatSequence>(wire.sequence),
            decodeVersions(wire.versions),
            decodeDigests(wire.digests)};
}

Fleet::HeartbeatAck decodeBody(const Wire::HeartbeatAck &wire)
{
    return {decodeDaemon(wire.sender),
            strong<Fleet::HeartbeatSequence>(wire.sequence),
            strong<Fleet::HeartbeatSequence>(wire.answers),
            decodeVersions(wire.versions),
            decodeDigests(wire.digests)};
}

Base::Result<PeerMessage> decodeAppend(const Wire::WitnessAppend &wire)
{
    BOOST_OUTCOME_TRY(segment, Journal::decodeSegment(wire.entries));
    return PeerMessage(Journal::WitnessAppend{Base::IncarnationId(wire.owner),
                                              Base::IncarnationId(wire.witness),
                                              strong<Journal::EntrySequence>(wire.storedThrough),
                                              std::move(segment.entries)});
}

Journal::WitnessAppendReply decodeBody(const Wire::WitnessAppendReply &wire)
{
    // An unknown verdict counts as a refusal.
    const bool isKnown = wire.verdict >= 0
                         && wire.verdict <= static_cast<int>(Journal::WitnessVerdict::WrongWitness);
    return {Base::IncarnationId(wire.owner),
            Base::IncarnationId(wire.witness),
            isKnown ? static_cast<Journal::WitnessVerdict>(wire.verdict)
                    : Journal::WitnessVerdict::WrongWitness,
            strong<Journal::EntrySequence>(wire.heldThrough)};
}

Base::Result<PeerMessage> decodeSealReply(const Wire::WitnessSealReply &wire)
{
    BOOST_OUTCOME_TRY(segment, Journal::decodeSegment(wire.entries));
    return PeerMessage(Journal::WitnessSealReply{Base::IncarnationId(wire.owner),
                                                 Base::IncarnationId(wire.witness),
                                                 Base::IncarnationId(wire.successor),
                                                 strong<Journal::EntrySequence>(wire.storedThrough),
                                                 strong<Journal::EntrySequence>(wire.heldThrough),
                                                 std::move(segment.entries)});
}

Admission::GrantRequest decodeBody(const Wire::GrantRequest &wire)
{
    Admission::GrantRequest request;
    request.team = Base::TeamId(wire.team);
    request.borrower = Base::IncarnationId(wire.borrower);
    request.number = strong<Admission::GrantRequestNumber>(wire.number);
    request.needed = Admission::Permits(wire.needed);
    request.expected = Admission::Permits(wire.expected);
    for (const Wire::GrantReturn &statement : wire.returns) {
        request.returns.push_back(decodeReturn(statement));
    }
    return request;
}

Admission::Grant decodeBody(const Wire::Grant &wire)
{
    Admission::Grant grant;
    grant.team = Base::TeamId(wire.team);
    grant.epoch = strong<Base::Epoch>(wire.epoch);
    grant.grant = strong<Base::GrantId>(wire.grant);
    grant.answers = strong<Admission::GrantRequestNumber>(wire.answers);
    grant.permits = Admission::Permits(wire.permits);
    grant.validFor = Base::Duration(wire.validForUs);
    grant.backlog = Admission::Permits(wire.backlog);
    grant.borrower = Base::IncarnationId(wire.borrower);
    return grant;
}

Dispatch::SlotRequest decodeBody(const Wire::SlotRequest &wire)
{
    Dispatch::SlotRequest request;
    request.server = Base::ServerId(wire.server);
    request.borrower = Base::IncarnationId(wire.borrower);
    request.number = strong<Dispatch::SlotRequestNumber>(wire.number);
    for (const Wire::TeamDemand &demand : wire.demands) {
        request.demands.push_back({Base::TeamId(demand.team),
                                   demand.weight,
                                   static_cast<std::uint32_t>(demand.waiting),
                                   demand.firstKey,
                                   Base::Tokens(demand.firstCost)});
    }
    for (const Wire::HeldSlot &slot : wire.held) {
        request.held.push_back({strong<Base::Epoch>(slot.epoch),
                                strong<Dispatch::SlotId>(slot.slot),
                                Base::TeamId(slot.team)});
    }
    return request;
}

Wire::AssignmentChanged encodeBody(const Ownership::AssignmentChanged &changed)
{
    Wire::AssignmentChanged wire;
    wire.version = number(changed.version);
    return wire;
}

Wire::WitnessAppendReply encodeBody(const Journal::WitnessAppendReply &reply)
{
    Wire::WitnessAppendReply wire;
    wire.owner = reply.owner.text();
    wire.witness = reply.witness.text();
    wire.verdict = static_cast<int>(reply.verdict);
    wire.heldThrough = number(reply.heldThrough);
    return wire;
}

Wire::WitnessSeal encodeBody(const Journal::WitnessSeal &seal)
{
    Wire::WitnessSeal wire;
    wire.owner = seal.owner.text();
    wire.witness = seal.witness.text();
    wire.successor = seal.successor.text();
    wire.first = number(seal.from);
    return wire;
}

Wire::SlotGrant encodeBody(const Dispatch::SlotGrant &grant)
{
    Wire::SlotGrant wire;
    wire.server = grant.server.text();
    wire.epoch = number(grant.epoch);
    wire.slot = number(grant.slot);
    wire.team = grant.team.text();
    wire.backlog = static_cast<std::int32_t>(grant.backlog);
    return wire;
}

Wire::SlotReturn encodeBody(const Dispatch::SlotReturn &slot)
{
    Wire::SlotReturn wire;
    wire.server = slot.server.text();
    wire.epoch = number(slot.epoch);
    wire.slot = number(slot.slot);
    wire.team = slot.team.text();
    wire.cost = number(slot.cost);
    return wire;
}

template<typename Config>
Config encodeVersioned(Base::ConfigVersion version, const std::string &body)
{
    Config wire;
    wire.version = number(version);
    wire.body = body;
    return wire;
}

} // namespace

Wire::PeerMessage encode(const PeerMessage &message)
{
    Wire::PeerMessage wire;
    std::visit(
        Visitor{
            [&](const Scheduler::ForwardedRequest &body) {
                wire.__set_request(encodeRequest(body));
            },
            [&](const Scheduler::ForwardedReply &body) { wire.__set_reply(encodeReply(body)); },
            [&](const Scheduler::ForwardedCancel &body) {
                Wire::ForwardedCancel cancel;
                cancel.requestId = number(body.request);
                wire.__set_cancel(cancel);
            },
            [&](const Fleet::Heartbeat &body) { wire.__set_heartbeat(encodeBody(body)); },
            [&](const Fleet::HeartbeatAck &body) { wire.__set_heartbeatAck(encodeBody(body)); },
            [&](const Ownership::AssignmentChanged &body) {
                wire.__set_assignmentChanged(encodeBody(body));
            },
            [&](const Journal::WitnessAppend &body) { wire.__set_witnessAppend(encodeBody(body)); },
            [&](const Journal::WitnessAppendReply &body) {
                wire.__set_witnessAppendReply(encodeBody(body));
            },
            [&](const Journal::WitnessSeal &body) { wire.__set_witnessSeal(encodeBody(body)); },
            [&](const Journal::WitnessSealReply &body) {
                wire.__set_witnessSealReply(encodeBody(body));
            },
            [&](const Contracts::ConfigPush &body) {
                wire.__set_configPush(encodeVersioned<Wire::ConfigPush>(body.version, body.body));
            },
            [&](const Contracts::ConfigRequest &body) {
                Wire::ConfigRequest request;
                request.known = number(body.known);
                wire.__set_configRequest(request);
            },
            [&](const Contracts::ConfigResponse &body) {
                wire.__set_configAnswer(
                    encodeVersioned<Wire::ConfigAnswer>(body.version, body.body));
            },
            [&](const Admission::GrantRequest &body) { wire.__set_grantRequest(encodeBody(body)); },
            [&](const Admission::Grant &body) { wire.__set_grant(encodeBody(body)); },
            [&](const Admission::GrantReturn &body) { wire.__set_grantReturn(encodeReturn(body)); },
            [&](const Dispatch::SlotRequest &body) { wire.__set_slotRequest(encodeBody(body)); },
            [&](const Dispatch::SlotGrant &body) { wire.__set_slotGrant(encodeBody(body)); },
            [&](const Dispatch::SlotReturn &body) { wire.__set_slotReturn(encodeBody(body)); }},
        message);
    return wire;
}

Base::Result<PeerMessage> decode(const Wire::PeerMessage &wire)
{
    const auto &has = wire.__isset;
    if (has.request) {
        BOOST_OUTCOME_TRY(request, decodeRequest(wire.request));
        return PeerMessage(std::move(request));
    }
    if (has.reply) {
        BOOST_OUTCOME_TRY(reply, decodeReply(wire.reply));
        return PeerMessage(std::move(reply));
    }
    if (has.cancel) {
        return PeerMessage(
            Scheduler::ForwardedCancel{strong<Base::RequestId>(wire.cancel.requestId)});
    }
    if (has.heartbeat) {
        return PeerMessage(decodeBody(wire.heartbeat));
    }
    if (has.heartbeatAck) {
        return PeerMessage(decodeBody(wire.heartbeatAck));
    }
    if (has.assignmentChanged) {
        return PeerMessage(Ownership::AssignmentChanged{
            strong<Platform::ObjectVersion>(wire.assignmentChanged.version)});
    }
    if (has.witnessAppend) {
        return decodeAppend(wire.witnessAppend);
    }
    if (has.witnessAppendReply) {
        return PeerMessage(decodeBody(wire.witnessAppendReply));
    }
    if (has.witnessSeal) {
        return PeerMessage(
            Journal::WitnessSeal{Base::IncarnationId(wire.witnessSeal.owner),
                                 Base::IncarnationId(wire.witnessSeal.witness),
                                 Base::IncarnationId(wire.witnessSeal.successor),
                                 strong<Journal::EntrySequence>(wire.witnessSeal.first)});
    }
    if (has.witnessSealReply) {
        return decodeSealReply(wire.witnessSealReply);
    }
    if (has.configPush) {
        return PeerMessage(Contracts::ConfigPush{
            strong<Base::ConfigVersion>(wire.configPush.version), wire.configPush.body});
    }
    if (has.configRequest) {
        return PeerMessage(
            Contracts::ConfigRequest{strong<Base::ConfigVersion>(wire.configRequest.known)});
    }
    if (has.configAnswer) {
        return PeerMessage(Contracts::ConfigResponse{
            strong<Base::ConfigVersion>(wire.configAnswer.version), wire.configAnswer.body});
    }
    if (has.grantRequest) {
        return PeerMessage(decodeBody(wire.grantRequest));
    }
    if (has.grant) {
        return PeerMessage(decodeBody(wire.grant));
    }
    if (has.grantReturn) {
        return PeerMessage(decodeReturn(wire.grantReturn));
    }
    if (has.slotRequest) {
        return PeerMessage(decodeBody(wire.slotRequest));
    }
    if (has.slotGrant) {
        const Wire::SlotGrant &grant = wire.slotGrant;
        return PeerMessage(Dispatch::SlotGrant{Base::ServerId(grant.server),
                                               strong<Base::Epoch>(grant.epoch),
                                               strong<Dispatch::SlotId>(grant.slot),
                                               Base::TeamId(grant.team),
                                               static_cast<std::uint32_t>(grant.backlog)});
    }
    if (has.slotReturn) {
        const Wire::SlotReturn &slot = wire.slotReturn;
        return PeerMessage(Dispatch::SlotReturn{Base::ServerId(slot.server),
                                                strong<Base::Epoch>(slot.epoch),
                                                strong<Dispatch::SlotId>(slot.slot),
                                                Base::TeamId(slot.team),
                                                Base::Tokens(slot.cost)});
    }
    return malformed("no known message");
}

} // namespace PeerCodec
