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
std::int64_t toWireNumber(Number value)
{
    return static_cast<std::int64_t>(value.value());
}

template<typename Number>
Number toStrongNumber(std::int64_t value)
{
    return Number(static_cast<typename Number::Value>(value));
}

Base::Error malformed(const char *reason)
{
    return Base::Error{.code = Base::ErrorCode::Malformed,
                       .step = Base::Step::Forward,
                       .message = std::string("peer message cannot be decoded: ") + reason};
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
    wire.config = toWireNumber(versions.config);
    wire.assignment = static_cast<std::int64_t>(versions.assignment);
    wire.lease = static_cast<std::int64_t>(versions.lease);
    return wire;
}

Fleet::KnownVersions decodeVersions(const Wire::WireVersions &wire)
{
    return {toStrongNumber<Base::ConfigVersion>(wire.config),
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
        entry.sequence = toWireNumber(digest.sequence);
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
            {decodeDaemon(entry.daemon), toStrongNumber<Fleet::HeartbeatSequence>(entry.sequence)});
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

Wire::GrantReturn encodeReturn(const Admission::GrantReturn &grantReturn)
{
    Wire::GrantReturn wire;
    wire.team = grantReturn.team.text();
    wire.epoch = toWireNumber(grantReturn.epoch);
    wire.grant = toWireNumber(grantReturn.grant);
    wire.used = toWireNumber(grantReturn.used);
    wire.returned = toWireNumber(grantReturn.returned);
    return wire;
}

Admission::GrantReturn decodeReturn(const Wire::GrantReturn &wire)
{
    return {Base::TeamId(wire.team),
            toStrongNumber<Base::Epoch>(wire.epoch),
            toStrongNumber<Base::GrantId>(wire.grant),
            Admission::Permits(wire.used),
            Admission::Permits(wire.returned)};
}

Wire::Heartbeat encodeBody(const Fleet::Heartbeat &heartbeat)
{
    Wire::Heartbeat wire;
    wire.sender = encodeDaemon(heartbeat.from);
    wire.sequence = toWireNumber(heartbeat.sequence);
    wire.versions = encodeVersions(heartbeat.versions);
    wire.digests = encodeDigests(heartbeat.digests);
    return wire;
}

Wire::HeartbeatAck encodeBody(const Fleet::HeartbeatAck &ack)
{
    Wire::HeartbeatAck wire;
    wire.sender = encodeDaemon(ack.from);
    wire.sequence = toWireNumber(ack.sequence);
    wire.answers = toWireNumber(ack.answers);
    wire.versions = encodeVersions(ack.versions);
    wire.digests = encodeDigests(ack.digests);
    return wire;
}

Wire::WitnessAppend encodeBody(const Journal::WitnessAppend &append)
{
    Wire::WitnessAppend wire;
    wire.owner = append.owner.text();
    wire.witness = append.witness.text();
    wire.storedThrough = toWireNumber(append.storedThrough);
    wire.entries = encodeEntries(append.owner, append.entries);
    return wire;
}

Wire::WitnessSealReply encodeBody(const Journal::WitnessSealReply &reply)
{
    Wire::WitnessSealReply wire;
    wire.owner = reply.owner.text();
    wire.witness = reply.witness.text();
    wire.successor = reply.successor.text();
    wire.storedThrough = toWireNumber(reply.storedThrough);
    wire.heldThrough = toWireNumber(reply.heldThrough);
    wire.entries = encodeEntries(reply.owner, reply.entries);
    return wire;
}

Wire::GrantRequest encodeBody(const Admission::GrantRequest &request)
{
    Wire::GrantRequest wire;
    wire.team = request.team.text();
    wire.borrower = request.borrower.text();
    wire.number = toWireNumber(request.number);
    wire.needed = toWireNumber(request.needed);
    wire.expected = toWireNumber(request.expected);
    for (const Admission::GrantReturn &grantReturn : request.returns) {
        wire.returns.push_back(encodeReturn(grantReturn));
    }
    return wire;
}

Wire::Grant encodeBody(const Admission::Grant &grant)
{
    Wire::Grant wire;
    wire.team = grant.team.text();
    wire.epoch = toWireNumber(grant.epoch);
    wire.grant = toWireNumber(grant.grant);
    wire.answers = toWireNumber(grant.answers);
    wire.permits = toWireNumber(grant.permits);
    wire.validForUs = grant.validFor.count();
    wire.backlog = toWireNumber(grant.backlog);
    wire.borrower = grant.borrower.text();
    return wire;
}

Wire::SlotRequest encodeBody(const Dispatch::SlotRequest &request)
{
    Wire::SlotRequest wire;
    wire.server = request.server.text();
    wire.borrower = request.borrower.text();
    wire.number = toWireNumber(request.number);
    for (const Dispatch::TeamDemand &demand : request.demands) {
        Wire::TeamDemand entry;
        entry.team = demand.team.text();
        entry.weight = demand.weight;
        entry.waiting = static_cast<std::int32_t>(demand.waiting);
        entry.firstKey = demand.firstKey;
        entry.firstCost = toWireNumber(demand.firstCost);
        wire.demands.push_back(std::move(entry));
    }
    for (const Dispatch::HeldSlot &slot : request.held) {
        Wire::HeldSlot entry;
        entry.epoch = toWireNumber(slot.epoch);
        entry.slot = toWireNumber(slot.slot);
        entry.team = slot.team.text();
        wire.held.push_back(std::move(entry));
    }
    return wire;
}

Fleet::Heartbeat decodeBody(const Wire::Heartbeat &wire)
{
    return {decodeDaemon(wire.sender),
            toStrongNumber<Fleet::HeartbeatSequence>(wire.sequence),
            decodeVersions(wire.versions),
            decodeDigests(wire.digests)};
}

Fleet::HeartbeatAck decodeBody(const Wire::HeartbeatAck &wire)
{
    return {decodeDaemon(wire.sender),
            toStrongNumber<Fleet::HeartbeatSequence>(wire.sequence),
            toStrongNumber<Fleet::HeartbeatSequence>(wire.answers),
            decodeVersions(wire.versions),
            decodeDigests(wire.digests)};
}

Base::Result<PeerMessage> decodeAppend(const Wire::WitnessAppend &wire)
{
    BOOST_OUTCOME_TRY(segment, Journal::decodeSegment(wire.entries));
    return PeerMessage(
        Journal::WitnessAppend{Base::IncarnationId(wire.owner),
                               Base::IncarnationId(wire.witness),
                               toStrongNumber<Journal::EntrySequence>(wire.storedThrough),
                               std::move(segment.entries)});
}

Journal::WitnessAppendReply decodeBody(const Wire::WitnessAppendReply &wire)
{
    // An unknown verdict is treated as a rejection.
    const bool isKnown = wire.verdict >= 0
                         && wire.verdict <= static_cast<int>(Journal::WitnessVerdict::WrongWitness);
    return {Base::IncarnationId(wire.owner),
            Base::IncarnationId(wire.witness),
            isKnown ? static_cast<Journal::WitnessVerdict>(wire.verdict)
                    : Journal::WitnessVerdict::WrongWitness,
            toStrongNumber<Journal::EntrySequence>(wire.heldThrough)};
}

Base::Result<PeerMessage> decodeSealReply(const Wire::WitnessSealReply &wire)
{
    BOOST_OUTCOME_TRY(segment, Journal::decodeSegment(wire.entries));
    return PeerMessage(
        Journal::WitnessSealReply{Base::IncarnationId(wire.owner),
                                  Base::IncarnationId(wire.witness),
                                  Base::IncarnationId(wire.successor),
                                  toStrongNumber<Journal::EntrySequence>(wire.storedThrough),
                                  toStrongNumber<Journal::EntrySequence>(wire.heldThrough),
                                  std::move(segment.entries)});
}

Admission::GrantRequest decodeBody(const Wire::GrantRequest &wire)
{
    Admission::GrantRequest request;
    request.team = Base::TeamId(wire.team);
    request.borrower = Base::IncarnationId(wire.borrower);
    request.number = toStrongNumber<Admission::GrantRequestNumber>(wire.number);
    request.needed = Admission::Permits(wire.needed);
    request.expected = Admission::Permits(wire.expected);
    for (const Wire::GrantReturn &grantReturn : wire.returns) {
        request.returns.push_back(decodeReturn(grantReturn));
    }
    return request;
}

Admission::Grant decodeBody(const Wire::Grant &wire)
{
    Admission::Grant grant;
    grant.team = Base::TeamId(wire.team);
    grant.epoch = toStrongNumber<Base::Epoch>(wire.epoch);
    grant.grant = toStrongNumber<Base::GrantId>(wire.grant);
    grant.answers = toStrongNumber<Admission::GrantRequestNumber>(wire.answers);
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
    request.number = toStrongNumber<Dispatch::SlotRequestNumber>(wire.number);
    for (const Wire::TeamDemand &demand : wire.demands) {
        request.demands.push_back({Base::TeamId(demand.team),
                                   demand.weight,
                                   static_cast<std::uint32_t>(demand.waiting),
                                   demand.firstKey,
                                   Base::Tokens(demand.firstCost)});
    }
    for (const Wire::HeldSlot &slot : wire.held) {
        request.held.push_back({toStrongNumber<Base::Epoch>(slot.epoch),
                                toStrongNumber<Dispatch::SlotId>(slot.slot),
                                Base::TeamId(slot.team)});
    }
    return request;
}

Wire::AssignmentChanged encodeBody(const Ownership::AssignmentChanged &changed)
{
    Wire::AssignmentChanged wire;
    wire.version = toWireNumber(changed.version);
    return wire;
}

Wire::WitnessAppendReply encodeBody(const Journal::WitnessAppendReply &reply)
{
    Wire::WitnessAppendReply wire;
    wire.owner = reply.owner.text();
    wire.witness = reply.witness.text();
    wire.verdict = static_cast<int>(reply.verdict);
    wire.heldThrough = toWireNumber(reply.heldThrough);
    return wire;
}

Wire::WitnessSeal encodeBody(const Journal::WitnessSeal &seal)
{
    Wire::WitnessSeal wire;
    wire.owner = seal.owner.text();
    wire.witness = seal.witness.text();
    wire.successor = seal.successor.text();
    wire.first = toWireNumber(seal.from);
    return wire;
}

Wire::SlotGrant encodeBody(const Dispatch::SlotGrant &grant)
{
    Wire::SlotGrant wire;
    wire.server = grant.server.text();
    wire.epoch = toWireNumber(grant.epoch);
    wire.slot = toWireNumber(grant.slot);
    wire.team = grant.team.text();
    wire.backlog = static_cast<std::int32_t>(grant.backlog);
    return wire;
}

Wire::SlotReturn encodeBody(const Dispatch::SlotReturn &slot)
{
    Wire::SlotReturn wire;
    wire.server = slot.server.text();
    wire.epoch = toWireNumber(slot.epoch);
    wire.slot = toWireNumber(slot.slot);
    wire.team = slot.team.text();
    wire.cost = toWireNumber(slot.cost);
    return wire;
}

template<typename Config>
Config encodeVersioned(Base::ConfigVersion version, const std::string &body)
{
    Config wire;
    wire.version = toWireNumber(version);
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
                cancel.requestId = toWireNumber(body.request);
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
                request.known = toWireNumber(body.known);
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
            Scheduler::ForwardedCancel{toStrongNumber<Base::RequestId>(wire.cancel.requestId)});
    }
    if (has.heartbeat) {
        return PeerMessage(decodeBody(wire.heartbeat));
    }
    if (has.heartbeatAck) {
        return PeerMessage(decodeBody(wire.heartbeatAck));
    }
    if (has.assignmentChanged) {
        return PeerMessage(Ownership::AssignmentChanged{
            toStrongNumber<Platform::ObjectVersion>(wire.assignmentChanged.version)});
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
                                 toStrongNumber<Journal::EntrySequence>(wire.witnessSeal.first)});
    }
    if (has.witnessSealReply) {
        return decodeSealReply(wire.witnessSealReply);
    }
    if (has.configPush) {
        return PeerMessage(Contracts::ConfigPush{
            toStrongNumber<Base::ConfigVersion>(wire.configPush.version), wire.configPush.body});
    }
    if (has.configRequest) {
        return PeerMessage(Contracts::ConfigRequest{
            toStrongNumber<Base::ConfigVersion>(wire.configRequest.known)});
    }
    if (has.configAnswer) {
        return PeerMessage(Contracts::ConfigResponse{
            toStrongNumber<Base::ConfigVersion>(wire.configAnswer.version),
            wire.configAnswer.body});
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
                                               toStrongNumber<Base::Epoch>(grant.epoch),
                                               toStrongNumber<Dispatch::SlotId>(grant.slot),
                                               Base::TeamId(grant.team),
                                               static_cast<std::uint32_t>(grant.backlog)});
    }
    if (has.slotReturn) {
        const Wire::SlotReturn &slot = wire.slotReturn;
        return PeerMessage(Dispatch::SlotReturn{Base::ServerId(slot.server),
                                                toStrongNumber<Base::Epoch>(slot.epoch),
                                                toStrongNumber<Dispatch::SlotId>(slot.slot),
                                                Base::TeamId(slot.team),
                                                Base::Tokens(slot.cost)});
    }
    return malformed("it is empty or of an unknown type");
}

} // namespace PeerCodec
