#include "passthroughfixture.h"

namespace {

std::string requestText(const std::string &path, const std::string &id)
{
    return "POST " + path
           + " HTTP/1.1\r\nHost: x.example\r\nAuthorization: Bearer secret\r\nRequest-Id: " + id
           + "\r\nContent-Length: 4\r\n\r\nbody";
}

std::size_t countOf(const std::string &text, const std::string &part)
{
    std::size_t count = 0;
    for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) {
        ++count;
    }
    return count;
}

std::int64_t droppedRequests(Fixture &fixture)
{
    return static_cast<std::int64_t>(fixture.passThrough().account().droppedRequests());
}

} // namespace

/// Guards against a request that is read together with another one and gets no response because
/// the connection closes after the first (LOST).
Test(callerconnection, aPipelinedRequestIsAnsweredDuringAShutdown)
{
    Fixture fixture;
    fixture.configure();
    fixture.listServers(false);
    fixture.first.add({{"", okResponse, okResponse}});
    fixture.send(requestText("/once/", "r1") + requestText("/once/", "r2"));
    fixture.runUntil([&] { return requestCount(fixture) == 1; },
                     "the server has the first request");
    fixture.passThrough().stop();
    fixture.first.sendNext("r1");
    fixture.awaitClose();
    cr_assert(fixture.received.find("Request-Id: r2") != std::string::npos,
              "received: %s",
              fixture.received.c_str());
    cr_assert_eq(countOf(fixture.received, "Connection: close"), 1);
    cr_assert_eq(droppedRequests(fixture), 0);
}

/// Guards against a connection that closes after a response which did not announce it, when the
/// next request is already on its way.
Test(callerconnection, aConnectionThatDidNotAnnounceItsCloseServesTheNextRequest)
{
    Fixture fixture;
    fixture.configure();
    fixture.listServers(false);
    fixture.first.add({{streamHead + chunk(event(1)), chunk(event(2)) + "0\r\n\r\n", okResponse}});
    fixture.request("/stream/", "r1");
    fixture.awaitResponse("id: 1");
    fixture.passThrough().stop();
    fixture.first.sendNext("r1");
    fixture.awaitResponse("0\r\n\r\n");
    fixture.request("/once/", "r2");
    fixture.awaitClose();
    cr_assert(fixture.received.find("Request-Id: r2") != std::string::npos,
              "received: %s",
              fixture.received.c_str());
    cr_assert(fixture.received.find("Connection: close") != std::string::npos);
}

/// Guards against a connection that is taken for idle while a request waits in its socket.
Test(callerconnection, aRequestThatHasArrivedKeepsAnIdleConnectionOpen)
{
    Fixture fixture;
    fixture.configure();
    fixture.listServers(false);
    fixture.first.add({{okResponse, okResponse}});
    fixture.request("/once/", "r1");
    fixture.awaitResponse("hello");
    fixture.runUntil([&] { return fixture.passThrough().activeRequests() == 0; },
                     "the first request ends");
    fixture.context().poll(); // the response is written, and the connection idle
    fixture.passThrough().stop();
    fixture.request("/once/", "r2");
    fixture.passThrough().closeIdle();
    fixture.awaitClose();
    cr_assert(fixture.received.find("Request-Id: r2") != std::string::npos);
}

/// Guards against a request whose read completes while the response to the one before it announces
/// the end of the connection: it got no response (LOST).
Test(callerconnection, aRequestThatArrivesWithTheHeadOfAClosingResponseIsHandled)
{
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor(context, {asio::ip::address_v4::loopback(), 0});
    asio::ip::tcp::socket caller(context);
    caller.connect(acceptor.local_endpoint());
    ConnectionEnd end;
    bool isClosed = false;
    int requests = 0;
    auto handlers = std::make_shared<CallerHandlers>();
    handlers->onRequest
        = [&](const std::shared_ptr<CallerConnection> &connection, const CallerRequest &) {
              ++requests;
              asio::post(context, [connection] {
                  ResponseHead head;
                  head.status = 200;
                  connection->respond(head, {});
              });
          };
    handlers->onRejected = [](int, const std::string &problem) {
        cr_assert(problem.empty(), "%s", problem.c_str());
    };
    handlers->limits = [] { return Contracts::CallerLimits{}; };
    handlers->now = &steadyNow;
    handlers->isStopping = [] { return true; };
    handlers->onClosed = [&](const auto &, const ConnectionEnd &closed) {
        end = closed;
        isClosed = true;
    };
    const auto connection = std::make_shared<CallerConnection>(acceptor.accept(), handlers);

    // The first request fills one read of the connection.
    constexpr std::size_t readBytes = 16 * 1024;
    std::string first = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 16000\r\nX-Fill: ";
    first += std::string(readBytes - 16000 - first.size() - 4, 'x') + "\r\n\r\n";
    first += std::string(16000, 'b');
    asio::write(caller, asio::buffer(first + requestText("/", "r2")));
    connection->start();
    const auto limit = std::chrono::steady_clock::now() + guardTime;
    while (!isClosed && std::chrono::steady_clock::now() < limit) {
        context.run_one_for(std::chrono::milliseconds(20));
        if (requests == 2) {
            caller.close();
        }
    }
    cr_assert(isClosed);
    cr_assert_eq(end.unhandledBytes, 0, "%zu bytes were dropped", end.unhandledBytes);
    cr_assert_eq(requests, 2);
}

/// Guards against requests in progress whose connection ends with the process.
Test(callerconnection, requestsInProgressAreAnsweredWhenTheProcessEnds)
{
    Fixture fixture;
    fixture.configure();
    fixture.listServers(false);
    fixture.first.add({{""}});
    fixture.request("/once/", "r1");
    fixture.runUntil([&] { return requestCount(fixture) == 1; }, "the server has the request");
    fixture.passThrough().stop();
    fixture.passThrough().endRequests();
    fixture.awaitResponse("HTTP/1.1 502");
    fixture.awaitClose();
    cr_assert_eq(fixture.passThrough().activeRequests(), 0);
}

/// Guards against a broken response that looks complete: HTTP/1.0 frames it by the end of the
/// connection (MIXED).
Test(callerconnection, aBrokenStreamOfAnHttp10CallerIsReset)
{
    Fixture fixture;
    fixture.configure();
    fixture.listServers(false);
    fixture.first.add({{streamHead + chunk(event(1))}, true});
    fixture.send("GET /stream/ HTTP/1.0\r\nHost: x.example\r\nAuthorization: Bearer secret\r\n"
                 "Request-Id: r1\r\n\r\n");
    fixture.awaitClose();
    cr_assert_eq(fixture.closeError,
                 asio::error::connection_reset,
                 "%s",
                 fixture.closeError.message().c_str());
}
