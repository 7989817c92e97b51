#pragma once

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <chrono>
#include <memory>
#include <set>

namespace Soak {

/// What a relay does with the bytes that pass through it.
enum class LinkFault {
    None,
    /// Every piece is held for a time.
    Delay,
    /// New connections are accepted and nothing passes in either direction.
    Silence,
    /// Nothing passes from the target back.
    SilentAnswers
};

/// Relays TCP connections to a target and disturbs them.
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

private:
    struct Link;

    void accept();
    void pump(const std::shared_ptr<Link> &link, bool isForward);
    void pass(const std::shared_ptr<Link> &link, bool isForward, std::size_t size);
    void forward(const std::shared_ptr<Link> &link, bool isForward, std::size_t size);
    void drop(const std::shared_ptr<Link> &link, bool isReset);
    bool isHeld(bool isForward) const;

    asio::io_context &context_;
    asio::ip::tcp::acceptor acceptor_;
    asio::ip::tcp::endpoint target_;
    LinkFault fault_ = LinkFault::None;
    std::chrono::milliseconds delay_{};
    std::set<std::shared_ptr<Link>> links_;
};

} // namespace Soak
