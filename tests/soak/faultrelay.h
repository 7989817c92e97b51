#pragma once

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <chrono>
#include <memory>
#include <set>

namespace Soak {

/// Faults that a relay injects into its connections.
enum class LinkFault {
    None,
    /// Each chunk is delayed.
    Delay,
    /// Connections are accepted, but no bytes are forwarded in either direction.
    Stall,
    /// No bytes are forwarded from the target to the client.
    StallResponses
};

/// Relays TCP connections to a target and injects faults.
class FaultRelay
{
public:
    FaultRelay(asio::io_context &context,
               const asio::ip::tcp::endpoint &address,
               const asio::ip::tcp::endpoint &target);
    ~FaultRelay();

    asio::ip::tcp::endpoint endpoint() const { return acceptor_.local_endpoint(); }
    void setFault(LinkFault fault, std::chrono::milliseconds delay = {});
    /// Resets every connection.
    void resetAll();
    /// Resets every connection and refuses new ones, as if the target's process had ended.
    void close();
    /// Accepts connections again.
    void open();

private:
    struct Link;

    void accept();
    void readNext(const std::shared_ptr<Link> &link, bool isForward);
    void relay(const std::shared_ptr<Link> &link, bool isForward, std::size_t size);
    void forward(const std::shared_ptr<Link> &link, bool isForward, std::size_t size);
    void endDirection(const std::shared_ptr<Link> &link, bool isForward);
    void closeLink(const std::shared_ptr<Link> &link, bool isReset);
    bool isStalled(bool isForward) const;

    asio::io_context &context_;
    asio::ip::tcp::acceptor acceptor_;
    asio::ip::tcp::endpoint target_;
    LinkFault fault_ = LinkFault::None;
    std::chrono::milliseconds delay_{};
    std::set<std::shared_ptr<Link>> links_;
};

} // namespace Soak
