#include "passthroughfixture.h"

#include <malloc.h>

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

std::size_t heapBytes()
{
    const struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
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
