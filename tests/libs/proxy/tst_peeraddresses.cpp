#include <libs/loopback.h>
#include <proxy/peerlink.h>
#include <proxy/steadyclock.h>

#include <criterion/criterion.h>

#include <unistd.h>

#include <filesystem>
#include <fstream>

using namespace Proxy;

namespace {

using Endpoint = asio::ip::udp::endpoint;

constexpr auto guardTime = std::chrono::seconds(10);
const Base::VmId self("vm-a");
const Base::VmId peer("vm-b");
const Base::ConfigVersion markerVersion(40);
const Dispatch::ServerInstance instance{Base::ServerId("s-1"), 1700};

Telemetry::Log &log()
{
    static Telemetry::Log silent(
        {.file = {}, .level = Telemetry::LogLevel::Error, .daemon = {}, .keyPrefixes = {}});
    return silent;
}

/// One daemon, and plain sockets that send it datagrams.
class Fixture
{
public:
    Fixture()
        : address_(freeEndpoint<asio::ip::udp>())
        , peerSocket_(context_, freeEndpoint<asio::ip::udp>())
        , elsewhere_(context_, endpointElsewhere<asio::ip::udp>())
        , otherPort_(context_, freeEndpoint<asio::ip::udp>())
        , link(context_, self, address_, log(), metrics_, 1, &steadyNow)
    {
        link.onReport([this](const auto &, Base::ConfigVersion version, const auto &) {
            versions.push_back(version);
        });
        link.onUnknownSender([this] { ++unknownSenders; });
        link.start([this](const Base::VmId &, const PeerBody &body) { handled.push_back(body); });
    }

    void list() { link.setDaemons({{self, address_}, {peer, peerEndpoint()}}); }
    Endpoint peerEndpoint() const { return peerSocket_.local_endpoint(); }

    void sendFromPeer(const PeerBody &body, Base::ConfigVersion version = markerVersion)
    {
        send(peerSocket_, peer, body, version);
    }
    /// Sends in the name of the daemon from an address that is not its own, and from its address
    /// with another port.
    void forge(const PeerBody &body, const Base::VmId &name = peer)
    {
        send(elsewhere_, name, body, Base::ConfigVersion(99));
        send(otherPort_, name, body, Base::ConfigVersion(99));
    }

    /// Datagrams arrive in the order in which they were sent, so the forged ones come first.
    void runUntilMarker()
    {
        sendFromPeer(Notice{});
        runUntil([this] { return !versions.empty() && versions.back() == markerVersion; });
    }
    void runUntil(const std::function<bool()> &condition)
    {
        const auto end = std::chrono::steady_clock::now() + guardTime;
        while (!condition()) {
            cr_assert(std::chrono::steady_clock::now() < end, "timed out");
            context_.run_one_for(std::chrono::milliseconds(20));
        }
    }
    std::uint64_t refused() { return metrics_.counter("marjoram_peer_refused_total", "").value(); }

    std::vector<Base::ConfigVersion> versions;
    std::vector<PeerBody> handled;
    int unknownSenders = 0;

private:
    void send(asio::ip::udp::socket &socket,
              const Base::VmId &name,
              const PeerBody &body,
              Base::ConfigVersion version)
    {
        socket.send_to(asio::buffer(encodePeerMessage({name, version, body, {}})), address_);
    }

    asio::io_context context_;
    Telemetry::Metrics metrics_;
    Endpoint address_;
    asio::ip::udp::socket peerSocket_;
    asio::ip::udp::socket elsewhere_;
    asio::ip::udp::socket otherPort_;

public:
    PeerLink link;
};

/// Messages that change what a daemon grants, refuses or resumes.
std::vector<PeerBody> statements()
{
    return {
        LimitReport{instance, Base::RequestRate(0.1), {}},
        QuarantineNotice{{{{Base::TeamId("club"), Dispatch::RequestScope::Path, 5},
                           true,
                           std::chrono::milliseconds(9),
                           std::chrono::milliseconds(3),
                           std::chrono::minutes(1)}}},
        StreamNotice{{"9c41", Dispatch::StreamKey(5)}, {Base::SoftwareVersion("v1"), instance, {}}},
        RelayNotice{},
        ServerPermitReturn{instance.id},
        OverdraftNotice{RequestNumber(7),
                        {Base::ProgramId("p"), Base::Tokens(300), std::chrono::seconds(60)}}};
}

/// Sends a request, forged responses and then the peer's own; returns what the daemon receives.
std::optional<PeerBody> receivedResponse(const PeerBody &request,
                                         RequestNumber number,
                                         Fixture &fixture,
                                         const PeerBody &forged,
                                         const PeerBody &genuine)
{
    std::optional<PeerBody> received;
    bool isDone = false;
    fixture.link.sendRequest(peer, number, request, [&](const PeerBody *body) {
        received = body ? std::optional(*body) : std::nullopt;
        isDone = true;
    });
    fixture.forge(forged);
    fixture.sendFromPeer(genuine);
    fixture.runUntil([&] { return isDone; });
    return received;
}

} // namespace

/// Guards against a limit, quarantine, stream record, relay stop, permit or overdraft that someone
/// states in a daemon's name.
Test(peeraddresses, forgedStatementsAreIgnored)
{
    for (const PeerBody &body : statements()) {
        Fixture fixture;
        fixture.list();
        fixture.forge(body);
        fixture.runUntilMarker();
        cr_assert(fixture.handled.empty(), "body %zu", body.index());
        cr_assert_eq(fixture.versions.size(), 1U, "body %zu", body.index());
        cr_assert_eq(fixture.refused(), 2U);
        fixture.sendFromPeer(body);
        fixture.runUntil([&] { return !fixture.handled.empty(); });
        cr_assert(fixture.handled.front() == body);
    }
}

/// Guards against a notice in another daemon's name, which would tell of a configuration, or hide
/// that this daemon is isolated.
Test(peeraddresses, aForgedNoticeIsIgnored)
{
    Fixture fixture;
    fixture.list();
    fixture.forge(Notice{});
    fixture.runUntil([&] { return fixture.refused() == 2; });
    cr_assert(fixture.versions.empty());
    cr_assert(fixture.link.isIsolated());
    fixture.runUntilMarker();
    cr_assert_not(fixture.link.isIsolated());
}

/// Guards against permits and token grants that a daemon takes from someone else.
Test(peeraddresses, forgedGrantsAreIgnored)
{
    Fixture fixture;
    fixture.list();
    const RequestNumber permit = fixture.link.nextRequestNumber();
    const PeerBody refusal = PermitResponse{permit, {false, {}, std::chrono::milliseconds(300)}};
    cr_assert(receivedResponse(PermitRequest{permit, Base::TeamId("club")},
                               permit,
                               fixture,
                               PermitResponse{permit, {true, {}, {}}},
                               refusal)
              == refusal);
    const RequestNumber tokens = fixture.link.nextRequestNumber();
    const PeerBody exhausted
        = TokenResponse{tokens, Programs::TurnVerdict::Exhausted, Base::Tokens(0)};
    cr_assert(
        receivedResponse(TokenRequest{tokens, Base::ProgramId("p"), Base::Tokens(900), {}, {}, {}},
                         tokens,
                         fixture,
                         TokenResponse{tokens, Programs::TurnVerdict::Admitted, Base::Tokens(900)},
                         exhausted)
        == exhausted);
}

/// Guards against a forged record of a store, and a record store that is no longer heard.
Test(peeraddresses, recordStoresAnswerFromTheirOwnAddress)
{
    Fixture fixture;
    fixture.link.setDaemons({});
    fixture.link.setRecordStores({{peer, fixture.peerEndpoint()}});
    const RequestNumber number = fixture.link.nextRequestNumber();
    const PeerBody genuine = StreamVersionResponse{number, Dispatch::UnknownStream{}};
    const PeerBody forged = StreamVersionResponse{
        number, Dispatch::StreamRecord{Base::SoftwareVersion("v1"), instance, {}}};
    cr_assert(receivedResponse(
                  StreamVersionRequest{number, {"9c41", {}}}, number, fixture, forged, genuine)
              == genuine);
}

/// Guards against a new or moved daemon that is found only by the next regular read of the list.
Test(peeraddresses, anUnlistedSenderLeadsToAReadOfTheList)
{
    Fixture fixture;
    fixture.list();
    fixture.forge(RelayNotice{}, Base::VmId("vm-new"));
    fixture.runUntil([&] { return fixture.unknownSenders == 2; });
    cr_assert(fixture.handled.empty());
    cr_assert(fixture.versions.empty());
}

/// Guards against a daemon that starts while the store is away and hears nobody. What needs the
/// list, such as a grant, must wait for it.
Test(peeraddresses, aDaemonWithoutAListHearsTheNoticesOfItsSeeds)
{
    Fixture fixture;
    fixture.link.setSeeds({fixture.peerEndpoint()});
    fixture.forge(RelayNotice{});
    fixture.sendFromPeer(RelayNotice{});
    fixture.sendFromPeer(Notice{});
    fixture.runUntil([&] { return fixture.versions.size() == 2; });
    cr_assert(fixture.handled.empty());
    cr_assert(fixture.link.endpointOf(peer) == fixture.peerEndpoint());
    fixture.link.setDaemons({});
    cr_assert_not(fixture.link.endpointOf(peer));
    fixture.sendFromPeer(Notice{});
    fixture.runUntil([&] { return fixture.unknownSenders == 5; });
    cr_assert_eq(fixture.versions.size(), 2U);
}

/// Guards against a log that grows with what others send.
Test(refusedsources, refusalsAreLoggedAtABoundedRate)
{
    const std::filesystem::path file = std::filesystem::temp_directory_path()
                                       / ("refused-" + std::to_string(::getpid()) + ".log");
    Telemetry::Metrics metrics;
    Telemetry::Counter &counter = metrics.counter("refused", "");
    {
        Telemetry::Log lines({.file = file.string(), .daemon = {}, .keyPrefixes = {}});
        RefusedSources refused("peer", "refused", lines, counter);
        for (int i = 0; i < 300; ++i) {
            const Base::Instant now(std::chrono::milliseconds(100) * i);
            refused.record(asio::ip::make_address("10.0.0.7"), "vm-b", now);
        }
    }
    std::ifstream stream(file);
    int count = 0;
    for (std::string line; std::getline(stream, line); ++count) {
        cr_assert(line.find("10.0.0.7") != std::string::npos);
    }
    std::filesystem::remove(file);
    cr_assert_eq(count, 3);
    cr_assert_eq(counter.value(), 300U);
}
