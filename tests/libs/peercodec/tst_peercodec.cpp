#include <peercodec/peercodec.h>

#include <criterion/criterion.h>

namespace {

using Scheduler::PeerMessage;

/// Encodes and decodes the message; fails the test if it cannot be decoded.
template<typename Message>
Message overTheWire(const Message &message)
{
    const Base::Result<PeerMessage> decoded = PeerCodec::decode(PeerCodec::encode(message));
    cr_assert(decoded.has_value());
    const Message *body = std::get_if<Message>(&decoded.value());
    cr_assert_not_null(body);
    return *body;
}

Fleet::Daemon daemonNamed(const char *incarnation)
{
    Fleet::Daemon daemon;
    daemon.incarnation = Base::IncarnationId(incarnation);
    daemon.vm = Base::VmId("vm-1");
    daemon.zone = Base::ZoneId("zone-a");
    daemon.address = {"10.0.0.1", 7083};
    daemon.state = Fleet::DaemonState::Leaving;
    return daemon;
}

template<typename Message>
void assertUnchanged(const Message &message)
{
    cr_assert(overTheWire(message) == message);
}

} // namespace

Test(peercodec, grantsKeepEveryField)
{
    assertUnchanged(Admission::Grant{Base::TeamId("club"),
                                     Base::Epoch(3),
                                     Base::GrantId(4),
                                     Admission::GrantRequestNumber(5),
                                     Admission::Permits(6),
                                     std::chrono::milliseconds(250),
                                     Admission::Permits(7),
                                     Base::IncarnationId("vm-1-8")});
    const Admission::GrantReturn grantReturn{Base::TeamId("club"),
                                             Base::Epoch(3),
                                             Base::GrantId(4),
                                             Admission::Permits(5),
                                             Admission::Permits(1)};
    assertUnchanged(grantReturn);
    assertUnchanged(Admission::GrantRequest{Base::TeamId("club"),
                                            Base::IncarnationId("vm-1-8"),
                                            Admission::GrantRequestNumber(9),
                                            Admission::Permits(2),
                                            Admission::Permits(1),
                                            {grantReturn}});
}

Test(peercodec, slotsKeepEveryField)
{
    assertUnchanged(Dispatch::SlotGrant{
        Base::ServerId("e"), Base::Epoch(2), Dispatch::SlotId(3), Base::TeamId("club"), 4});
    assertUnchanged(Dispatch::SlotReturn{Base::ServerId("e"),
                                         Base::Epoch(2),
                                         Dispatch::SlotId(3),
                                         Base::TeamId("club"),
                                         Base::Tokens(5)});
    assertUnchanged(
        Dispatch::SlotRequest{Base::ServerId("e"),
                              Base::IncarnationId("vm-1-8"),
                              Dispatch::SlotRequestNumber(1),
                              {{Base::TeamId("club"), 1.5, 3, 2.5, Base::Tokens(7)}},
                              {{Base::Epoch(2), Dispatch::SlotId(3), Base::TeamId("club")}}});
}

Test(peercodec, heartbeatsKeepEveryField)
{
    const Fleet::KnownVersions versions{Base::ConfigVersion(1), 2, 3};
    const std::vector<Fleet::DaemonDigest> digests{
        {daemonNamed("vm-2-1"), Fleet::HeartbeatSequence(4)}};
    assertUnchanged(
        Fleet::Heartbeat{daemonNamed("vm-1-1"), Fleet::HeartbeatSequence(9), versions, digests});
    assertUnchanged(Fleet::HeartbeatAck{daemonNamed("vm-1-1"),
                                        Fleet::HeartbeatSequence(9),
                                        Fleet::HeartbeatSequence(8),
                                        versions,
                                        digests});
}

Test(peercodec, witnessMessagesKeepTheirEntries)
{
    Journal::Entry entry;
    entry.incarnation = Base::IncarnationId("vm-1-1");
    entry.sequence = Journal::EntrySequence(5);
    entry.records = {{Base::PartitionId(7),
                      Journal::ProgramEnded{Base::ProgramId("p1"),
                                            Journal::EndReason::Expired,
                                            Base::Instant(std::chrono::seconds(3))}}};
    assertUnchanged(Journal::WitnessAppend{Base::IncarnationId("vm-1-1"),
                                           Base::IncarnationId("vm-2-1"),
                                           Journal::EntrySequence(4),
                                           {entry}});
    assertUnchanged(Journal::WitnessSealReply{Base::IncarnationId("vm-1-1"),
                                              Base::IncarnationId("vm-2-1"),
                                              Base::IncarnationId("vm-3-1"),
                                              Journal::EntrySequence(4),
                                              Journal::EntrySequence(5),
                                              {entry}});
    assertUnchanged(Journal::WitnessAppendReply{Base::IncarnationId("vm-1-1"),
                                                Base::IncarnationId("vm-2-1"),
                                                Journal::WitnessVerdict::Full,
                                                Journal::EntrySequence(4)});
}

Test(peercodec, repliesKeepEveryField)
{
    CallerApi::TurnReply turn;
    turn.number = Base::CallNumber(3);
    turn.service = Base::ServiceId("orders");
    turn.server = Base::ServerId("tool-1");
    turn.input = "in";
    turn.output = "out";
    turn.error = Base::Error{.code = Base::ErrorCode::Timeout,
                             .step = Base::Step::Backend,
                             .peer = "tool-1",
                             .ran = Base::Ran::MayHaveRun,
                             .message = "no answer",
                             .retryAfter = std::chrono::seconds(2)};
    turn.promptTokens = Base::Tokens(4);
    turn.outputTokens = Base::Tokens(5);
    const Scheduler::ForwardedReply reply{Base::RequestId(1), CallerApi::DoneReply{turn, true}};
    cr_assert(overTheWire(reply).reply == reply.reply);
}

Test(peercodec, emptyMessageIsRefused)
{
    cr_assert(!PeerCodec::decode(PeerProtocol::PeerMessage()).has_value());
}
