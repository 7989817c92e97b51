#include "relayfixture.h"

namespace {

constexpr auto shortTime = std::chrono::milliseconds(1);

/// Does not run the event loop for longer than shortTime, like a process that stood still.
void standStill()
{
    const auto end = std::chrono::steady_clock::now() + 2 * shortTime;
    while (std::chrono::steady_clock::now() < end) {
    }
}

/// Stands still before each handler, so that timers of shortTime have expired with all that
/// happened meanwhile.
void awaitResponse(Fixture &fixture, const std::string &text)
{
    fixture.runUntil(
        [&] {
            standStill();
            return fixture.received.find(text) != std::string::npos;
        },
        text.c_str());
}

/// Returns what a relay writes for one request of a daemon until it has passed on a response.
std::string readFromRelay(RelayFixture &fixture)
{
    asio::ip::tcp::socket socket(fixture.context());
    socket.connect(fixture.relay().address());
    asio::write(socket, asio::buffer(relayRequest({Base::ServerId("one"), 0})));
    std::array<char, 512> buffer{};
    std::string received;
    bool isClosed = false;
    std::function<void()> read = [&] {
        socket.async_read_some(asio::buffer(buffer),
                               [&](const std::error_code &error, std::size_t size) {
                                   received.append(buffer.data(), size);
                                   isClosed = static_cast<bool>(error);
                                   if (!error) {
                                       read();
                                   }
                               });
    };
    read();
    const auto stillUntil = [&](const std::function<bool()> &condition) {
        fixture.runUntil(
            [&] {
                standStill();
                return isClosed || condition();
            },
            "the relay responds");
    };
    stillUntil([&] { return !received.empty(); });
    std::error_code ignored; // the relay may have closed the connection
    asio::write(
        socket, asio::buffer(std::string("GET / HTTP/1.1\r\nRequest-Id: r1\r\n\r\n")), ignored);
    stillUntil([&] { return received.ends_with("hello"); });
    return received;
}

} // namespace

/// Guards against a connection that is closed after its request was sent, because its timer had
/// expired while the process stood still: the request got no response until its deadline (LOST).
Test(expiredtimers, aConnectionThatIsEstablishedIsNotClosedByItsTimer)
{
    PassThroughSettings settings;
    settings.connectTimeout = shortTime;
    Fixture fixture(settings);
    fixture.configure();
    fixture.listServers(false);
    fixture.first.add({{okResponse}});
    fixture.request("/once/", "r1");
    awaitResponse(fixture, "hello");
}

/// Guards against a relay that writes a refusal behind its 200.
Test(expiredtimers, aRelayRespondsOnce)
{
    RelayFixture fixture(refusingAddress(), {}, {}, {.address = {}, .connectTimeout = shortTime});
    fixture.first.add({{okResponse}});
    const std::string received = readFromRelay(fixture);
    cr_assert(received.starts_with("HTTP/1.1 200"), "%s", received.c_str());
    cr_assert(received.ends_with("hello"), "%s", received.c_str());
    cr_assert_eq(received.find("HTTP/1.1 503"), std::string::npos, "%s", received.c_str());
}

/// Guards against a relay that closes the connection of a request that it has read.
Test(expiredtimers, aRelayServesARequestThatItHasRead)
{
    RelayFixture fixture(refusingAddress(), {}, {}, {.address = {}, .requestTimeout = shortTime});
    fixture.first.add({{okResponse}});
    const std::string received = readFromRelay(fixture);
    cr_assert(received.ends_with("hello"), "%s", received.c_str());
}

/// Guards against a relay that is given up because the direct attempt failed when its time was up.
Test(expiredtimers, aRelayIsAskedOnceIfTheDirectAttemptFailsLate)
{
    PassThroughSettings settings;
    settings.connector.headStart = shortTime;
    RelayFixture fixture(refusingAddress(), {}, settings);
    fixture.first.add({{okResponse}});
    fixture.request("/once/", "r1");
    awaitResponse(fixture, "\r\n\r\n");
    cr_assert(fixture.received.starts_with("HTTP/1.1 200"), "%s", fixture.received.c_str());
    cr_assert_eq(fixture.relay().sessionCount(), 1U);
}
