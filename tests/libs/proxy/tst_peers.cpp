#include <proxy/peermessages.h>
#include <proxy/peerroster.h>

#include <criterion/criterion.h>

#include <set>

using namespace Proxy;

namespace {

Base::Instant at(std::int64_t milliseconds)
{
    return Base::Instant(std::chrono::milliseconds(milliseconds));
}

std::vector<Base::VmId> vms(int count)
{
    std::vector<Base::VmId> result;
    result.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
        result.emplace_back("vm-" + std::to_string(i));
    }
    return result;
}

} // namespace

Test(peermessages, everyBodySurvivesARoundTrip)
{
    const RequestNumber number(7);
    const QuarantineReport quarantined{
        {Base::TeamId("club"), Dispatch::RequestScope::Path, 0x8000'0000'0000'0001U},
        true,
        std::chrono::milliseconds(900),
        std::chrono::milliseconds(30),
        std::chrono::minutes(1)};
    const std::vector<PeerBody> bodies{
        PoolJoinRequest{number, {TeamGroup(0), TeamGroup(3)}, 0xFFFF'FFFF'FFFF'FFFFU},
        PoolJoinResponse{number, true, {}, 9, {quarantined}},
        Dispatch::CrashReport{Dispatch::fingerprintsOf(Base::TeamId("club"), "/chat", "body"),
                              {Base::ServerId("s-1"), 1700},
                              Dispatch::CrashStage::Producing,
                              std::chrono::microseconds(70),
                              std::chrono::microseconds(800)},
        QuarantineNotice{{quarantined}},
        RelayNotice{},
        PoolJoinResponse{number, true, {}},
        PoolJoinResponse{number,
                         false,
                         {{{Base::ServerId("s-1"), 1700}, Base::RequestRate(6.5), {}},
                          {{Base::ServerId("s-2"), 0}, {}, std::chrono::microseconds(900)}}},
        LimitReport{{Base::ServerId("s-1"), 1700}, Base::RequestRate(0.1), {}},
        ServerPermitRequest{number,
                            {{Base::ServerId("s-1"), 1700}, Base::RequestRate(3), {}},
                            {Admission::Urgency::NewProgram, true},
                            {}},
        ServerPermitRequest{number,
                            {{Base::ServerId("s-1"), 1700}, {}, {}},
                            {Admission::Urgency::Started, false},
                            ColdReport{Base::RequestRate(23), std::chrono::milliseconds(2300)}},
        PermitResponse{number, {true, {}, {}}, true},
        ServerPermitReturn{Base::ServerId("s-1")},
        StreamNotice{{"9c41", Dispatch::StreamKey(~0ULL)},
                     {Base::SoftwareVersion("v1.1"), {Base::ServerId("s-1"), 1700}, {}}},
        StreamVersionRequest{number, {"9c41", {}}},
        StreamVersionRequest{number, {"", Dispatch::StreamKey(5)}},
        StreamVersionResponse{number,
                              Dispatch::StreamRecord{Base::SoftwareVersion("v1.1"),
                                                     {Base::ServerId("s-1"), 1700},
                                                     std::chrono::milliseconds(30)}},
        StreamVersionResponse{number, Dispatch::AmbiguousStream{}},
        StreamVersionResponse{number, Dispatch::UnknownStream{}},
        OverdraftNotice{number,
                        {Base::ProgramId("p"), Base::Tokens(300), std::chrono::seconds(60)}},
        OverdraftRecorded{number},
        PermitRequest{number, Base::TeamId("a"), Admission::Urgency::ToolCall},
        PermitResponse{number, {true, std::chrono::milliseconds(30), {}}},
        PermitResponse{number, {false, {}, std::chrono::milliseconds(300)}},
        PermitReturn{Base::TeamId("a")},
        TokenRequest{number,
                     Base::ProgramId("p"),
                     Base::Tokens(900),
                     Base::Tokens(80),
                     std::chrono::seconds(60),
                     Base::Tokens(40),
                     Base::Tokens(580)},
        TokenResponse{number, Programs::TurnVerdict::Exhausted, Base::Tokens(0)},
        TokenResponse{number, Programs::TurnVerdict::Admitted, Base::Tokens(300)},
        TokenReturn{number, Base::Tokens(350)},
        RequestInProgress{number},
        AllocationRelayRequest{number,
                               {Base::ProgramId("p"),
                                Programs::AllocationVersion(4),
                                Base::Tokens(90),
                                Base::WriteId("w-1")}},
        AllocationRelayResponse{number,
                                Programs::AllocationWritten{Programs::AllocationVersion(5)}},
        AllocationRelayResponse{
            number,
            Programs::AllocationConflict{
                {Programs::AllocationVersion(5), Base::Tokens(70), Base::WriteId("w-2")}}},
        AllocationRelayResponse{number, Programs::AllocationUnanswered{}},
        Notice{}};
    for (const PeerBody &body : bodies) {
        const PeerMessage message{Base::VmId("vm-1"),
                                  Base::ConfigVersion(3),
                                  body,
                                  ListReport{7, 9, 2, std::chrono::milliseconds(250)}};
        const std::string bytes = encodePeerMessage(message);
        cr_assert(decodePeerMessage(bytes) == message);
        for (std::size_t size = 0; size < bytes.size(); ++size) {
            const auto cut = decodePeerMessage(std::string_view(bytes).substr(0, size));
            cr_assert(!cut || !(*cut == message),
                      "a truncated datagram must not decode to the message");
        }
    }
    cr_assert(!decodePeerMessage("nonsense"));
}

Test(peerroster, daemonsWithTheSameListAgree)
{
    const auto daemons = vms(7);
    std::map<Base::VmId, int> keyCounts;
    for (int key = 0; key < 700; ++key) {
        std::set<Base::VmId> coordinators;
        for (const Base::VmId &self : daemons) {
            PeerRoster roster(self);
            roster.setDaemons(daemons);
            coordinators.insert(roster.coordinatorFor("program-" + std::to_string(key), at(0)));
        }
        cr_assert_eq(coordinators.size(), 1);
        ++keyCounts[*coordinators.begin()];
    }
    cr_assert_eq(keyCounts.size(), 7);
    for (const auto &[vm, count] : keyCounts) {
        cr_assert_gt(count, 50, "%s coordinates %d of 700 keys", vm.text().c_str(), count);
    }
}

Test(peerroster, theFirstByRankAreTheSameEverywhere)
{
    const auto daemons = vms(9);
    std::set<std::vector<Base::VmId>> seen;
    for (const Base::VmId &self : daemons) {
        PeerRoster roster(self);
        roster.setDaemons(daemons);
        const auto first = roster.firstByRank("9c41", 3);
        cr_assert_eq(first.size(), 3);
        cr_assert(first.front() == roster.coordinatorFor("9c41", at(0)));
        seen.insert(first);
    }
    cr_assert_eq(seen.size(), 1);
    cr_assert_eq(PeerRoster(daemons[0]).firstByRank("9c41", 3).size(), 1);
}

Test(peerroster, lostDaemonsRemainPreferredCoordinators)
{
    const auto daemons = vms(3);
    PeerRoster roster(daemons[0]);
    roster.setDaemons(daemons);
    int preferredCount = 0;
    for (int key = 0; key < 300; ++key) {
        preferredCount += roster.isPreferredCoordinator("key-" + std::to_string(key)) ? 1 : 0;
    }
    roster.setDaemons({daemons[0]});
    for (int key = 0; key < 300; ++key) {
        const std::string text = "key-" + std::to_string(key);
        cr_assert(roster.coordinatorFor(text, at(0)) == daemons[0]);
        preferredCount -= roster.isPreferredCoordinator(text) ? 1 : 0;
    }
    cr_assert_eq(preferredCount, 0);
}

Test(peerroster, skipsADaemonThatDoesNotRespond)
{
    const auto daemons = vms(3);
    PeerRoster roster(daemons[0]);
    roster.setDaemons(daemons);
    std::string key;
    for (int i = 0; key.empty(); ++i) {
        const std::string candidate = "key-" + std::to_string(i);
        key = roster.coordinatorFor(candidate, at(0)) == daemons[1] ? candidate : "";
    }
    roster.recordTimeout(daemons[1], at(0));
    cr_assert(roster.coordinatorFor(key, at(0)) == daemons[1], "one datagram may be lost");
    roster.recordTimeout(daemons[1], at(10));
    cr_assert(roster.coordinatorFor(key, at(10)) != daemons[1]);
    cr_assert(roster.coordinatorFor(key, at(1011)) == daemons[1],
              "it is tried again after the suspicion time");
    roster.recordTimeout(daemons[1], at(1020));
    cr_assert(roster.coordinatorFor(key, at(1020)) != daemons[1]);
    roster.recordResponse(daemons[1]);
    cr_assert(roster.coordinatorFor(key, at(1020)) == daemons[1]);
}

/// Guards against a daemon that sends a document to the whole fleet: a list of 25 KB to 258 others
/// takes two seconds on a link of 30 Mbit/s.
Test(peerroster, eachReaderPassesNewsToItsPart)
{
    constexpr std::size_t fleet = 340;
    constexpr std::size_t group = 16;
    PeerRoster roster(Base::VmId("vm-0"), {});
    roster.setDaemons(vms(fleet));
    const std::vector<Base::VmId> readers = roster.firstByRank("readers", group);
    std::set<Base::VmId> reached(readers.begin(), readers.end());
    for (const Base::VmId &reader : readers) {
        const std::vector<Base::VmId> part = roster.partOf(readers, reader);
        cr_assert_leq(part.size(), 2 * fleet / group);
        for (const Base::VmId &vm : part) {
            cr_assert(reached.insert(vm).second, "notified twice");
        }
    }
    cr_assert_eq(reached.size(), fleet);
    for (const Base::VmId &vm : vms(fleet)) {
        const bool isReader = std::find(readers.begin(), readers.end(), vm) != readers.end();
        cr_assert(isReader || roster.partOf(readers, vm).empty());
    }
}
