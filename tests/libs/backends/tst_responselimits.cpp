#include "waiting.h"

#include <backends/engineclient.h>
#include <backends/platformclient.h>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <criterion/criterion.h>

#include <array>
#include <atomic>
#include <thread>

using namespace Backends;

namespace {

/// Answers the first request with a head, and then sends a piece of it or of its body again and
/// again until the connection is closed.
class EndlessServer
{
public:
    EndlessServer(std::string head, std::string piece)
        : head_(std::move(head))
        , acceptor_(context_, {asio::ip::address_v4::loopback(), 0})
        , thread_([this, piece = std::move(piece)] { serve(piece); })
    {}

    ~EndlessServer() { thread_.join(); }

    std::string url() const
    {
        return "http://127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    }
    std::size_t sentBytes() const { return sentBytes_; }

private:
    void serve(const std::string &piece)
    {
        asio::ip::tcp::socket socket = acceptor_.accept();
        std::array<char, 4096> request{};
        socket.read_some(asio::buffer(request));
        std::error_code error;
        asio::write(socket, asio::buffer(head_), error);
        while (!error) {
            sentBytes_ += asio::write(socket, asio::buffer(piece), error);
        }
    }

    std::string head_;
    asio::io_context context_;
    asio::ip::tcp::acceptor acceptor_;
    std::atomic<std::size_t> sentBytes_ = 0;
    std::thread thread_;
};

struct Flood
{
    const char *name;
    std::string head;
    std::string piece;
};

const std::vector<Flood> floods{
    {"body without length", "HTTP/1.1 200 OK\r\n\r\n", std::string(100'000, 'x')},
    {"head", "HTTP/1.1 200 OK\r\n", "Field: " + std::string(1000, 'x') + "\r\n"},
    {"interim responses", "", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"}};

} // namespace

/// Guards against a daemon that runs out of memory on what an engine, or something else at its
/// address, sends without end.
Test(responselimits, aReportWithoutEndIsNoReport)
{
    for (const Flood &flood : floods) {
        EndlessServer server(flood.head, flood.piece);
        Arrivals<bool> reports;
        HttpClient http;
        EngineClient client(http);
        client.loadReport({Base::ServerId("e"), server.url()},
                          [&](const auto &report) { reports.add(report.has_value()); });
        cr_assert_not(reports.first(1).at(0), "%s", flood.name);
        cr_assert_lt(server.sentBytes(), 64'000'000U, "%s", flood.name);
    }
}

Test(responselimits, aResponseUpToTheLimitIsComplete)
{
    for (const std::size_t size : {1000U, 1001U}) {
        EndlessServer server("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(size)
                                 + "\r\n\r\n",
                             std::string(size, 'x'));
        Arrivals<HttpOutcome> outcomes;
        HttpClient http;
        HttpRequest request;
        request.url = server.url() + "/";
        request.maxResponseBytes = 1000;
        http.start(request, {.onDone = [&](const HttpOutcome &outcome) { outcomes.add(outcome); }});
        const HttpOutcome outcome = outcomes.first(1).at(0);
        cr_assert_eq(outcome.end, size == 1000 ? HttpEnd::Complete : HttpEnd::Broken);
        cr_assert_eq(outcome.ran == Base::Ran::Ran, size == 1000);
    }
}
