#include "httpserver.h"

#include "requestlog.h"

#include <arpa/inet.h>
#include <sys/socket.h>

#include <future>

namespace Fakes {

namespace {

using Traits = restinio::default_traits_t;
using ServerHandle = restinio::running_server_handle_t<Traits>;

constexpr auto longestExchange = std::chrono::hours(1);
constexpr int highestDescriptor = 2048;

bool isEndpoint(const sockaddr_in &found, const asio::ip::tcp::endpoint &expected)
{
    return found.sin_family == AF_INET && ntohs(found.sin_port) == expected.port()
           && expected.address().is_v4()
           && ntohl(found.sin_addr.s_addr) == expected.address().to_v4().to_uint();
}

int findDescriptor(const asio::ip::tcp::endpoint &remote, std::uint16_t localPort)
{
    for (int descriptor = 3; descriptor < highestDescriptor; ++descriptor) {
        sockaddr_in peer{};
        socklen_t size = sizeof peer;
        if (getpeername(descriptor, reinterpret_cast<sockaddr *>(&peer), &size) != 0
            || !isEndpoint(peer, remote)) {
            continue;
        }
        sockaddr_in local{};
        size = sizeof local;
        if (getsockname(descriptor, reinterpret_cast<sockaddr *>(&local), &size) == 0
            && ntohs(local.sin_port) == localPort) {
            return descriptor;
        }
    }
    return -1;
}

restinio::http_status_line_t statusLine(int status)
{
    const auto code = restinio::http_status_code_t(static_cast<std::uint16_t>(status));
    return {code, status < 400 ? "OK" : "Refused"};
}

} // namespace

class HttpServer::Running
{
public:
    asio::io_context context;
    ServerHandle server;
};

HttpServer::HttpServer(std::function<void(const Request &)> handler, std::function<void()> cleanUp)
    : handler_(std::move(handler))
    , cleanUp_(std::move(cleanUp))
{}

HttpServer::~HttpServer()
{
    stop();
}

void HttpServer::start(std::uint16_t port, const std::string &address)
{
    stop();
    address_ = address;
    running_ = std::make_unique<Running>();
    auto onBound
        = [this](asio::ip::tcp::acceptor &acceptor) { port_ = acceptor.local_endpoint().port(); };
    auto onRequest = [this](const Request &request) {
        handler_(request);
        return restinio::request_accepted();
    };
    running_->server = restinio::run_async(restinio::external_io_context(running_->context),
                                           restinio::server_settings_t<Traits>()
                                               .address(address)
                                               .port(port)
                                               .acceptor_post_bind_hook(onBound)
                                               .read_next_http_message_timelimit(longestExchange)
                                               .handle_request_timeout(longestExchange)
                                               .write_http_response_timelimit(longestExchange)
                                               .max_pipelined_requests(1)
                                               .request_handler(onRequest),
                                           1);
}

void HttpServer::stop()
{
    if (!running_) {
        return;
    }
    if (cleanUp_) {
        std::promise<void> cleaned;
        asio::post(running_->context, [this, &cleaned] {
            cleanUp_();
            cleaned.set_value();
        });
        cleaned.get_future().wait();
    }
    running_->server->stop();
    running_->server->wait();
    running_->server.reset();
    running_.reset();
}

std::uint16_t HttpServer::port() const
{
    return port_;
}

std::string HttpServer::url() const
{
    return "http://" + address_ + ":" + std::to_string(port_);
}

asio::io_context &HttpServer::context()
{
    return running_->context;
}

PeerSocket::PeerSocket(const Request &request, std::uint16_t localPort)
    : descriptor_(findDescriptor(request->remote_endpoint(), localPort))
{}

bool PeerSocket::isClosedByPeer() const
{
    char byte = 0;
    const auto count = recv(descriptor_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void PeerSocket::shutDown() const
{
    ::shutdown(descriptor_, SHUT_RDWR);
}

ReceivedRequest toReceived(const Request &request)
{
    ReceivedRequest received;
    received.method = request->header().method().c_str();
    received.target = request->header().request_target();
    received.body = request->body();
    received.connection = request->connection_id();
    request->header().for_each_field([&received](const auto &field) {
        received.headers += field.name() + ": " + field.value() + "\n";
    });
    return received;
}

nlohmann::json toJson(const ReceivedRequest &received)
{
    return {{"method", received.method},
            {"target", received.target},
            {"headers", received.headers},
            {"body", received.body}};
}

nlohmann::json toJson(const std::vector<ReceivedRequest> &requests)
{
    nlohmann::json list = nlohmann::json::array();
    for (const ReceivedRequest &request : requests) {
        list.push_back(toJson(request));
    }
    return list;
}

nlohmann::json parseBody(const Request &request)
{
    return nlohmann::json::parse(request->body(), nullptr, false);
}

std::string header(const Request &request, const std::string &name)
{
    return request->header().get_field_or(name, std::string());
}

void answer(const Request &request, int status, std::string body, const std::string &contentType)
{
    request->create_response(statusLine(status))
        .append_header(restinio::http_field::content_type, contentType)
        .set_body(std::move(body))
        .done();
}

void answer(const Request &request, int status, const nlohmann::json &body)
{
    answer(request, status, body.dump());
}

StreamBuilder startStream(const Request &request, const std::string &contentType)
{
    auto builder = request->create_response<restinio::chunked_output_t>(statusLine(200));
    builder.append_header(restinio::http_field::content_type, contentType);
    builder.flush();
    return builder;
}

} // namespace Fakes
