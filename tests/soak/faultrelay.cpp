#include "faultrelay.h"

#include <asio/write.hpp>

#include <array>

namespace Soak {

namespace {

/// Pause between looks whether a silent link passes bytes again.
constexpr auto heldPause = std::chrono::milliseconds(50);

} // namespace

struct FaultRelay::Link
{
    explicit Link(asio::io_context &context)
        : client(context)
        , server(context)
        , forwardTimer(context)
        , backTimer(context)
    {}

    asio::ip::tcp::socket client;
    asio::ip::tcp::socket server;
    asio::steady_timer forwardTimer;
    asio::steady_timer backTimer;
    std::array<char, 16'384> forward{};
    std::array<char, 16'384> back{};
};

FaultRelay::FaultRelay(asio::io_context &context,
                       const asio::ip::tcp::endpoint &address,
                       const asio::ip::tcp::endpoint &target)
    : context_(context)
    , acceptor_(context, address)
    , target_(target)
{
    accept();
}

FaultRelay::~FaultRelay() = default;

void FaultRelay::setFault(LinkFault fault, std::chrono::milliseconds delay)
{
    fault_ = fault;
    delay_ = delay;
}

void FaultRelay::resetAll()
{
    const auto links = links_;
    for (const auto &link : links) {
        drop(link, true);
    }
}

void FaultRelay::accept()
{
    const auto link = std::make_shared<Link>(context_);
    acceptor_.async_accept(link->client, [this, link](const std::error_code &error) {
        if (error) {
            return; // the soak has ended
        }
        links_.insert(link);
        link->server.async_connect(target_, [this, link](const std::error_code &problem) {
            if (problem) {
                drop(link, true);
                return;
            }
            link->client.set_option(asio::ip::tcp::no_delay(true));
            link->server.set_option(asio::ip::tcp::no_delay(true));
            pump(link, true);
            pump(link, false);
        });
        accept();
    });
}

bool FaultRelay::isHeld(bool isForward) const
{
    return fault_ == LinkFault::Silence || (fault_ == LinkFault::SilentAnswers && !isForward);
}

void FaultRelay::pump(const std::shared_ptr<Link> &link, bool isForward)
{
    auto &source = isForward ? link->client : link->server;
    auto &buffer = isForward ? link->forward : link->back;
    source.async_read_some(asio::buffer(buffer),
                           [=, this](const std::error_code &error, std::size_t size) {
                               if (error) {
                                   drop(link, error != asio::error::eof);
                               } else {
                                   pass(link, isForward, size);
                               }
                           });
}

void FaultRelay::pass(const std::shared_ptr<Link> &link, bool isForward, std::size_t size)
{
    const bool isDelayed = fault_ == LinkFault::Delay;
    if (!isDelayed && !isHeld(isForward)) {
        forward(link, isForward, size);
        return;
    }
    auto &timer = isForward ? link->forwardTimer : link->backTimer;
    timer.expires_after(isDelayed ? delay_ : heldPause);
    timer.async_wait([=, this](const std::error_code &error) {
        if (error) {
            return; // the link is dropped
        }
        isHeld(isForward) ? pass(link, isForward, size) : forward(link, isForward, size);
    });
}

void FaultRelay::forward(const std::shared_ptr<Link> &link, bool isForward, std::size_t size)
{
    auto &target = isForward ? link->server : link->client;
    auto &buffer = isForward ? link->forward : link->back;
    asio::async_write(target,
                      asio::buffer(buffer.data(), size),
                      [=, this](const std::error_code &problem, std::size_t) {
                          problem ? drop(link, true) : pump(link, isForward);
                      });
}

/// A reset destroys what is on its way, as a lost machine would.
void FaultRelay::drop(const std::shared_ptr<Link> &link, bool isReset)
{
    if (links_.erase(link) == 0) {
        return;
    }
    link->forwardTimer.cancel();
    link->backTimer.cancel();
    std::error_code ignored; // the connection is given up
    if (isReset) {
        link->client.set_option(asio::socket_base::linger(true, 0), ignored);
        link->server.set_option(asio::socket_base::linger(true, 0), ignored);
    }
    link->client.close(ignored);
    link->server.close(ignored);
}

} // namespace Soak
