#include "passthroughfixture.h"

#include <libs/heapuse.h>

namespace {

constexpr std::int64_t megabyte = 1'000'000;

/// Memory of which each part gets the given number of megabytes.
Base::Bytes processMemory(std::int64_t partMegabytes)
{
    constexpr std::int64_t ownMegabytes = 32;
    constexpr std::int64_t partCount = 5;
    return Base::Bytes((ownMegabytes + partCount * partMegabytes) * megabyte);
}

const std::string plainHead = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nProof: p\r\n";
const std::string kilobyte(1000, 'x');

/// What a faulty server sends: a head, and what follows it without end.
struct Flood
{
    const char *name;
    std::string path;
    std::string head;
    std::string tail;
};

const Flood keptEvents{
    "events of a turn that is kept", "/kept/", streamHead, chunk("data: " + kilobyte + "\n\n")};

std::vector<Flood> floods()
{
    return {keptEvents,
            {"events", "/stream/", streamHead, chunk("data: " + kilobyte + "\n\n")},
            {"one event", "/stream/", streamHead, chunk("data: " + kilobyte)},
            {"a body without length", "/safe/", plainHead + "\r\n", kilobyte},
            {"a chunked body",
             "/once/",
             plainHead + "Transfer-Encoding: chunked\r\n\r\n",
             chunk(kilobyte)}};
}

/// A caller on a connection of its own, which discards what it receives.
class DiscardingCaller
{
public:
    DiscardingCaller(Fixture &fixture, bool isReading)
        : socket_(fixture.context())
    {
        socket_.connect(fixture.address());
        if (isReading) {
            read();
        }
    }

    void send(const std::string &path, const std::string &id, const std::string &more = "")
    {
        asio::write(socket_,
                    asio::buffer("POST " + path
                                 + " HTTP/1.1\r\nHost: x.example\r\nAuthorization: Bearer "
                                   "secret\r\nRequest-Id: "
                                 + id + "\r\nContent-Length: 4\r\n" + more + "\r\nbody"));
    }

private:
    void read()
    {
        socket_.async_read_some(asio::buffer(buffer_), [this](const std::error_code &error, auto) {
            if (!error) {
                read();
            }
        });
    }

    asio::ip::tcp::socket socket_;
    std::array<char, 16 * 1024> buffer_{};
};

/// A faulty server, a sound one of another service, and a history that keeps every turn.
class FloodFixture : public Fixture
{
public:
    static constexpr std::int64_t tokensPerEvent = 20;

    explicit FloodFixture(DaemonMemory &memory)
        : sound_(context())
    {
        passThrough().setMemory(memory);
        HistoryControls history;
        history.isAvailable = [] { return true; };
        history.keep = [this](const TurnHistory::Turn &turn, Base::Duration, const auto &done) {
            kept.push_back(turn.content);
            done(true);
            return [] {};
        };
        passThrough().setHistory(history);
        Contracts::RoutingDocument document = routing();
        document.services
            = {{Base::ServiceId("s"), Base::Tokens(tokensPerEvent)}, {Base::ServiceId("sound")}};
        document.routes.push_back(route("/sound/", RouteKind::Idempotent, 1));
        document.routes.back().services = {{Base::ServiceId("sound"), 1}};
        document.limits.bodyBytes = 4 * megabyte;
        passThrough().configure(document);
        Dispatch::ListedServer sound = listed("sound", sound_);
        sound.server.service = Base::ServiceId("sound");
        passThrough().serversChanged({listed("one", first), sound});
        sound_.setResponder([](const std::string &request) {
            const std::string field = "Request-Id: ";
            const std::size_t start = request.find(field) + field.size();
            const std::string id = request.substr(start, request.find("\r\n", start) - start);
            return "HTTP/1.1 200 OK\r\nRequest-Id: " + id
                   + "\r\nProof: p\r\nContent-Length: 2\r\n\r\nok";
        });
    }

    /// Sends that many requests to the faulty server, each on a connection of its own.
    void sendToFlood(const Flood &flood, int count, bool areReading, const std::string &more = "")
    {
        first.setDefaultScript({.responses = {flood.head}, .endlessTail = flood.tail});
        for (int i = 0; i < count; ++i) {
            callers_.push_back(std::make_unique<DiscardingCaller>(*this, areReading));
            callers_.back()->send(flood.path, "f" + std::to_string(i), more);
        }
    }

    /// Sends one request after another to the sound server while others are in progress; returns
    /// the highest use of the heap.
    std::size_t serveOthers(const char *name)
    {
        constexpr int minRequests = 20;
        constexpr unsigned sampleInterval = 64;
        std::size_t highest = heapBytes();
        unsigned steps = 0;
        int served = 0;
        while (served < minRequests || passThrough().activeRequests() > 0) {
            const std::string id = "s" + std::to_string(served++);
            request("/sound/", id);
            runUntil(
                [&] {
                    if (steps++ % sampleInterval == 0) {
                        highest = std::max(highest, heapBytes());
                    }
                    return received.find("Request-Id: " + id + "\r\n") != std::string::npos;
                },
                name);
            received.clear();
        }
        return highest;
    }

    std::vector<std::string> kept;

private:
    ScriptedServer sound_;
    std::vector<std::unique_ptr<DiscardingCaller>> callers_;
};

/// What the test itself keeps: a buffer of a server and of a caller for each request.
constexpr std::size_t testBytes(int requests)
{
    return static_cast<std::size_t>(requests) * 200'000 + megabyte;
}

} // namespace

/// Guards against a daemon that runs out of memory as the responses of one faulty server are kept,
/// and ends the requests of all other callers with it.
Test(endlessresponses, oneServerDoesNotTakeTheMemoryOfTheDaemon)
{
    constexpr int count = 16;
    for (const Flood &flood : floods()) {
        DaemonMemory memory(processMemory(6));
        FloodFixture fixture(memory);
        const std::size_t before = heapBytes();
        fixture.sendToFlood(flood, count, true, "Timeout-Ms: 1500\r\n");
        const std::size_t highest = fixture.serveOthers(flood.name);
        const std::size_t limit = before + 6 * megabyte + testBytes(count);
        cr_assert_lt(highest, limit, "%s: %zu bytes more", flood.name, highest - before);
        cr_assert_leq(memory.responses().peak(), memory.responses().capacity(), "%s", flood.name);
        cr_assert_eq(memory.responses().used(), Base::Bytes(0), "%s", flood.name);
        cr_assert(fixture.kept.empty(), "%s", flood.name);
    }
}

/// Guards against a daemon that runs out of memory as callers read late.
Test(endlessresponses, callersThatReadLateDoNotTakeTheMemoryOfTheDaemon)
{
    constexpr int count = 40;
    for (const Flood &flood : floods()) {
        if (flood.path == "/kept/" || std::string(flood.name) == "one event") {
            continue; // broken off before much is forwarded
        }
        DaemonMemory memory(processMemory(2));
        FloodFixture fixture(memory);
        const std::size_t before = heapBytes();
        fixture.sendToFlood(flood, count, false, "Timeout-Ms: 1500\r\n");
        const std::size_t highest = fixture.serveOthers(flood.name);
        const std::size_t limit = before + 6 * megabyte + testBytes(count);
        cr_assert_lt(highest, limit, "%s: %zu bytes more", flood.name, highest - before);
        cr_assert_lt(memory.backlogs().peak(), Base::Bytes(4 * megabyte), "%s", flood.name);
    }
}

/// Guards against output that the caller does not allow: it is neither passed on nor kept.
Test(endlessresponses, eventsBeyondTheCallersLimitAreNoResponse)
{
    for (const char *path : {"/kept/", "/stream/"}) {
        DaemonMemory memory;
        FloodFixture fixture(memory);
        fixture.first.add(
            {{streamHead + chunk(event(1) + event(2)), chunk(event(3)) + "0\r\n\r\n"}});
        fixture.request(path, "r1", "Max-Output: 21\r\n");
        fixture.awaitResponse(event(2));
        fixture.first.sendNext("r1");
        fixture.awaitClose();
        cr_assert(fixture.received.ends_with(chunk(event(1) + event(2))), "%s", path);
        cr_assert(fixture.kept.empty(), "%s", path);
    }
}

Test(endlessresponses, outputOfTheLargestAllowedSizeIsComplete)
{
    DaemonMemory memory;
    FloodFixture fixture(memory);
    fixture.first.add({{streamHead + chunk(event(1) + event(2) + ": end\n\n") + "0\r\n\r\n"}});
    fixture.request("/kept/", "r1", "Max-Output: 40\r\n");
    fixture.awaitResponse("0\r\n\r\n");
    cr_assert(fixture.kept == std::vector<std::string>({"bodyd1\nd2\n"}));
}

/// Guards against a turn that ran and is cut off at its end, as its body alone is more than the
/// daemon would lease.
Test(endlessresponses, aTurnThatHasRunIsKeptWhateverItsSize)
{
    DaemonMemory memory(processMemory(2));
    FloodFixture fixture(memory);
    fixture.first.add({{streamHead + chunk(event(1)) + "0\r\n\r\n"}});
    const std::string body(900'000, 'b');
    fixture.send("POST /kept/ HTTP/1.1\r\nHost: x.example\r\nAuthorization: Bearer secret\r\n"
                 "Request-Id: r1\r\nContent-Length: "
                 + std::to_string(body.size()) + "\r\n\r\n" + body);
    fixture.awaitResponse("0\r\n\r\n");
    cr_assert(fixture.kept == std::vector<std::string>({body + "d1\n"}));
    cr_assert_eq(memory.responses().used(), Base::Bytes(0));
}

/// Guards against a response of a sound server that is broken off, or a server that is avoided, as
/// others take the memory: it is passed on as it arrives.
Test(endlessresponses, aResponseIsPassedOnIfItCannotBeHeldBack)
{
    DaemonMemory memory(processMemory(1));
    FloodFixture fixture(memory);
    Base::MemoryLease others(memory.responses().newHolder());
    others.forceResize(megabyte);
    const std::string body(100'000, 'b');
    fixture.first.add({std::vector<std::string>(
        5, plainHead + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body)});
    for (int i = 0; i < 5; ++i) {
        fixture.request("/safe/", "r" + std::to_string(i));
        fixture.awaitResponse(body);
        fixture.received.clear();
    }
    cr_assert_eq(fixture.first.requests().size(), 5);
}

/// Guards against a sound server that pays for what a faulty one sent before.
Test(endlessresponses, bytesOfAnEarlierAttemptStayWithTheirServer)
{
    DaemonMemory memory(processMemory(1));
    FloodFixture fixture(memory);
    Contracts::RoutingDocument document = routing();
    document.version = Base::ConfigVersion(2);
    for (Contracts::Route &each : document.routes) {
        each.isHistoryKept = each.isHistoryKept || each.isResumable;
    }
    document.limits.bodyBytes = megabyte;
    fixture.passThrough().configure(document);
    Base::MemoryLease others(memory.responses().newHolder());
    others.forceResize(300'000);
    const std::string data(100'000, 'x');
    fixture.first.add({{streamHead + chunk("id: 1\ndata: " + data + "\n\n")}});
    fixture.second.add({{streamHead + chunk("id: 2\ndata: " + data + "\n\n") + "0\r\n\r\n"}});
    fixture.listServers(false);
    fixture.request("/resumable/", "r1");
    fixture.awaitResponse(data);
    fixture.listServers(true);
    fixture.first.closeConnections();
    fixture.awaitResponse("0\r\n\r\n");
    cr_assert_eq(fixture.kept.size(), 1);
    cr_assert_eq(memory.responses().used(), Base::Bytes(300'000));
}

/// Guards against sound servers that count as faulty, as a stream that has all events that its
/// caller allows is taken up again there.
Test(endlessresponses, anOverlongStreamIsNotTakenUpAgain)
{
    Fixture fixture;
    Contracts::RoutingDocument document = routing();
    document.services = {{Base::ServiceId("s"), Base::Tokens(20)}};
    fixture.passThrough().configure(document);
    fixture.listServers(true);
    for (ScriptedServer *server : {&fixture.first, &fixture.second}) {
        server->add({{streamHead + chunk(event(1) + event(2)), chunk(event(3))}});
    }
    fixture.request("/resumable/", "r1", "Max-Output: 40\r\n");
    fixture.awaitResponse(event(2));
    ScriptedServer &flooder = fixture.first.requests().empty() ? fixture.second : fixture.first;
    flooder.sendNext("r1");
    fixture.awaitClose();
    cr_assert_eq(requestCount(fixture), 1);
}

/// Guards against tables that grow with the length of what callers call their requests and
/// programs.
Test(endlessresponses, longIdsAreRefused)
{
    Fixture fixture;
    fixture.configure();
    fixture.listServers(false);
    const std::string longId(129, 'x');
    fixture.request("/stream/", longId);
    fixture.awaitResponse("HTTP/1.1 400");
    for (const char *field : {"Program", "Previous", "Resumes"}) {
        fixture.received.clear();
        fixture.request("/stream/", "r1", std::string(field) + ": " + longId + "\r\n");
        fixture.awaitResponse("HTTP/1.1 400");
    }
    cr_assert_eq(requestCount(fixture), 0);
}

/// Guards against idle connections that keep the last request that was sent on them.
Test(endlessresponses, anIdleConnectionKeepsNoRequest)
{
    constexpr std::size_t requestBytes = 4 * megabyte;
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor(context, {asio::ip::address_v4::loopback(), 0});
    const auto connection = std::make_shared<ClientConnection>(context, acceptor.local_endpoint());
    std::string problem = "not connected";
    connection->connect(guardTime, [&](const std::string &result) { problem = result; });
    asio::ip::tcp::socket server = acceptor.accept();
    while (problem == "not connected") {
        context.run_one();
    }
    cr_assert(problem.empty());
    const std::size_t before = heapBytes();
    std::optional<ResponseEnd> end;
    ClientConnection::Handlers handlers;
    handlers.onHead = [](const auto &, const auto &) { return HeadVerdict::Accept; };
    handlers.onBody = [](const std::string &) {};
    handlers.onEnd = [&](ResponseEnd result, const std::string &) { end = result; };
    connection->send(std::string(requestBytes, 'x'), false, std::move(handlers));
    std::array<char, 4096> discarded{};
    for (std::size_t received = 0; received < requestBytes; context.poll()) {
        received += server.read_some(asio::buffer(discarded));
    }
    asio::write(server, asio::buffer("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", 38));
    while (!end) {
        context.run_one();
    }
    cr_assert_eq(*end, ResponseEnd::Complete);
    cr_assert(connection->isReusable());
    cr_assert_lt(heapBytes(), before + megabyte);
}
