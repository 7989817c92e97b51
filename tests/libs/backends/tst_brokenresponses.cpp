#include "waiting.h"

#include <backends/plainserviceclient.h>
#include <libs/httplines.h>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <criterion/criterion.h>

#include <array>
#include <thread>

using namespace Backends;

namespace {

/// More than the buffers of both ends of a connection take.
constexpr std::size_t uploadBytes = 8'000'000;
constexpr int smallReceiveBuffer = 4 * 1024;

const std::string framedHead = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n";
const std::string framed = framedHead + "\r\nhello";
const std::string chunkedBody = "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n";
const std::string chunked = "HTTP/1.1 200 OK\r\n" + chunkedBody + "\r\n";
const std::string unframed = "HTTP/1.1 200 OK\r\n\r\nhello";

/// How a server ends the connection after its response.
enum class Ending {
    Reset,
    /// The system resets the connection, as the server leaves bytes unread.
    Closed,
    /// The server sends no more, and reads until the client closes the connection.
    ShutDown
};

/// Responds to one request once its first bytes have arrived. Before it closes or resets the
/// connection, waits until the client cannot send more.
class HastyServer
{
public:
    HastyServer(std::string response, Ending ending)
        : response_(std::move(response))
        , ending_(ending)
        , acceptor_(context_, {asio::ip::address_v4::loopback(), 0})
    {
        acceptor_.set_option(asio::socket_base::receive_buffer_size(smallReceiveBuffer));
        thread_ = std::thread([this] { serve(); });
    }

    ~HastyServer() { thread_.join(); }

    std::string url() const
    {
        return "http://127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    }

private:
    void serve()
    {
        asio::ip::tcp::socket socket = acceptor_.accept();
        std::array<char, 4096> buffer{};
        std::error_code error; // the client may close the connection at any time
        socket.read_some(asio::buffer(buffer), error);
        if (ending_ != Ending::ShutDown) {
            waitUntilStalled(socket);
        }
        asio::write(socket, asio::buffer(response_), error);
        if (ending_ == Ending::Reset) {
            socket.set_option(asio::socket_base::linger(true, 0), error);
            socket.close(error); // the destructor drops the option
        } else if (ending_ == Ending::ShutDown) {
            socket.shutdown(asio::ip::tcp::socket::shutdown_send, error);
            while (!error) {
                socket.read_some(asio::buffer(buffer), error);
            }
        }
    }

    static void waitUntilStalled(const asio::ip::tcp::socket &socket)
    {
        constexpr auto interval = std::chrono::milliseconds(20);
        std::size_t before = 0;
        do {
            before = socket.available();
            std::this_thread::sleep_for(interval);
        } while (socket.available() != before);
    }

    std::string response_;
    Ending ending_;
    asio::io_context context_;
    asio::ip::tcp::acceptor acceptor_;
    std::thread thread_;
};

struct Answer
{
    HttpOutcome outcome;
    std::optional<HttpReplyHead> head;
    std::string body;
};

Answer answerTo(std::size_t bodyBytes, const std::string &response, Ending ending)
{
    HastyServer server(response, ending);
    Arrivals<HttpOutcome> outcomes;
    Answer answer;
    HttpClient http;
    HttpRequest request;
    request.method = "POST";
    request.url = server.url() + "/";
    request.body.assign(bodyBytes, 'u');
    http.start(std::move(request),
               {.onHeaders = [&](const HttpReplyHead &head) { answer.head = head; },
                .onData =
                    [&](std::string_view data) {
                        answer.body += data;
                        return FlowControl::Continue;
                    },
                .onDone = [&](const HttpOutcome &outcome) { outcomes.add(outcome); }});
    answer.outcome = outcomes.first(1).at(0);
    return answer;
}

void expectBroken(const std::string &response)
{
    const Answer answer = answerTo(10, response, Ending::ShutDown);
    cr_expect(answer.outcome.end == HttpEnd::Broken, "accepted: %s", response.c_str());
    cr_expect(answer.outcome.ran == Base::Ran::MayHaveRun, "%s", response.c_str());
    cr_expect(!answer.outcome.message.empty(), "%s", response.c_str());
}

void expectComplete(const std::string &response, int status)
{
    const Answer answer = answerTo(10, response, Ending::ShutDown);
    cr_expect(answer.outcome.end == HttpEnd::Complete,
              "%s: %s",
              response.c_str(),
              answer.outcome.message.c_str());
    cr_expect(answer.head && answer.head->status == status, "%s", response.c_str());
    cr_expect_eq(answer.body, "hello", "%s", response.c_str());
}

std::string statusResponse(const std::string &status, const std::string &body)
{
    return "HTTP/1.1 " + status + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"
           + body;
}

/// An interim response with these field lines, and behind it one that is complete.
std::string interimAndFramed(const std::string &status, const std::string &fields)
{
    return "HTTP/1.1 " + status + "\r\n" + fields + "\r\n" + framed;
}

std::string responseWithStartLine(const std::string &line)
{
    return line + "\r\nContent-Length: 5\r\n\r\nhello";
}

std::string headWith(const std::string &line)
{
    return framedHead + line + "\r\n\r\nhello";
}

std::string trailersWith(const std::string &line)
{
    return "HTTP/1.1 200 OK\r\n" + chunkedBody + line + "\r\n\r\n";
}

} // namespace

/// Guards against a part of a response that its caller gets as the whole one, as the server reset
/// the connection while the request was still being sent.
Test(brokenresponses, aResponseThatIsResetDuringTheUploadIsBroken)
{
    for (const Ending ending : {Ending::Reset, Ending::Closed}) {
        const HttpOutcome outcome = answerTo(uploadBytes, unframed, ending).outcome;
        cr_expect(outcome.end == HttpEnd::Broken, "ending %d", static_cast<int>(ending));
        cr_expect(outcome.ran == Base::Ran::MayHaveRun);
    }
}

/// Guards against a whole response that is dropped because the server did not read the request.
Test(brokenresponses, aWholeResponseDuringTheUploadIsComplete)
{
    for (const Ending ending : {Ending::Reset, Ending::Closed, Ending::ShutDown}) {
        const Answer answer = answerTo(uploadBytes, framed, ending);
        cr_expect(answer.outcome.end == HttpEnd::Complete,
                  "ending %d: %s",
                  static_cast<int>(ending),
                  answer.outcome.message.c_str());
        cr_expect_eq(answer.body, "hello");
    }
    for (const std::string &response : {chunked, unframed}) {
        const Answer answer = answerTo(uploadBytes, response, Ending::ShutDown);
        cr_expect(answer.outcome.end == HttpEnd::Complete, "%s", answer.outcome.message.c_str());
        cr_expect_eq(answer.body, "hello");
    }
}

/// Guards against the same for a response whose length is not known before.
Test(brokenresponses, aWholeChunkedResponseDuringTheUploadIsComplete)
{
    for (const Ending ending : {Ending::Reset, Ending::Closed}) {
        const Answer answer = answerTo(uploadBytes, chunked, ending);
        cr_expect(answer.outcome.end == HttpEnd::Complete,
                  "ending %d: %s",
                  static_cast<int>(ending),
                  answer.outcome.message.c_str());
        cr_expect_eq(answer.body, "hello");
    }
}

/// Guards against a response whose status is no number of three digits from 100 to 599.
Test(brokenresponses, aResponseWithoutAStatusIsBroken)
{
    for (const std::string &status : invalidStatuses) {
        expectBroken(statusResponse(status, "hello"));
        expectBroken(statusResponse(status, framed));
    }
    for (const std::string &line : invalidStatusLines) {
        expectBroken(responseWithStartLine(line));
    }
    for (const std::string &status : validStatuses) {
        expectComplete(statusResponse(status, "hello"), std::stoi(status));
    }
}

/// Guards against the body of an interim response, which has none, that counts as the response.
Test(brokenresponses, anInterimResponseWithABodyIsBroken)
{
    for (const char *status : {"100 Continue", "103 Early Hints"}) {
        const std::string length = "Content-Length: " + std::to_string(framed.size()) + "\r\n";
        expectBroken(interimAndFramed(status, length));
        expectBroken(interimAndFramed(status, "Transfer-Encoding: chunked\r\n"));
        expectComplete(interimAndFramed(status, ""), 200);
        expectComplete(interimAndFramed(status, "Content-Length: 0\r\n"), 200);
    }
    expectBroken(interimAndFramed("101 Switching Protocols", ""));
}

/// Guards against a part of a response that counts as the whole one: a head that is cut off, as a
/// response without a body.
Test(brokenresponses, aResponseThatIsCutOffIsBroken)
{
    // libcurl does without the last line feed of a chunked body, whose last chunk has arrived then.
    for (const std::string &response : {framed, chunked.substr(0, chunked.size() - 1)}) {
        for (std::size_t cut = 0; cut < response.size(); ++cut) {
            expectBroken(response.substr(0, cut));
        }
    }
}

/// Guards against a head, or trailers, with a field that is none.
Test(brokenresponses, aMalformedFieldBreaksTheResponse)
{
    for (const std::string &line : malformedFieldLines) {
        expectBroken(headWith(line));
        expectBroken(trailersWith(line));
    }
    expectBroken("HTTP/1.1 200 OK\r\nContent-Length : 5\r\n\r\nhello");
    for (const std::string &line : soundFieldLines) {
        expectComplete(headWith(line), 200);
        expectComplete(trailersWith(line), 200);
    }
}

/// Guards against a malformed response that a caller of a service gets.
Test(brokenresponses, aMalformedResponseOfAServiceIsAnError)
{
    for (const std::string &response : {statusResponse("000", framed), headWith("X Y: v")}) {
        HastyServer server(response, Ending::ShutDown);
        Arrivals<Base::Ran> errors;
        HttpClient http;
        PlainServiceClient client(http);
        PlainCall call;
        call.baseUrl = server.url();
        call.target = "/";
        call.body = "body";
        client.call(call, [&](const Base::Result<PlainReply> &result) {
            errors.add(result.has_value() ? Base::Ran::Ran : result.error().ran);
        });
        cr_expect(errors.first(1).at(0) == Base::Ran::MayHaveRun, "%s", response.c_str());
    }
}
