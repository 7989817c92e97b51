#include "passthroughfixture.h"

#include <proxy/proxydaemon.h>

#include <csignal>

namespace {

using std::chrono::milliseconds;

/// Requests are ended 300 ms after SIGTERM, and the process 400 ms later.
constexpr ShutdownSchedule shortSchedule{.balancerDelay = milliseconds(50),
                                         .drainTimeout = milliseconds(700),
                                         .flushTime = milliseconds(400)};

class DaemonFixture : public Fixture
{
public:
    DaemonFixture()
        : daemon_(context(), settings(), passThrough(), silentLog(), metrics_)
    {
        configure();
        listServers(false);
        daemon_.start();
    }

    void runFor(Base::Duration time)
    {
        const auto end = std::chrono::steady_clock::now() + time;
        runUntil([&] { return std::chrono::steady_clock::now() >= end; }, "the time has passed");
    }

    void awaitEndOfProcess()
    {
        runUntil([&] { return context().stopped(); }, "the process ends");
        context().restart(); // the caller reads what was sent before
        context().poll();
    }

private:
    static ProxyDaemonSettings settings()
    {
        ProxyDaemonSettings result;
        result.callers = {asio::ip::address_v4::loopback(), 0};
        result.status = {asio::ip::address_v4::loopback(), 0};
        result.stop = shortSchedule;
        return result;
    }

    Telemetry::Metrics metrics_;
    ProxyDaemon daemon_;
};

std::string requestText(const std::string &id)
{
    return "POST /once/ HTTP/1.1\r\nHost: x.example\r\nAuthorization: Bearer secret\r\nRequest-Id: "
           + id + "\r\nContent-Length: 4\r\n\r\nbody";
}

} // namespace

/// Guards against a request that is sent to a server while requests are being ended (LOST).
Test(proxydaemon, aRequestThatCompletesAtTheEndOfTheGraceIsRefused)
{
    DaemonFixture fixture;
    fixture.first.add({{""}});
    const std::string request = requestText("r1");
    fixture.send(request.substr(0, request.size() - 1));
    std::raise(SIGTERM);
    fixture.runFor(milliseconds(450));
    fixture.send(request.substr(request.size() - 1));
    fixture.awaitEndOfProcess();
    cr_assert(fixture.received.starts_with("HTTP/1.1 503"), "%s", fixture.received.c_str());
    cr_assert(fixture.received.find("Connection: close") != std::string::npos);
    cr_assert_eq(requestCount(fixture), 0);
}

/// Guards against a response that has not been sent when the process ends.
Test(proxydaemon, requestsInProgressAreAnsweredBeforeTheProcessEnds)
{
    DaemonFixture fixture;
    fixture.first.add({{"", ""}});
    fixture.send(requestText("r1") + requestText("r2"));
    fixture.runUntil([&] { return requestCount(fixture) == 1; }, "the server has the request");
    std::raise(SIGTERM);
    fixture.awaitEndOfProcess();
    cr_assert(fixture.received.starts_with("HTTP/1.1 502"), "%s", fixture.received.c_str());
    cr_assert(fixture.received.find("HTTP/1.1 503") != std::string::npos, "the pipelined request");
    cr_assert_eq(requestCount(fixture), 1);
}

/// Guards against connections that are taken until the process ends if the grace period is short.
Test(proxydaemon, endsOnceNothingIsInFlight)
{
    DaemonFixture fixture;
    fixture.first.add({{okResponse}});
    std::raise(SIGTERM);
    const auto begin = std::chrono::steady_clock::now();
    fixture.request("/once/", "r1", "Timeout-Ms: 200\r\n");
    fixture.awaitResponse("hello");
    fixture.awaitEndOfProcess();
    cr_assert_lt((std::chrono::steady_clock::now() - begin).count(),
                 std::chrono::nanoseconds(shortSchedule.drainTimeout).count());
}
