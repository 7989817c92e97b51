#include "relayfixture.h"

namespace {

const std::string unframedHead = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nProof: p\r\n";
const std::string unframedStreamHead = unframedHead + "Content-Type: text/event-stream\r\n\r\n";
const std::string largeBody(300'000, 'x');

void awaitEnd(Fixture &fixture)
{
    fixture.runUntil([&] { return fixture.passThrough().activeRequests() == 0; },
                     "the request ends");
}

/// Runs until the server has got the request and written its response.
void awaitRequest(Fixture &fixture)
{
    fixture.runUntil([&] { return fixture.first.requests().size() == 1; },
                     "the server gets the request");
}

} // namespace

/// Guards against responses without length that are dropped, or whose connection is used again.
Test(unframedresponses, aResponseIsCompleteWithTheRegularEndOfItsConnection)
{
    const std::string small = unframedHead + "\r\nhello";
    const std::string large = unframedHead + "\r\n" + largeBody + "hello";
    for (const std::string &response : {small, large}) {
        Fixture fixture;
        fixture.configure();
        fixture.listServers(false);
        fixture.first.add({{response}, true});
        fixture.first.add({{response}, true});
        for (const char *id : {"r1", "r2"}) {
            fixture.received.clear();
            fixture.request("/once/", id);
            fixture.awaitResponse("hello");
            awaitEnd(fixture);
            cr_assert(fixture.received.starts_with("HTTP/1.1 200"));
        }
        cr_assert_eq(fixture.first.connectionCount(), 2);
    }
}

/// Guards against a stream without length that is dropped or looks broken to the caller.
Test(unframedresponses, aStreamIsCompleteWithTheRegularEndOfItsConnection)
{
    Fixture fixture;
    fixture.configure();
    fixture.listServers(false);
    fixture.first.add({{unframedStreamHead + event(1) + event(2)}, true});
    fixture.request("/resumable/", "r1");
    fixture.awaitResponse("0\r\n\r\n");
    cr_assert(fixture.received.find(chunk(event(1) + event(2))) != std::string::npos);
}

/// Guards against a response that was reset on the way and looks complete (MIXED).
Test(unframedresponses, aResponseThatIsResetIsNotComplete)
{
    Fixture fixture;
    fixture.configure();
    fixture.listServers(false);
    fixture.first.add({{unframedHead + "\r\nhello"}});
    fixture.request("/once/", "r1");
    awaitRequest(fixture);
    fixture.first.resetConnections();
    fixture.awaitResponse("HTTP/1.1 502");
}

/// Guards against the same for a response whose first part was passed on.
Test(unframedresponses, aLargeResponseThatIsResetIsNotComplete)
{
    Fixture fixture;
    fixture.configure();
    fixture.listServers(false);
    fixture.first.add({{unframedHead + "\r\n" + largeBody}});
    fixture.request("/once/", "r1");
    fixture.awaitResponse("xxx");
    fixture.first.resetConnections();
    fixture.awaitClose();
    cr_assert(!fixture.received.ends_with("0\r\n\r\n"));
}

/// Guards against a stream that was reset after a whole event and looks complete (ORDER).
Test(unframedresponses, aStreamThatIsResetGoesOnAtAnotherServer)
{
    Fixture fixture;
    fixture.configure();
    fixture.listSecondElsewhere();
    fixture.first.add({{unframedStreamHead + event(1)}});
    fixture.second.add({{unframedStreamHead + event(2)}, true});
    fixture.request("/resumable/", "r1");
    fixture.awaitResponse(event(1));
    fixture.first.resetConnections();
    fixture.awaitResponse(chunk(event(2)) + "0\r\n\r\n");
}

/// Guards against a stream that ends within an event and looks complete (ORDER).
Test(unframedresponses, aStreamThatEndsWithinAnEventIsNotComplete)
{
    const std::string begun = unframedStreamHead + event(1);
    for (const char *rest : {"id: 2\ndata: d2\n", "id: 2\n", "d", "\r"}) {
        Fixture fixture;
        fixture.configure();
        fixture.listServers(false);
        fixture.first.add({{std::string(begun).append(rest)}, true});
        fixture.request("/resumable/", "r1");
        fixture.awaitClose();
        cr_assert(fixture.received.ends_with(chunk(event(1))), "%s", fixture.received.c_str());
    }
}

/// Guards against responses without a body that wait for the end of their connection.
Test(unframedresponses, aResponseWithoutABodyIsCompleteWithItsHead)
{
    const std::string end = "\r\nRequest-Id: {id}\r\nProof: p\r\n\r\n";
    for (const char *status : {"204 No Content", "304 Not Modified"}) {
        const std::string response = std::string("HTTP/1.1 ").append(status).append(end);
        Fixture fixture;
        fixture.configure();
        fixture.listServers(false);
        fixture.first.add({{response, response}});
        for (const std::string id : {"r1", "r2"}) {
            fixture.request("/once/", id);
            fixture.awaitResponse("Request-Id: " + id + "\r\n");
            awaitEnd(fixture);
        }
        cr_assert_eq(fixture.first.connectionCount(), 1);
    }
    Fixture fixture;
    fixture.configure();
    fixture.listServers(false);
    fixture.first.add({{unframedHead + "\r\n"}});
    fixture.first.add({{unframedHead + "\r\n"}});
    for (const std::string id : {"r1", "r2"}) {
        fixture.send("HEAD /once/ HTTP/1.1\r\nHost: x.example\r\nAuthorization: Bearer secret\r\n"
                     "Request-Id: "
                     + id + "\r\n\r\n");
        fixture.awaitResponse("Request-Id: " + id + "\r\n");
        awaitEnd(fixture);
    }
}

/// Guards against a server's reset that a relay passes on as the regular end of its response
/// (MIXED).
Test(unframedresponses, aRelayPassesAResetOnAsAReset)
{
    RelayFixture fixture(refusingAddress());
    fixture.first.add({{unframedHead + "\r\nhello"}});
    asio::ip::tcp::socket socket(fixture.context());
    socket.connect(fixture.relay().address());
    asio::write(socket, asio::buffer(relayRequest({Base::ServerId("one"), 0})));
    std::array<char, 512> buffer{};
    std::string received;
    std::error_code ending;
    std::function<void()> read = [&] {
        socket.async_read_some(asio::buffer(buffer),
                               [&](const std::error_code &error, std::size_t size) {
                                   received.append(buffer.data(), size);
                                   ending = error;
                                   if (!error) {
                                       read();
                                   }
                               });
    };
    read();
    fixture.runUntil([&] { return received.ends_with("\r\n\r\n"); }, "the relay responds");
    asio::write(socket, asio::buffer(std::string("GET / HTTP/1.1\r\nRequest-Id: r1\r\n\r\n")));
    fixture.runUntil([&] { return received.ends_with("hello"); }, "the response comes");
    fixture.first.resetConnections();
    fixture.runUntil([&] { return static_cast<bool>(ending); }, "the connection ends");
    cr_assert(ending == asio::error::connection_reset, "%s", ending.message().c_str());
}

/// Guards against a response without length that looks complete although its relay ended: the
/// system ends the connections of a killed process in the ordinary way.
Test(unframedresponses, aResponseThroughARelayIsNotKnownToBeComplete)
{
    RelayFixture fixture(refusingAddress());
    fixture.first.add({{unframedHead + "\r\nhello"}, true});
    fixture.request("/once/", "r1");
    fixture.awaitResponse("HTTP/1.1 502");
}

/// Guards against the same for streams.
Test(unframedresponses, aStreamThroughARelayIsNotKnownToBeComplete)
{
    RelayFixture fixture(refusingAddress());
    fixture.first.add({{unframedStreamHead + event(1)}, true});
    fixture.second.add({{streamHead + chunk(event(2)) + "0\r\n\r\n"}});
    fixture.request("/resumable/", "r1");
    fixture.awaitResponse(chunk(event(2)) + "0\r\n\r\n");
}

/// Guards against framed responses through a relay that count as broken.
Test(unframedresponses, aFramedResponseThroughARelayIsCompleteAtItsEnd)
{
    const std::string end = "\r\nRequest-Id: {id}\r\nProof: p\r\n";
    for (const std::string &response : {okResponse, "HTTP/1.1 204 No Content" + end + "\r\n"}) {
        RelayFixture fixture(refusingAddress());
        fixture.first.add({{response}, true});
        fixture.request("/once/", "r1");
        fixture.awaitResponse("Request-Id: r1\r\n");
        cr_assert(fixture.received.starts_with("HTTP/1.1 20"));
    }
}
