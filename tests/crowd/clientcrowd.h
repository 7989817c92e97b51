#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <atomic>
#include <chrono>
#include <string>
#include <thread>

namespace Crowd {

/// What each client of a crowd sends on its connection before it falls silent.
struct CrowdRequest
{
    std::string text;
    /// Sent at a time; 0 stands for all at once.
    std::size_t pieceBytes = 0;
    /// Connections that a client opens, one after another as the daemon closes them.
    int connections = 1;
};

/// Clients on a thread of their own, which open their connections as fast as they can and keep them
/// open until the daemon closes them or the crowd is destroyed.
class ClientCrowd
{
public:
    ClientCrowd(CrowdRequest request, asio::ip::tcp::endpoint daemon, int count);
    ~ClientCrowd();

    ClientCrowd(const ClientCrowd &) = delete;
    ClientCrowd &operator=(const ClientCrowd &) = delete;

    /// Returns once each client has been connected and none has made progress for a while.
    void awaitQuiet() const;
    /// Connections that are open.
    int open() const { return open_; }
    /// Connections that were opened so far.
    int opened() const { return opened_; }

private:
    class Client;

    CrowdRequest request_;
    asio::ip::tcp::endpoint daemon_;
    int count_;
    std::atomic<int> open_ = 0;
    std::atomic<int> opened_ = 0;
    /// Changes with each step of a client.
    std::atomic<std::uint64_t> steps_ = 0;
    asio::io_context context_;
    std::jthread thread_;
};

/// A request of an ordinary client on a connection of its own. Returns the status of the complete
/// response, 0 if there is none.
int ordinaryRequest(const asio::ip::tcp::endpoint &daemon,
                    const std::string &text,
                    const asio::ip::address &source = asio::ip::address_v4::loopback());

} // namespace Crowd
