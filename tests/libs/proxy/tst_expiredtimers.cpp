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
