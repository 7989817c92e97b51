#include "relayfixture.h"

namespace {

/// Accepts no connection, and lets those that try hang, like a server behind a partition.
class HangingServer
{
public:
    explicit HangingServer(asio::io_context &context)
        : acceptor_(context)
    {
        acceptor_.open(asio::ip::tcp::v4());
        acceptor_.bind({asio::ip::address_v4::loopback(), 0});
        acceptor_.listen(0);
        for (int i = 0; i < 4; ++i) {
            fillers_.emplace_back(context);
            fillers_.back().async_connect(acceptor_.local_endpoint(),
                                          [](const std::error_code &) {});
        }
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    }

private:
    asio::ip::tcp::acceptor acceptor_;
    std::vector<asio::ip::tcp::socket> fillers_;
};

} // namespace

/// Guards against a daemon without a path to the servers that serves nobody.
Test(requestrelay, aRequestReachesItsServerThroughAnotherDaemon)
{
    RelayFixture fixture(refusingAddress());
    fixture.first.add({{okResponse, okResponse}, false});
    fixture.request("/once/a", "1");
    fixture.awaitResponse("hello");
    cr_assert_eq(fixture.first.requests().size(), 1U);
    cr_assert(fixture.first.requests()[0].find("Server: one") != std::string::npos);
    fixture.received.clear();
    fixture.request("/once/b", "2");
    fixture.awaitResponse("hello");
    cr_assert_eq(fixture.first.connectionCount(), 1, "the connection is kept");
}

Test(requestrelay, aRequestReachesItsServerIfTheDirectAttemptHangs)
{
    asio::io_context other;
    const HangingServer hanging(other);
    RelayFixture fixture(hanging.address());
    fixture.first.add({{streamHead + chunk(event(1)) + chunk(event(2)) + "0\r\n\r\n"}, false});
    fixture.request("/stream/a", "1");
    fixture.awaitResponse("0\r\n\r\n");
    cr_assert(fixture.received.find("data: d2") != std::string::npos);
}

Test(requestrelay, theServerIsReleasedWhenTheCallerDisconnects)
{
    RelayFixture fixture(refusingAddress());
    fixture.first.add({{streamHead + chunk(event(1))}, false});
    fixture.request("/stream/a", "1");
    fixture.awaitResponse("data: d1");
    fixture.disconnect();
    fixture.runUntil([&] { return fixture.first.closedByPeer() == 1; }, "the server is released");
    fixture.runUntil([&] { return fixture.relay().sessionCount() == 0; }, "the session ends");
}

Test(requestrelay, aRelayThatIsCutOffItselfIsNotUsed)
{
    RelayFixture fixture(refusingAddress());
    fixture.isRelayCutOff = true;
    fixture.request("/once/a", "1");
    fixture.awaitResponse("HTTP/1.1 503");
    cr_assert_eq(requestCount(fixture), 0U);
    cr_assert_eq(fixture.first.connectionCount(), 0);
}

/// A request that may have run at the server is not sent again.
Test(requestrelay, aRequestWhoseRelayEndsIsNotRepeated)
{
    RelayFixture fixture(refusingAddress());
    fixture.first.add({{""}, true});
    fixture.second.add({{okResponse}, false});
    fixture.request("/once/a", "1");
    fixture.awaitResponse("HTTP/1.1 502");
    cr_assert_eq(requestCount(fixture), 1U);
}

Test(requestrelay, aStopLetsRequestsInFlightEnd)
{
    RelayFixture fixture(refusingAddress());
    fixture.first.add({{streamHead + chunk(event(1)), chunk(event(2)) + "0\r\n\r\n"}, false});
    fixture.request("/stream/a", "1");
    fixture.awaitResponse("data: d1");
    fixture.relay().stop([&] { fixture.passThrough().relayStops(Base::VmId("vm-2")); });
    cr_assert_eq(fixture.relay().sessionCount(), 1U);
    fixture.first.sendNext("1");
    fixture.awaitResponse("data: d2");
    fixture.runUntil([&] { return fixture.relay().sessionCount() == 0; },
                     "the connection is not kept");
}

/// Guards against a request that is sent through a daemon that stops, and ends with it, because the
/// notice of that was lost.
Test(requestrelay, aLostNoticeOfAStopIsRepeated)
{
    RelayFixture fixture(refusingAddress());
    fixture.first.add({{okResponse, okResponse}});
    fixture.request("/once/a", "1");
    fixture.awaitResponse("hello");
    int notices = 0;
    fixture.relay().stop([&] {
        if (++notices > 1) {
            fixture.passThrough().relayStops(Base::VmId("vm-2"));
        }
    });
    cr_assert_eq(fixture.relay().sessionCount(), 1U, "the connection is kept");
    fixture.runUntil([&] { return fixture.relay().sessionCount() == 0; }, "the session ends");
    fixture.request("/once/b", "2");
    fixture.awaitResponse("HTTP/1.1 503");
    cr_assert_eq(requestCount(fixture), 1U);
}

Test(requestrelay, aServerThatNobodyReachesIsRefusedOnce)
{
    RelayFixture fixture(refusingAddress());
    fixture.first.crash();
    fixture.second.crash();
    fixture.request("/once/a", "1");
    fixture.awaitResponse("HTTP/1.1 503");
}

/// Guards against a daemon that does not know of a closure and reaches the zone through one that
/// does, over a new or a kept connection.
Test(requestrelay, aServerOfAClosedZoneGetsNoNewRequests)
{
    RelayFixture fixture(refusingAddress());
    bool isClosed = false;
    fixture.relay().setClosedServers([&](const auto &) { return isClosed; });
    fixture.first.add({{okResponse, okResponse}});
    fixture.request("/once/a", "1");
    fixture.awaitResponse("hello");
    isClosed = true;
    fixture.request("/once/b", "2");
    fixture.awaitResponse("HTTP/1.1 502");
    fixture.request("/once/c", "3");
    fixture.awaitResponse("HTTP/1.1 503");
    cr_assert_eq(requestCount(fixture), 1U);
}

/// Guards against a closure that cuts off what is already running.
Test(requestrelay, aRunningRequestOfAClosedZoneEndsByItself)
{
    RelayFixture fixture(refusingAddress());
    bool isClosed = false;
    fixture.relay().setClosedServers([&](const auto &) { return isClosed; });
    fixture.first.add({{streamHead + chunk(event(1)), chunk(event(2)) + "0\r\n\r\n"}, false});
    fixture.request("/stream/a", "1");
    fixture.awaitResponse("data: d1");
    isClosed = true;
    fixture.first.sendNext("1");
    fixture.awaitResponse("data: d2");
}

/// Guards against a relay that connects anyone on the network to the servers.
Test(requestrelay, aConnectionFromAnUnlistedAddressIsClosedAtOnce)
{
    RelayFixture fixture(refusingAddress());
    const std::string response = fixture.requestFrom(freeEndpoint<asio::ip::tcp>().address());
    cr_assert(response.empty(), "%s", response.c_str());
    cr_assert_eq(fixture.relay().sessionCount(), 0U);
    cr_assert_eq(fixture.first.connectionCount(), 0);
}

/// Guards against a relay that refuses the daemons of its list.
Test(requestrelay, aConnectionFromAListedAddressIsServed)
{
    RelayFixture fixture(refusingAddress());
    const asio::ip::address listed = freeEndpoint<asio::ip::tcp>().address();
    fixture.relay().setPeers([&](const auto &address) { return address == listed; });
    const std::string response = fixture.requestFrom(listed);
    cr_assert(response.starts_with("HTTP/1.1 200"), "%s", response.c_str());
}

/// Guards against a daemon that asks for a relay from another address than its listed one.
Test(requestrelay, aDaemonAsksFromItsOwnAddress)
{
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor(context, {asio::ip::address_v4::loopback(), 0});
    const asio::ip::address own = freeEndpoint<asio::ip::tcp>().address();
    const auto connection = std::make_shared<ClientConnection>(context, acceptor.local_endpoint());
    connection->setSource(own);
    connection->connect(std::chrono::seconds(10), [](const std::string &) {});
    asio::ip::tcp::endpoint source;
    acceptor.async_accept([&](const std::error_code &, const asio::ip::tcp::socket &socket) {
        source = socket.remote_endpoint();
        context.stop();
    });
    context.run();
    cr_assert(source.address() == own);
}

Test(requestrelay, requestsThatNameNoServerAreRefused)
{
    RelayFixture fixture(refusingAddress());
    for (const std::string &path : {"/relay/", "/relay/x/one", "/relay/17", "/relay//one", "/"}) {
        asio::ip::tcp::socket socket(fixture.context());
        socket.connect(fixture.relay().address());
        asio::write(
            socket,
            asio::buffer("POST " + path + " HTTP/1.1\r\nHost: r\r\nContent-Length: 0\r\n\r\n"));
        std::array<char, 256> buffer{};
        std::string response;
        bool isClosed = false;
        std::function<void()> read = [&] {
            socket.async_read_some(asio::buffer(buffer),
                                   [&](const std::error_code &error, std::size_t size) {
                                       response.append(buffer.data(), size);
                                       isClosed = static_cast<bool>(error);
                                       if (!error) {
                                           read();
                                       }
                                   });
        };
        read();
        fixture.runUntil([&] { return isClosed; }, "the relay closes the connection");
        cr_assert(response.starts_with("HTTP/1.1 400"), "%s: %s", path.c_str(), response.c_str());
    }
    cr_assert_eq(fixture.first.connectionCount(), 0);
}
