#pragma once

#include "receivedrequest.h"

#include <nlohmann/json.hpp>
#include <restinio/all.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace Fakes {

using Request = restinio::request_handle_t;
using StreamBuilder = restinio::response_builder_t<restinio::chunked_output_t>;

/// HTTP server of the stand-ins: RESTinio with one thread, in which every handler runs.
class HttpServer
{
public:
    /// The clean-up runs in the server's thread at stop(); it has to let go of kept requests.
    explicit HttpServer(std::function<void(const Request &)> handler,
                        std::function<void()> cleanUp = {});
    ~HttpServer();

    /// Throws std::runtime_error if the address is taken.
    void start(std::uint16_t port, const std::string &address);
    void stop();

    std::uint16_t port() const;
    std::string url() const;

    /// Only while the server runs.
    asio::io_context &context();

private:
    class Running;

    std::function<void(const Request &)> handler_;
    std::function<void()> cleanUp_;
    std::string address_;
    std::uint16_t port_ = 0;
    std::unique_ptr<Running> running_;
};

/// The caller's end of a request's connection. RESTinio neither closes a connection in the middle
/// of an answer nor notices a caller that leaves during one, so this works on the socket.
class PeerSocket
{
public:
    PeerSocket() = default;
    PeerSocket(const Request &request, std::uint16_t localPort);

    bool isClosedByPeer() const;
    /// Breaks the connection.
    void shutDown() const;

private:
    int descriptor_ = -1;
};

ReceivedRequest toReceived(const Request &request);
nlohmann::json toJson(const ReceivedRequest &received);

/// The body as JSON; discarded value if it is malformed.
nlohmann::json parseBody(const Request &request);

std::string header(const Request &request, const std::string &name);

void answer(const Request &request,
            int status,
            std::string body,
            const std::string &contentType = "application/json");
void answer(const Request &request, int status, const nlohmann::json &body);

/// Starts an answer that is sent in chunks.
StreamBuilder startStream(const Request &request, const std::string &contentType);

} // namespace Fakes
