#include <admission/permitpool.h>
#include <base/random.h>
#include <dispatch/requestplacer.h>
#include <proxy/peeraddresses.h>
#include <proxy/peermessages.h>
#include <proxy/peerroster.h>

#include <chrono>
#include <cstdio>
#include <string>

// Cost of the decisions of a pass-through daemon, and sizes of its messages. Times are of this
// machine; nothing is asserted.

namespace {

using Clock = std::chrono::steady_clock;

constexpr int repetitions = 20'000;

Base::Instant at(std::int64_t microseconds)
{
    return Base::Instant(Base::Duration(microseconds));
}

double microsecondsSince(Clock::time_point start)
{
    return std::chrono::duration<double, std::micro>(Clock::now() - start).count();
}

std::vector<Base::VmId> daemons(std::size_t count)
{
    std::vector<Base::VmId> names;
    for (std::size_t i = 0; i < count; ++i) {
        names.emplace_back("front-zone-a-" + std::to_string(i));
    }
    return names;
}

/// Mean cost of a placement among servers of two versions, with prompts that share prefixes.
double placementCost(std::size_t servers, std::size_t prefixes, bool hasVersion)
{
    Dispatch::RequestPlacer placer(Base::ZoneId("zone-a"), {}, 1);
    std::vector<Dispatch::ListedServer> listed(servers);
    for (std::size_t i = 0; i < servers; ++i) {
        listed[i].server.id = Base::ServerId("i-" + std::to_string(i));
        listed[i].server.service = Base::ServiceId("engine");
        listed[i].server.zone = Base::ZoneId(i % 3 == 0 ? "zone-a" : "zone-b");
        listed[i].server.slots = 16;
        listed[i].version = Base::SoftwareVersion(i % 2 == 0 ? "v1" : "v2");
    }
    placer.serversChanged(listed);
    const std::optional<Base::SoftwareVersion> version
        = hasVersion ? std::optional(Base::SoftwareVersion("v1")) : std::nullopt;
    Base::Random random(1);
    const Clock::time_point start = Clock::now();
    for (int i = 0; i < repetitions; ++i) {
        const std::uint64_t prefix = random.below(prefixes);
        const std::vector<Dispatch::PromptPart> prompt{{prefix, Base::Tokens(12'600)},
                                                       {random.next(), Base::Tokens(840)}};
        const auto placement
            = placer.choose(Base::ServiceId("engine"), prompt, {}, at(i * 400), version);
        placer.requestSent(placement->instance, prompt);
        placer.requestEnded(placement->instance);
    }
    return microsecondsSince(start) / repetitions;
}

/// Mean cost of the look-up whether the chosen server's zone is closed.
double closureCost(std::size_t servers, std::size_t closedZones)
{
    Dispatch::RequestPlacer placer(Base::ZoneId("zone-a"), {}, 1);
    std::vector<Dispatch::ListedServer> listed(servers);
    for (std::size_t i = 0; i < servers; ++i) {
        listed[i].server.id = Base::ServerId("i-" + std::to_string(i));
        listed[i].server.zone = Base::ZoneId("zone-" + std::to_string(i % 3));
    }
    placer.serversChanged(listed);
    std::vector<Dispatch::ClosedZone> closed;
    for (std::size_t i = 0; i < closedZones; ++i) {
        closed.push_back({Base::ZoneId("zone-" + std::to_string(i)), 1});
    }
    placer.applyClosures(closed, 1, at(0));
    std::size_t inClosedZone = 0;
    const Clock::time_point start = Clock::now();
    for (std::size_t i = 0; i < repetitions; ++i) {
        inClosedZone += placer.isInClosedZone(listed[i % servers].instance()) ? 1 : 0;
    }
    const double cost = microsecondsSince(start) / repetitions;
    return inClosedZone > 0 || closedZones == 0 ? cost : 0;
}

/// Mean cost of the decision on one permit of a limited server.
double permitCost(std::size_t servers, std::size_t members)
{
    Admission::PermitPool pool(std::chrono::hours(1));
    pool.setDaemonCount(members, at(0));
    for (const Base::VmId &member : daemons(members)) {
        pool.renewMembership(member, at(0));
    }
    std::vector<Base::ServerId> names;
    for (std::size_t i = 0; i < servers; ++i) {
        names.emplace_back("i-" + std::to_string(i));
        pool.limitServer(names.back(), Base::RequestRate(5), at(0));
    }
    const Clock::time_point start = Clock::now();
    for (int i = 0; i < repetitions; ++i) {
        pool.admitToServer(names[static_cast<std::size_t>(i) % servers], {}, at(i * 400));
    }
    return microsecondsSince(start) / repetitions;
}

/// Mean cost of the choice of the daemons that keep the version of a stream.
double rankCost(std::size_t count)
{
    const std::vector<Base::VmId> names = daemons(count);
    Proxy::PeerRoster roster(names.front());
    roster.setDaemons(names);
    std::size_t chosen = 0;
    const Clock::time_point start = Clock::now();
    for (int i = 0; i < repetitions; ++i) {
        chosen += roster.firstByRank(std::to_string(i), 3).size();
    }
    return chosen > 0 ? microsecondsSince(start) / repetitions : 0;
}

/// Mean cost of the check whether a datagram comes from the listed address of its sender.
double senderCost(std::size_t count)
{
    std::vector<Proxy::PeerAddress> listed;
    std::uint32_t address = 0x0a000001; // 10.0.0.1
    for (const Base::VmId &vm : daemons(count)) {
        listed.push_back({vm, {asio::ip::address_v4(address++), 9000}});
    }
    Proxy::PeerAddresses addresses;
    addresses.setDaemons(listed);
    std::size_t accepted = 0;
    const Clock::time_point start = Clock::now();
    for (std::size_t i = 0; i < repetitions; ++i) {
        const Proxy::PeerAddress &sender = listed[i * 7 % count];
        const auto kind = addresses.senderAt(sender.vm, sender.endpoint);
        accepted += kind == Proxy::SenderKind::Daemon ? 1 : 0;
    }
    return accepted == repetitions ? microsecondsSince(start) / repetitions : 0;
}

/// Computes the fingerprints of a request and looks them up.
double quarantineCost(std::size_t statements, std::size_t bodyBytes)
{
    Dispatch::RequestQuarantine quarantine;
    const Base::TeamId team("team");
    const Base::Instant now(std::chrono::seconds(1));
    for (std::size_t i = 0; i < statements; ++i) {
        const auto request = Dispatch::fingerprintsOf(team, std::to_string(i), {});
        quarantine.apply({request.path, true, now, now, std::chrono::minutes(1)}, now);
    }
    const std::string body(bodyBytes, 'x');
    int quarantined = 0;
    const Clock::time_point start = Clock::now();
    for (int i = 0; i < repetitions; ++i) {
        const auto request = Dispatch::fingerprintsOf(team, "/chat/" + std::to_string(i), body);
        quarantined += quarantine.isQuarantined(request, now) ? 1 : 0;
    }
    return quarantined == 0 ? microsecondsSince(start) / repetitions : 0;
}

std::size_t sizeOf(const Proxy::PeerBody &body)
{
    return Proxy::encodePeerMessage({Base::VmId("front-zone-a-101"),
                                     Base::ConfigVersion(40),
                                     body,
                                     Proxy::ListReport{70'000, 70'500, 2, std::chrono::seconds(1)}})
        .size();
}

} // namespace

int main()
{
    std::printf("placement: servers, prefixes, one version of two, microseconds\n");
    for (const std::size_t servers : {12, 120, 600}) {
        for (const bool hasVersion : {false, true}) {
            std::printf("%6zu %6d %d %8.2f\n",
                        servers,
                        1000,
                        hasVersion ? 1 : 0,
                        placementCost(servers, 1000, hasVersion));
        }
    }
    std::printf("source address of a datagram: daemons, microseconds\n");
    for (const std::size_t count : {12, 70, 340}) {
        std::printf("%6zu %8.2f\n", count, senderCost(count));
    }
    std::printf("look-up of closed zones: servers, closed zones, microseconds\n");
    for (const std::size_t closed : {0, 1, 3}) {
        std::printf("%6d %6zu %8.2f\n", 600, closed, closureCost(600, closed));
    }
    std::printf("permit of a limited server: servers, daemons, microseconds\n");
    for (const std::size_t members : {7, 75, 340}) {
        std::printf("%6d %6zu %8.2f\n", 600, members, permitCost(600, members));
    }
    std::printf("daemons that keep a stream's version: daemons, microseconds\n");
    for (const std::size_t count : {7, 75, 340}) {
        std::printf("%6zu %8.2f\n", count, rankCost(count));
    }
    std::printf("quarantine: statements, bytes of the body, microseconds\n");
    for (const std::size_t statements : {0, 256}) {
        std::printf("%6zu %6d %8.2f\n", statements, 17'000, quarantineCost(statements, 17'000));
    }
    const Proxy::RequestNumber number(1ULL << 60);
    const Proxy::LimitReport report{{Base::ServerId("i-8d5e2cc404"), 1'790'000'000'123},
                                    Base::RequestRate(6.5),
                                    std::chrono::milliseconds(80)};
    std::printf("datagrams: bytes\n");
    std::printf(
        "  stream notice           %zu\n",
        sizeOf(Proxy::StreamNotice{{"85a0980a851388fe", Dispatch::StreamKey(0x9c41d07be2a35f68)},
                                   {Base::SoftwareVersion("v1.1"),
                                    {Base::ServerId("engine-a-17"), 1'700'000'000'000},
                                    {}}}));
    std::printf("  stream version request  %zu\n",
                sizeOf(Proxy::StreamVersionRequest{number, "85a0980a851388fe"}));
    std::printf("  permit request (server) %zu\n",
                sizeOf(Proxy::ServerPermitRequest{number, report, {}, {}}));
    std::printf("  permit response         %zu\n", sizeOf(Proxy::PermitResponse{number, {}}));
    std::printf("  limit report            %zu\n", sizeOf(report));
    const auto request = Dispatch::fingerprintsOf(Base::TeamId("xaka200"), "/chat", "body");
    std::printf("  crash report            %zu\n",
                sizeOf(Dispatch::CrashReport{request,
                                             report.instance,
                                             Dispatch::CrashStage::Begun,
                                             std::chrono::milliseconds(80),
                                             std::chrono::milliseconds(9)}));
    const Proxy::QuarantineReport quarantined{request.path,
                                              true,
                                              std::chrono::milliseconds(900),
                                              std::chrono::milliseconds(30),
                                              std::chrono::minutes(1)};
    std::printf("  quarantine notice       %zu\n", sizeOf(Proxy::QuarantineNotice{{quarantined}}));
    Proxy::PoolJoinResponse join;
    join.number = number;
    join.quarantine.assign(256, quarantined);
    std::printf("  join response, 256 quarantines  %zu\n", sizeOf(join));
    return 0;
}
