#include "passthroughfixture.h"

namespace {

const std::string emptyBody = "Content-Length: 0\r\n\r\n";
const std::string jsonError = "HTTP/1.1 500 Error\r\nRequest-Id: {id}\r\nProof: p\r\n"
                              "Content-Type: application/json\r\nContent-Length: 9\r\n\r\n"
                              "{\"a\": 17}";
const std::string interim = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n";
const std::string late
    = "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nProof: p\r\nContent-Length: 5\r\n\r\nstale";
const std::string lastChunk = "0\r\n\r\n";

const std::string jsonSuccess
    = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nProof: p\r\nContent-Type: application/json\r\n"
      "Content-Length: 2\r\n\r\n{}";

/// Responses of the next server that continue no stream.
const std::vector<std::string> useless{
    notRunResponse,
    jsonError,
    "HTTP/1.1 404 Not Found\r\nRequest-Id: {id}\r\nProof: p\r\nContent-Length: 4\r\n\r\nnone",
    jsonSuccess,
    "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nContent-Type: text/event-stream\r\n"
    "Transfer-Encoding: chunked\r\n\r\n"
        + chunk(event(2)) + lastChunk,
    "HTTP/1.1 200 OK\r\nProof: p\r\nContent-Type: text/event-stream\r\n"
    "Transfer-Encoding: chunked\r\n\r\n"
        + chunk(event(2)) + lastChunk,
    "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\n" + emptyBody,
    "HTTP/1.1 421 Misdirected\r\nRequest-Id: {id}\r\n" + emptyBody,
    "HTTP/1.1 204 No Content\r\nRequest-Id: {id}\r\nProof: p\r\n\r\n",
    interim + jsonError,
    interim,
    late + jsonError,
    late + notRunResponse,
    "garbage\r\n\r\n",
    streamHead + "garbage\r\n",
    ""};

/// Responses of the next server that bring event 2 and end.
const std::vector<std::string> useful{
    streamHead + chunk(event(2)) + lastChunk,
    "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nProof: p\r\nContent-Type: text/event-stream\r\n"
    "Content-Length: "
        + std::to_string(event(2).size()) + "\r\n\r\n" + event(2),
    interim + streamHead + chunk(event(2)) + lastChunk,
    late + streamHead + chunk(event(2)) + lastChunk,
    streamHead + chunk(event(2)) + lastChunk + jsonError};

struct Variant
{
    /// HTTP version of the caller.
    std::string version;
    /// The next server has answered a request on the same connection before.
    bool isKept = false;
};

const std::vector<Variant> variants{{"1.1", false}, {"1.1", true}, {"1.0", false}, {"1.0", true}};

/// A stream of the first server that breaks off, and the caller that reads it.
class StreamFixture : public Fixture
{
public:
    /// The next server writes the first of the responses for the stream, the others later.
    StreamFixture(Variant variant, std::vector<std::string> responses)
        : variant_(std::move(variant))
    {
        configure();
        if (variant_.isKept) {
            responses.insert(responses.begin(), okResponse);
            second.add({responses, true});
            listSecondOnly();
            request("/once/", "r0");
            awaitResponse("hello");
            runUntil([&] { return passThrough().activeRequests() == 0; }, "r0 ends");
            reconnect();
        } else {
            second.add({responses, true});
        }
        listSecondElsewhere();
    }

    void requestStream()
    {
        send("POST /resumable/ HTTP/" + variant_.version
             + "\r\nHost: x.example\r\nAuthorization: Bearer secret\r\nRequest-Id: r1\r\n"
               "Content-Length: 4\r\n\r\nbody");
    }

    /// Compares what the caller has read once the stream has ended.
    void expectEvents(const std::vector<std::string> &events, bool isComplete)
    {
        const bool isChunked = variant_.version == "1.1";
        std::string text = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nProof: p\r\n"
                           "Content-Type: text/event-stream\r\n";
        text += isChunked ? "Transfer-Encoding: chunked\r\n\r\n" : "Connection: close\r\n\r\n";
        for (const std::string &part : events) {
            text += isChunked ? chunk(part) : part;
        }
        if (isComplete && isChunked) {
            text += lastChunk;
            runUntil([&] { return received.size() >= text.size(); }, "the stream ends");
        } else {
            awaitClose();
        }
        runUntil([&] { return passThrough().activeRequests() == 0; }, "the request ends");
        context().poll();
        cr_assert_str_eq(received.c_str(), text.c_str());
    }

    std::size_t requestsOfSecond() const
    {
        return second.requests().size() - (variant_.isKept ? 1 : 0);
    }

private:
    Variant variant_;
};

} // namespace

/// Guards against the text or the head of an error in the middle of a stream, and against a stream
/// that ends as if it were complete (ORDER, MIXED).
Test(brokenstreams, aResponseThatContinuesNoStreamEndsTheConnection)
{
    for (const Variant &variant : variants) {
        for (const std::string &response : useless) {
            StreamFixture fixture(variant, {response});
            fixture.first.add({{streamHead + chunk(event(1) + "id: 2\nda")}, true});
            fixture.requestStream();
            fixture.expectEvents({event(1)}, false);
            cr_assert_eq(fixture.requestsOfSecond(), 1, "%s", response.c_str());
        }
    }
}

/// Guards against events that are missing, come twice or come between bytes of another response.
Test(brokenstreams, aStreamGoesOnWithTheEventsOfTheNextServer)
{
    for (const Variant &variant : variants) {
        for (const std::string &response : useful) {
            StreamFixture fixture(variant, {response});
            fixture.first.add({{streamHead + chunk(event(1) + "id: 2\nda")}, true});
            fixture.requestStream();
            fixture.expectEvents({event(1), event(2)}, true);
        }
    }
}

/// Guards against an error that comes with the last bytes of the stream before it.
Test(brokenstreams, anErrorBehindTheBytesOfAStreamIsNotPartOfIt)
{
    const std::string begun = streamHead + chunk(event(1));
    const std::string next = streamHead + chunk(event(2)) + lastChunk;
    const std::string completeAndError = begun + lastChunk + jsonError;
    const std::string eventAndError = chunk(event(2)) + jsonError;
    for (const Variant &variant : variants) {
        StreamFixture complete(variant, {next});
        complete.first.add({{completeAndError}});
        complete.requestStream();
        complete.expectEvents({event(1)}, true);
        StreamFixture broken(variant, {next});
        broken.first.add({{begun, eventAndError}});
        broken.requestStream();
        broken.awaitResponse("data: d1");
        broken.first.sendNext("r1");
        broken.expectEvents({event(1), event(2)}, true);
    }
}

/// Guards against a stream that is broken off although further servers could continue it.
Test(brokenstreams, aFurtherServerIsAskedAfterAnError)
{
    class ThreeServers : public StreamFixture
    {
    public:
        using StreamFixture::StreamFixture;

        void listThird(const ScriptedServer &third)
        {
            passThrough().serversChanged(
                {listed("one", first), listed("two", second), listed("three", third)});
        }
    };
    ThreeServers fixture({"1.1", false}, {"", jsonError});
    auto document = routing();
    document.version = Base::ConfigVersion(2);
    for (Contracts::Route &each : document.routes) {
        each.attempts = 3;
    }
    fixture.passThrough().configure(document);
    ScriptedServer third(fixture.context());
    third.add({{streamHead + chunk(event(2)) + lastChunk}});
    fixture.listServers(false);
    fixture.first.add({{streamHead + chunk(event(1)), "x"}, true});
    fixture.requestStream();
    fixture.awaitResponse("data: d1");
    fixture.listServers(true);
    fixture.first.sendNext("r1");
    fixture.runUntil([&] { return fixture.second.requests().size() == 1; }, "the second is asked");
    fixture.listThird(third);
    fixture.second.sendNext("r1");
    fixture.expectEvents({event(1), event(2)}, true);
}
