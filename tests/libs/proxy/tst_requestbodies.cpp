#include "passthroughfixture.h"

#include <libs/loopback.h>
#include <proxy/documentexchange.h>

#include <asio/read.hpp>
#include <libs/heapuse.h>

namespace {

constexpr std::size_t megabyte = 1'000'000;

std::string headText(const std::string &path,
                     const std::string &key,
                     std::size_t length,
                     const std::string &more = "")
{
    return "POST " + path + " HTTP/1.1\r\nHost: x.example\r\nAuthorization: Bearer " + key
           + "\r\nRequest-Id: r\r\nContent-Length: " + std::to_string(length) + "\r\n" + more
           + "\r\n";
}

/// A caller on a connection of its own that sends without waiting for the response.
class SendingCaller
{
public:
    SendingCaller(Fixture &fixture, std::string bytes)
        : socket_(fixture.context())
        , bytes_(std::move(bytes))
    {
        socket_.connect(fixture.address());
        asio::async_write(
            socket_, asio::buffer(bytes_), [this](const std::error_code &error, std::size_t) {
                sendError = error;
                isSent = true;
                std::string().swap(bytes_);
            });
        read();
    }

    void leave() { socket_.close(); }
    void send(const std::string &bytes) { asio::write(socket_, asio::buffer(bytes)); }

    std::string received;
    std::error_code sendError;
    std::error_code closeError;
    bool isSent = false;
    bool isClosed = false;

private:
    void read()
    {
        socket_.async_read_some(asio::buffer(buffer_),
                                [this](const std::error_code &error, std::size_t size) {
                                    if (error) {
                                        closeError = error;
                                        isClosed = true;
                                        return;
                                    }
                                    received.append(buffer_.data(), size);
                                    read();
                                });
    }

    asio::ip::tcp::socket socket_;
    std::string bytes_;
    std::array<char, 4096> buffer_{};
};

/// Routes whose requests may have bodies of up to 4 MB.
Contracts::RoutingDocument largeBodies()
{
    Contracts::RoutingDocument document = routing();
    document.limits.bodyBytes = 4 * megabyte;
    return document;
}

/// A request that the daemon refuses whatever its body is.
struct Refused
{
    int status;
    std::string path;
    std::string key;
    bool isConfigured = true;
};

std::vector<Refused> refusedRequests()
{
    return {{503, "/safe/", "secret", false},
            {404, "/none/", "secret"},
            {401, "/safe/", "unknown"},
            {413, "/safe/", "secret"}};
}

/// The length of a body for that request.
std::size_t bodyLength(const Refused &request)
{
    return (request.status == 413 ? 5 : 3) * megabyte;
}

void configure(Fixture &fixture, const Refused &request)
{
    if (request.isConfigured) {
        fixture.passThrough().configure(largeBodies());
        fixture.listServers(false);
    }
}

std::string statusLine(int status)
{
    return "HTTP/1.1 " + std::to_string(status) + " ";
}

} // namespace

/// Guards against a daemon that keeps the bodies of requests which it cannot serve.
Test(requestbodies, aRefusalDoesNotWaitForTheBody)
{
    for (const Refused &request : refusedRequests()) {
        Fixture fixture;
        configure(fixture, request);
        fixture.send(headText(request.path, request.key, bodyLength(request)) + "part");
        fixture.awaitResponse(statusLine(request.status));
        fixture.awaitClose();
        cr_assert(fixture.received.find("Connection: close") != std::string::npos);
        cr_assert_eq(fixture.passThrough().activeRequests(), 0);
        cr_assert_eq(requestCount(fixture), 0);
    }
}

/// Guards against a caller that is asked for a body which is then refused.
Test(requestbodies, aRefusedRequestIsNotContinued)
{
    for (const Refused &request : refusedRequests()) {
        Fixture fixture;
        configure(fixture, request);
        fixture.send(
            headText(request.path, request.key, bodyLength(request), "Expect: 100-continue\r\n"));
        fixture.awaitClose();
        cr_assert(fixture.received.starts_with(statusLine(request.status)),
                  "received: %s",
                  fixture.received.c_str());
    }
}

/// Guards against a reset that overtakes the refusal while the caller still sends its body.
Test(requestbodies, aCallerThatSendsOnGetsTheRefusal)
{
    for (const Refused &request : refusedRequests()) {
        Fixture fixture;
        configure(fixture, request);
        const std::size_t length = bodyLength(request);
        SendingCaller caller(
            fixture, headText(request.path, request.key, length) + std::string(length, 'x'));
        fixture.runUntil([&] { return caller.isClosed; }, "the connection is closed");
        cr_assert(caller.received.starts_with(statusLine(request.status)),
                  "received: %s",
                  caller.received.c_str());
        cr_assert(!caller.sendError, "%d: %s", request.status, caller.sendError.message().c_str());
        cr_assert(caller.closeError == asio::error::eof,
                  "%d: %s",
                  request.status,
                  caller.closeError.message().c_str());
    }
}

/// Guards against a refused caller that keeps its connection open by sending without end.
Test(requestbodies, aCallerThatSendsWithoutEndIsCutOff)
{
    Fixture fixture;
    fixture.passThrough().configure(largeBodies());
    const std::string head = "POST /none/ HTTP/1.1\r\nHost: x.example\r\n"
                             "Transfer-Encoding: chunked\r\n\r\n";
    SendingCaller caller(fixture, head + chunk(std::string(40 * megabyte, 'x')));
    fixture.runUntil([&] { return caller.isClosed && caller.isSent; }, "the caller is cut off");
    cr_assert(caller.sendError);
}

/// Guards against a daemon that runs out of memory as callers with unknown keys hold back the ends
/// of their bodies.
Test(requestbodies, bodiesOfUnknownCallersAreNotKept)
{
    constexpr int count = 10;
    Fixture fixture;
    fixture.passThrough().configure(largeBodies());
    const std::string bytes
        = headText("/safe/", "unknown", 4 * megabyte) + std::string(4 * megabyte - 10, 'x');
    std::vector<std::unique_ptr<SendingCaller>> callers;
    const std::size_t before = heapBytes();
    std::size_t highest = before;
    for (int i = 0; i < count; ++i) {
        callers.push_back(std::make_unique<SendingCaller>(fixture, bytes));
        fixture.runUntil([&] { return callers.back()->isSent; }, "the body is sent");
        highest = std::max(highest, heapBytes());
    }
    cr_assert_lt(highest, before + 10 * megabyte, "%zu bytes more", highest - before);
}

/// Guards against a request that is run by a configuration which was replaced while its body
/// arrived.
Test(requestbodies, aCompleteRequestIsCheckedAgain)
{
    Fixture fixture;
    fixture.configure();
    fixture.listServers(false);
    fixture.send(headText("/safe/", "secret", 8) + "part");
    fixture.runUntil([&] { return fixture.passThrough().openConnections() == 1; }, "connected");
    fixture.context().poll();
    Contracts::RoutingDocument document = routing();
    document.version = Base::ConfigVersion(2);
    std::erase_if(document.routes, [](const auto &each) { return each.pathPrefix == "/safe/"; });
    fixture.passThrough().configure(document);
    fixture.send("rest");
    fixture.awaitResponse(statusLine(404));
    cr_assert_eq(requestCount(fixture), 0);
}

namespace {

/// Memory of which each part gets 6 MB.
constexpr Base::Bytes processMemory{62 * 1'000'000};

/// How a caller states the length of its body.
struct HeldBack
{
    const char *name;
    std::string head;
    std::string body;
};

/// Requests with bodies of 1 MB without their last bytes.
std::vector<HeldBack> heldBackRequests()
{
    const std::string part(megabyte - 10, 'x');
    return {{"a stated length", headText("/safe/", "secret", megabyte), part},
            {"chunks",
             "POST /safe/ HTTP/1.1\r\nHost: x.example\r\nAuthorization: Bearer secret\r\n"
             "Request-Id: r\r\nTransfer-Encoding: chunked\r\n\r\n",
             chunk(part)}};
}

} // namespace

/// Guards against a daemon that runs out of memory as many callers hold back the ends of their
/// bodies, and ends the requests of all others with it.
Test(requestbodies, unfinishedBodiesDoNotTakeTheMemoryOfTheDaemon)
{
    constexpr int count = 20;
    for (const HeldBack &request : heldBackRequests()) {
        DaemonMemory memory(processMemory);
        Fixture fixture;
        fixture.passThrough().setMemory(memory);
        fixture.passThrough().configure(largeBodies());
        fixture.listServers(false);
        fixture.first.add({{okResponse}});
        std::vector<std::unique_ptr<SendingCaller>> callers;
        const std::size_t before = heapBytes();
        std::size_t highest = before;
        for (int i = 0; i < count; ++i) {
            callers.push_back(
                std::make_unique<SendingCaller>(fixture, request.head + request.body));
            fixture.runUntil([&] { return callers.back()->isSent; }, "the body is sent");
            fixture.context().poll();
            highest = std::max(highest, heapBytes());
        }
        cr_assert_lt(
            highest, before + 9 * megabyte, "%s: %zu bytes more", request.name, highest - before);
        cr_assert_leq(memory.requests().peak(), memory.requests().capacity(), "%s", request.name);
        cr_assert_gt(memory.requests().used(), Base::Bytes(megabyte), "%s", request.name);
        const std::string &refusal = callers.back()->received;
        cr_assert(refusal.starts_with(statusLine(503)), "%s: %s", request.name, refusal.c_str());
        cr_assert(refusal.find("Retry-After: ") != std::string::npos, "%s", request.name);
        fixture.request("/safe/", "small");
        fixture.awaitResponse("hello");
        for (const auto &caller : callers) {
            caller->leave();
        }
        fixture.runUntil([&] { return memory.requests().used() == Base::Bytes(0); },
                         "the memory is given back");
    }
}

/// Guards against a daemon that runs out of memory as many callers hold back the ends of their
/// heads.
Test(requestbodies, headsThatDoNotFitAreRefused)
{
    constexpr int count = 60;
    DaemonMemory memory(Base::Bytes(33 * 1'000'000));
    Fixture fixture;
    fixture.passThrough().setMemory(memory);
    fixture.configure();
    fixture.listServers(false);
    fixture.first.add({{okResponse}});
    const std::string head = "GET /safe/ HTTP/1.1\r\nX-Fill: " + std::string(15'000, 'x');
    std::vector<std::unique_ptr<SendingCaller>> callers;
    for (int i = 0; i < count; ++i) {
        callers.push_back(std::make_unique<SendingCaller>(fixture, head));
        fixture.runUntil([&] { return callers.back()->isSent; }, "the head is sent");
    }
    fixture.runUntil([&] { return !callers.back()->received.empty(); }, "the last one is refused");
    cr_assert(callers.back()->received.starts_with(statusLine(503)));
    cr_assert(callers.back()->received.find("Retry-After: ") != std::string::npos);
    cr_assert_leq(memory.heads().peak(), memory.heads().capacity());
    cr_assert_gt(memory.heads().used(), Base::Bytes(100'000));
    fixture.request("/safe/", "small");
    fixture.awaitResponse("hello");
    for (const auto &caller : callers) {
        caller->leave();
    }
    fixture.runUntil([&] { return memory.heads().used() == Base::Bytes(0); },
                     "the memory is given back");
}

/// Guards against memory that stays leased after a request ended.
Test(requestbodies, aCompleteRequestGivesItsMemoryBack)
{
    for (const HeldBack &request : heldBackRequests()) {
        DaemonMemory memory(processMemory);
        Fixture fixture;
        fixture.passThrough().setMemory(memory);
        fixture.passThrough().configure(largeBodies());
        fixture.listServers(false);
        fixture.first.add({{okResponse}});
        SendingCaller caller(fixture, request.head + request.body);
        fixture.runUntil([&] { return caller.isSent; }, "the body is sent");
        const bool isChunked = std::string(request.name) == "chunks";
        caller.send(isChunked ? chunk("0123456789") + "0\r\n\r\n" : "0123456789");
        fixture.runUntil([&] { return caller.received.find("hello") != std::string::npos; },
                         "the response arrives");
        cr_assert(fixture.first.requests().back().ends_with("xxx0123456789"), "%s", request.name);
        cr_assert_geq(memory.requests().peak(), Base::Bytes(megabyte), "%s", request.name);
        cr_assert_eq(memory.requests().used(), Base::Bytes(0), "%s", request.name);
    }
}

/// Guards against a caller that keeps memory for ever by sending its body a byte at a time.
Test(requestbodies, aBodyThatTricklesEnds)
{
    DaemonMemory memory(processMemory);
    Fixture fixture;
    fixture.passThrough().setMemory(memory);
    Contracts::RoutingDocument document = largeBodies();
    document.limits.idleTimeout = std::chrono::milliseconds(300);
    for (Contracts::Route &each : document.routes) {
        each.timeout = std::chrono::milliseconds(600);
    }
    fixture.passThrough().configure(document);
    SendingCaller caller(fixture, headText("/safe/", "secret", megabyte));
    asio::steady_timer pause(fixture.context());
    std::function<void()> trickle = [&] {
        pause.expires_after(std::chrono::milliseconds(50));
        pause.async_wait([&](const std::error_code &) {
            if (caller.received.empty() && !caller.isClosed) {
                caller.send("x");
                trickle();
            }
        });
    };
    const auto start = std::chrono::steady_clock::now();
    trickle();
    fixture.runUntil([&] { return !caller.received.empty(); }, "the request is refused");
    cr_assert(caller.received.starts_with(statusLine(408)), "%s", caller.received.c_str());
    cr_assert_geq((std::chrono::steady_clock::now() - start).count(),
                  std::chrono::nanoseconds(std::chrono::milliseconds(500)).count());
    cr_assert_eq(memory.requests().used(), Base::Bytes(0));
}

/// Guards against bodies that are kept for requests which need none.
Test(requestbodies, requestsForDocumentsHaveNoBodies)
{
    class SilentFixture : public Fixture
    {
    public:
        using Fixture::silentLog;
    } fixture;
    const auto address = freeEndpoint<asio::ip::tcp>();
    DocumentExchange documents(fixture.context(), address, SilentFixture::silentLog(), &steadyNow);
    documents.start();
    asio::ip::tcp::socket caller(fixture.context());
    caller.connect(address);
    asio::write(caller, asio::buffer(headText("/documents/main", "secret", 100'000)));
    std::array<char, 16> start{};
    bool isAnswered = false;
    asio::async_read(caller, asio::buffer(start), [&](const std::error_code &, std::size_t) {
        isAnswered = true;
    });
    fixture.runUntil([&] { return isAnswered; }, "the request is refused");
    cr_assert(std::string(start.data(), start.size()).starts_with(statusLine(413)));
}
