#include "relayfixture.h"
#include "scriptedcall.h"

namespace {

/// More than the buffers of both ends of a connection take.
constexpr std::size_t uploadBytes = 8'000'000;
constexpr int smallReceiveBuffer = 4 * 1024;

const std::string unframedHead = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nProof: p\r\n";
const std::string unframedStreamHead = unframedHead + "Content-Type: text/event-stream\r\n\r\n";
const std::string unframed = unframedHead + "\r\nhello";
const std::string chunked
    = unframedHead + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n";

/// How a server ends a connection on which the request is still being sent.
enum class Ending {
    Reset,
    /// The system resets the connection, as the server leaves bytes unread.
    Closed,
    ShutDown,
    /// The end of the response arrives before the reset.
    ShutDownAndReset,
    ShutDownAndClosed
};

constexpr std::array resets{Ending::Reset, Ending::Closed};
constexpr std::array regularEndings{
    Ending::ShutDown, Ending::ShutDownAndReset, Ending::ShutDownAndClosed};
constexpr std::array endings{Ending::Reset,
                             Ending::Closed,
                             Ending::ShutDown,
                             Ending::ShutDownAndReset,
                             Ending::ShutDownAndClosed};

ScriptedServer::Script earlyResponse(const std::string &response, Ending ending)
{
    ScriptedServer::Script script{.responses = {response}};
    script.leavesLastBodyUnread = true;
    script.shutsDownAfterwards = ending != Ending::Reset && ending != Ending::Closed;
    script.resetsAfterwards = ending == Ending::Reset || ending == Ending::ShutDownAndReset;
    script.closesAfterwards = ending == Ending::Closed || ending == Ending::ShutDownAndClosed;
    return script;
}

Contracts::RoutingDocument largeBodies()
{
    Contracts::RoutingDocument document = routing();
    document.version = Base::ConfigVersion(2);
    document.limits.bodyBytes = 2 * uploadBytes;
    return document;
}

/// Allows large bodies; the first server buffers little of them.
void prepare(Fixture &fixture)
{
    fixture.passThrough().configure(largeBodies());
    fixture.first.setReceiveBytes(smallReceiveBuffer);
}

/// Runs until the response has arrived whole at the caller, or is cut off.
void awaitEnd(Fixture &fixture)
{
    fixture.runUntil(
        [&] { return requestCount(fixture) > 0 && fixture.passThrough().activeRequests() == 0; },
        "the request ends");
    fixture.context().poll();
}

/// Runs until no more of the upload can be written.
void runUntilStalled(Fixture &fixture)
{
    while (fixture.context().poll() > 0) {
    }
}

/// What a caller gets for an upload to a server that follows the script.
std::string responseTo(const ScriptedServer::Script &script, const std::string &path)
{
    Fixture fixture;
    prepare(fixture);
    fixture.listServers(false);
    fixture.first.add(script);
    fixture.upload(path, "r1", uploadBytes);
    awaitEnd(fixture);
    return fixture.received;
}

} // namespace

/// Guards against a part of a response that its caller gets as the whole one, because the reset of
/// the connection was reported to the write of the request and not to the read (MIXED).
Test(earlyresponses, aResponseThatIsResetDuringTheUploadIsNotWhole)
{
    for (const Ending ending : resets) {
        const auto script = earlyResponse(unframed, ending);
        const std::string received = responseTo(script, "/once/");
        cr_expect(received.starts_with("HTTP/1.1 502"), "%s", received.c_str());
    }
}

/// Guards against the same on a connection that had a request before.
Test(earlyresponses, aResponseThatIsResetOnAKeptConnectionIsNotWhole)
{
    Fixture fixture;
    prepare(fixture);
    fixture.listServers(false);
    auto script = earlyResponse(unframed, Ending::Reset);
    script.responses.insert(script.responses.begin(), okResponse);
    fixture.first.add(script);
    fixture.request("/once/", "r1");
    fixture.awaitResponse("hello");
    fixture.received.clear();
    fixture.upload("/once/", "r2", uploadBytes);
    fixture.runUntil([&] { return fixture.first.requests().size() == 2; }, "the request arrives");
    cr_assert_eq(fixture.first.connectionCount(), 1);
    awaitEnd(fixture);
    cr_assert(fixture.received.starts_with("HTTP/1.1 502"), "%s", fixture.received.c_str());
}

/// Guards against the same for a request that may be repeated.
Test(earlyresponses, anIdempotentUploadIsRepeatedAfterAReset)
{
    for (const Ending ending : resets) {
        Fixture fixture;
        prepare(fixture);
        fixture.listSecondElsewhere();
        fixture.first.add(earlyResponse(unframed, ending));
        fixture.second.add({{unframedHead + "Content-Length: 6\r\n\r\nsecond"}});
        fixture.upload("/safe/", "r1", uploadBytes);
        awaitEnd(fixture);
        cr_expect(fixture.received.ends_with("second"), "%s", fixture.received.c_str());
    }
}

/// Guards against a stream whose end is missing and that looks complete (ORDER).
Test(earlyresponses, aStreamThatIsResetDuringTheUploadIsNotWhole)
{
    for (const Ending ending : resets) {
        const auto script = earlyResponse(unframedStreamHead + event(1), ending);
        const std::string received = responseTo(script, "/stream/");
        cr_expect(!received.ends_with("0\r\n\r\n"), "%s", received.c_str());
    }
}

/// Guards against the same if the reset comes after a part was passed on.
Test(earlyresponses, aStreamThatIsResetLaterInTheUploadGoesOnAtAnotherServer)
{
    Fixture fixture;
    prepare(fixture);
    fixture.listSecondElsewhere();
    ScriptedServer::Script script{.responses = {unframedStreamHead + event(1)}};
    script.leavesLastBodyUnread = true;
    fixture.first.add(script);
    fixture.second.add({{streamHead + chunk(event(2)) + "0\r\n\r\n"}});
    fixture.upload("/resumable/", "r1", uploadBytes);
    fixture.awaitResponse(event(1));
    fixture.first.resetConnections();
    fixture.awaitResponse("0\r\n\r\n");
    cr_assert(
        fixture.received.ends_with(chunk(event(2)) + "0\r\n\r\n"), "%s", fixture.received.c_str());
}

/// Guards against a part of a turn's output that is kept as the turn.
Test(earlyresponses, aTurnThatIsResetDuringTheUploadIsNotKept)
{
    Fixture fixture;
    prepare(fixture);
    fixture.listServers(false);
    int keptTurns = 0;
    HistoryControls history;
    history.isAvailable = [] { return true; };
    history.keep = [&](const auto &, auto, const auto &done) {
        ++keptTurns;
        done(true);
        return [] {};
    };
    fixture.passThrough().setHistory(history);
    fixture.first.add(earlyResponse(unframedStreamHead + event(1), Ending::Reset));
    fixture.upload("/kept/", "r1", uploadBytes);
    fixture.awaitClose();
    cr_assert_eq(keptTurns, 0);
    cr_assert(!fixture.received.ends_with("0\r\n\r\n"), "%s", fixture.received.c_str());
}

/// Guards against a response without length that is dropped although its end has arrived: a server
/// may respond before it has read the request.
Test(earlyresponses, aResponseWithARegularEndDuringTheUploadIsWhole)
{
    for (const Ending ending : regularEndings) {
        const std::string received = responseTo(earlyResponse(unframed, ending), "/once/");
        cr_expect(received.starts_with("HTTP/1.1 200"), "%s", received.c_str());
        const std::string stream
            = responseTo(earlyResponse(unframedStreamHead + event(1), ending), "/stream/");
        cr_expect(stream.ends_with(chunk(event(1)) + "0\r\n\r\n"), "%s", stream.c_str());
    }
}

/// Guards against a response that is dropped although its length shows that it is whole, as the
/// server closed the connection without reading the request.
Test(earlyresponses, aFramedResponseDuringTheUploadIsWholeHoweverTheConnectionEnds)
{
    for (const Ending ending : endings) {
        for (const std::string &response : {okResponse, chunked}) {
            const std::string received = responseTo(earlyResponse(response, ending), "/once/");
            cr_expect(received.starts_with("HTTP/1.1 200"), "%s", received.c_str());
        }
    }
}

/// Guards against the same if the reset comes while the caller is too slow to take the response.
Test(earlyresponses, aFramedResponseIsWholeIfItsReaderPausesAtTheReset)
{
    const std::string body(20'000, 'x');
    asio::io_context context;
    ScriptedServer server(context);
    server.setReceiveBytes(smallReceiveBuffer);
    server.add(
        earlyResponse("HTTP/1.1 200 OK\r\nContent-Length: 20000\r\n\r\n" + body, Ending::Reset));
    const auto connection = std::make_shared<ClientConnection>(context, server.endpoint());
    std::string received;
    std::optional<ResponseEnd> ended;
    ClientConnection::Handlers handlers;
    handlers.onHead = [](const auto &, const auto &) { return HeadVerdict::Accept; };
    handlers.onBody = [&](const std::string &bytes) {
        if (received.empty()) {
            connection->pause();
        }
        received += bytes;
    };
    handlers.onEnd = [&](ResponseEnd end, const std::string &) { ended = end; };
    connection->connect(guardTime, [&](const std::string &) {
        connection->send(
            "POST / HTTP/1.1\r\n\r\n" + std::string(uploadBytes, 'u'), false, handlers);
    });
    while (received.empty()) {
        context.run_one();
    }
    context.poll(); // the write fails
    connection->resume();
    while (!ended) {
        context.run_one();
    }
    cr_assert(*ended == ResponseEnd::Complete);
    cr_assert_eq(received, body);
}

/// Guards against a part that looks whole, whatever it ends with.
Test(earlyresponses, aPartOfAResponseDuringTheUploadIsNotWhole)
{
    const std::string framedPart
        = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nProof: p\r\nContent-Length: 6\r\n\r\nhello";
    const std::string chunkedPart = chunked.substr(0, chunked.size() - 2);
    for (const Ending ending : endings) {
        for (const std::string &part : {std::string(), unframedHead, framedPart, chunkedPart}) {
            const std::string received = responseTo(earlyResponse(part, ending), "/once/");
            cr_expect(received.starts_with("HTTP/1.1 502"), "%s", received.c_str());
        }
    }
}

/// Guards against a request that a server reads as the rest of the body before it.
Test(earlyresponses, aConnectionWithAnUnfinishedUploadIsNotUsedAgain)
{
    Fixture fixture;
    prepare(fixture);
    fixture.listServers(false);
    ScriptedServer::Script script{.responses = {okResponse}};
    script.leavesLastBodyUnread = true;
    fixture.first.add(script);
    fixture.first.add({{okResponse}});
    fixture.upload("/once/", "r1", uploadBytes);
    fixture.awaitResponse("hello");
    fixture.received.clear();
    fixture.upload("/once/", "r2", 4);
    fixture.awaitResponse("hello");
    cr_assert_eq(fixture.first.connectionCount(), 2);
}

/// Guards against a part of an answer of the store, or of a daemon that keeps turns, that counts as
/// the whole one.
Test(earlyresponses, aCallWhoseUploadIsResetHasNoResponse)
{
    const std::string upload(uploadBytes, 'u');
    for (const Ending ending : resets) {
        const CallResult result = callServer(earlyResponse(unframed, ending), upload);
        cr_expect_eq(result.status, 0);
        cr_expect(result.body.empty() && !result.problem.empty() && !result.isNotSent);
    }
    for (const Ending ending : regularEndings) {
        cr_expect_eq(callServer(earlyResponse(unframed, ending), upload).body, "hello");
    }
    for (const Ending ending : endings) {
        cr_expect_eq(callServer(earlyResponse(chunked, ending), upload).body, "hello");
    }
}

/// Guards against the same through another daemon, which reads and writes both connections.
Test(earlyresponses, aResponseThatIsResetDuringTheUploadThroughARelayIsNotWhole)
{
    for (const Ending ending : resets) {
        RelayFixture fixture(refusingAddress());
        prepare(fixture);
        fixture.first.add(earlyResponse(unframed, ending));
        fixture.upload("/once/", "r1", uploadBytes);
        fixture.awaitResponse("\r\n\r\n");
        cr_expect(fixture.received.starts_with("HTTP/1.1 502"), "%s", fixture.received.c_str());
    }
}

/// Guards against a relay that drops a whole response, as the server takes no more of the request.
Test(earlyresponses, aFramedResponseDuringTheUploadThroughARelayIsWhole)
{
    for (const Ending ending : endings) {
        for (const std::string &response : {okResponse, chunked}) {
            RelayFixture fixture(refusingAddress());
            prepare(fixture);
            auto script = earlyResponse(response, ending);
            script.waitsForSendNext = true;
            fixture.first.add(script);
            fixture.upload("/once/", "r1", uploadBytes);
            fixture.runUntil([&] { return requestCount(fixture) == 1; }, "the request arrives");
            runUntilStalled(fixture);
            fixture.first.sendNext("r1");
            awaitEnd(fixture);
            cr_expect(fixture.received.starts_with("HTTP/1.1 200"), "%s", fixture.received.c_str());
        }
    }
}
