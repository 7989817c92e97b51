#pragma once

#include <asio/ip/tcp.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace Crowd {

/// Bytes that several clients send.
using Bytes = std::shared_ptr<const std::string>;

/// Clients that send their bytes as far as the daemon takes them, and then hold their connections
/// open without reading.
class ClientCrowd
{
public:
    explicit ClientCrowd(const asio::ip::tcp::endpoint &daemon);
    ~ClientCrowd();

    ClientCrowd(const ClientCrowd &) = delete;
    ClientCrowd &operator=(const ClientCrowd &) = delete;

    /// Connects the clients; each sends a head and the body.
    void add(int clients, const std::string &head, const Bytes &body);
    /// Sends until no client makes progress any more; the observer is called after each round.
    void settle(const std::function<void()> &observer);
    void closeAll();

private:
    struct Client
    {
        int socket = -1;
        Bytes head;
        Bytes body;
        std::size_t sent = 0;
    };

    static bool advance(Client &client);
    static std::string_view unsent(const Client &client);

    asio::ip::tcp::endpoint daemon_;
    std::vector<Client> clients_;
};

/// The status, the head and the body of a response.
struct Response
{
    /// 0 if no complete response came.
    int status = 0;
    std::string head;
    std::string body;
};

/// Sends one request on a connection of its own and waits for the response.
Response requestOnce(const asio::ip::tcp::endpoint &daemon,
                     const std::string &method,
                     const std::string &target,
                     const std::string &key,
                     const std::string &body);

/// The head of a request up to the fields that frame its body.
std::string requestHead(const std::string &method,
                        const std::string &target,
                        const std::string &key);

} // namespace Crowd
