#include "crowdclient.h"

#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <chrono>
#include <system_error>

namespace Crowd {

namespace {

/// Time without progress after which the clients have sent what the daemon takes.
constexpr auto quietTime = std::chrono::seconds(2);
constexpr auto pollInterval = std::chrono::milliseconds(20);

/// Only bounds a test that would wait for ever.
constexpr timeval responseTimeout{30, 0};

int connectTo(const asio::ip::tcp::endpoint &daemon)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (socket < 0
        || ::connect(socket, daemon.data(), static_cast<socklen_t>(daemon.size())) != 0) {
        const int error = errno;
        ::close(socket);
        throw std::system_error(error, std::generic_category(), "connect to the daemon");
    }
    return socket;
}

std::string receiveAll(int socket)
{
    std::string received;
    std::array<char, 16 * 1024> buffer{};
    for (ssize_t size = 0; (size = ::recv(socket, buffer.data(), buffer.size(), 0)) > 0;) {
        received.append(buffer.data(), static_cast<std::size_t>(size));
    }
    return received;
}

Response parseResponse(const std::string &received)
{
    constexpr std::string_view version = "HTTP/1.1 ";
    const std::size_t end = received.find("\r\n\r\n");
    if (!received.starts_with(version) || end == std::string::npos) {
        return {};
    }
    return {std::atoi(received.c_str() + version.size()),
            received.substr(0, end),
            received.substr(end + 4)};
}

} // namespace

ClientCrowd::ClientCrowd(const asio::ip::tcp::endpoint &daemon)
    : daemon_(daemon)
{}

ClientCrowd::~ClientCrowd()
{
    closeAll();
}

void ClientCrowd::add(int clients, const std::string &head, const Bytes &body)
{
    const Bytes sharedHead = std::make_shared<const std::string>(head);
    for (int i = 0; i < clients; ++i) {
        Client client{connectTo(daemon_), sharedHead, body, 0};
        ::fcntl(client.socket, F_SETFL, O_NONBLOCK);
        clients_.push_back(std::move(client));
    }
}

std::string_view ClientCrowd::unsent(const Client &client)
{
    if (client.sent < client.head->size()) {
        return std::string_view(*client.head).substr(client.sent);
    }
    return std::string_view(*client.body).substr(client.sent - client.head->size());
}

/// Returns whether bytes were sent.
bool ClientCrowd::advance(Client &client)
{
    bool isAdvanced = false;
    while (!unsent(client).empty()) {
        const std::string_view bytes = unsent(client);
        const ssize_t size = ::send(client.socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (size < 0) {
            if (errno != EAGAIN && errno != EINTR) {
                // The daemon closed the connection, which it may do.
                client.sent = client.head->size() + client.body->size();
            }
            break;
        }
        client.sent += static_cast<std::size_t>(size);
        isAdvanced = true;
    }
    return isAdvanced;
}

void ClientCrowd::settle(const std::function<void()> &observer)
{
    auto lastProgress = std::chrono::steady_clock::now();
    while (std::chrono::steady_clock::now() - lastProgress < quietTime) {
        std::size_t advanced = 0;
        for (Client &client : clients_) {
            advanced += advance(client) ? 1 : 0;
        }
        if (advanced > 0) {
            lastProgress = std::chrono::steady_clock::now();
        }
        observer();
        ::poll(nullptr, 0, static_cast<int>(pollInterval.count()));
    }
}

void ClientCrowd::closeAll()
{
    for (const Client &client : clients_) {
        ::close(client.socket);
    }
    clients_.clear();
}

std::string requestHead(const std::string &method,
                        const std::string &target,
                        const std::string &key)
{
    return method + " " + target + " HTTP/1.1\r\nHost: daemon\r\nAuthorization: Bearer " + key
           + "\r\nContent-Type: application/json\r\n";
}

Response requestOnce(const asio::ip::tcp::endpoint &daemon,
                     const std::string &method,
                     const std::string &target,
                     const std::string &key,
                     const std::string &body)
{
    const int socket = connectTo(daemon);
    ::setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &responseTimeout, sizeof responseTimeout);
    const std::string request = requestHead(method, target, key) + "Connection: close\r\n"
                                + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n"
                                + body;
    std::size_t sent = 0;
    while (sent < request.size()) {
        const ssize_t size
            = ::send(socket, request.data() + sent, request.size() - sent, MSG_NOSIGNAL);
        if (size < 0) {
            break; // the response says why, if there is one
        }
        sent += static_cast<std::size_t>(size);
    }
    Response response = parseResponse(receiveAll(socket));
    ::close(socket);
    return response;
}

} // namespace Crowd
