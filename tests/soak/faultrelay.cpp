#include "faultrelay.h"

#include <asio/write.hpp>

#include <array>
#include <utility>

namespace Soak {

namespace {

/// Interval at which a stalled link checks whether the fault has ended.
constexpr auto stallCheckInterval = std::chrono::milliseconds(50);

} // namespace

struct FaultRelay::Link
{
    explicit Link(asio::io_context &context)
        : client(context)
        , server(context)
        , forwardTimer(context)
        , backwardTimer(context)
    {}

    asio::ip::tcp::socket client;
    asio::ip::tcp::socket server;
    asio::steady_timer forwardTimer;
    asio::steady_timer backwardTimer;
    std::array<char, 16'384> forward{};
    std::array<char, 16'384> backward{};
    /// One side has ended its half of the connection.
    bool isHalfClosed = false;
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
        closeLink(link, true);
    }
}

/// The port stays bound, so that no other socket takes it.
void FaultRelay::close()
{
    const auto address = acceptor_.local_endpoint();
    resetAll();
    acceptor_.close();
    acceptor_.open(address.protocol());
    acceptor_.set_option(asio::socket_base::reuse_address(true));
    acceptor_.bind(address);
}

void FaultRelay::open()
{
    acceptor_.listen();
    accept();
}

void FaultRelay::accept()
{
    const auto link = std::make_shared<Link>(context_);
    acceptor_.async_accept(link->client, [this, link](const std::error_code &error) {
        if (error) {
            return; // closed
        }
        links_.insert(link);
        link->server.async_connect(target_, [this, link](const std::error_code &problem) {
            if (problem) {
                closeLink(link, true);
                return;
            }
            link->client.set_option(asio::ip::tcp::no_delay(true));
            link->server.set_option(asio::ip::tcp::no_delay(true));
            readNext(link, true);
            readNext(link, false);
        });
        accept();
    });
}

bool FaultRelay::isStalled(bool isForward) const
{
    return fault_ == LinkFault::Stall || (fault_ == LinkFault::StallResponses && !isForward);
}

void FaultRelay::readNext(const std::shared_ptr<Link> &link, bool isForward)
{
    auto &source = isForward ? link->client : link->server;
    auto &buffer = isForward ? link->forward : link->backward;
    source.async_read_some(asio::buffer(buffer),
                           [=, this](const std::error_code &error, std::size_t size) {
                               if (error == asio::error::eof) {
                                   endDirection(link, isForward);
                               } else if (error) {
                                   closeLink(link, true);
                               } else {
                                   relay(link, isForward, size);
                               }
                           });
}

void FaultRelay::relay(const std::shared_ptr<Link> &link, bool isForward, std::size_t size)
{
    const bool isDelayed = fault_ == LinkFault::Delay;
    if (!isDelayed && !isStalled(isForward)) {
        forward(link, isForward, size);
        return;
    }
    auto &timer = isForward ? link->forwardTimer : link->backwardTimer;
    timer.expires_after(isDelayed ? delay_ : stallCheckInterval);
    timer.async_wait([=, this](const std::error_code &error) {
        if (error) {
            return; // the link is closed
        }
        isStalled(isForward) ? relay(link, isForward, size) : forward(link, isForward, size);
    });
}

void FaultRelay::forward(const std::shared_ptr<Link> &link, bool isForward, std::size_t size)
{
    auto &target = isForward ? link->server : link->client;
    auto &buffer = isForward ? link->forward : link->backward;
    asio::async_write(target,
                      asio::buffer(buffer.data(), size),
                      [=, this](const std::error_code &problem, std::size_t) {
                          problem ? closeLink(link, true) : readNext(link, isForward);
                      });
}

/// The other direction continues: the side that ended may still read.
void FaultRelay::endDirection(const std::shared_ptr<Link> &link, bool isForward)
{
    if (std::exchange(link->isHalfClosed, true)) {
        closeLink(link, false);
        return;
    }
    std::error_code ignored; // the next operation on the socket fails
    (isForward ? link->server : link->client).shutdown(asio::socket_base::shutdown_send, ignored);
}

/// A reset discards data in transit, like a machine that fails.
void FaultRelay::closeLink(const std::shared_ptr<Link> &link, bool isReset)
{
    if (links_.erase(link) == 0) {
        return;
    }
    link->forwardTimer.cancel();
    link->backwardTimer.cancel();
    std::error_code ignored; // the connection is closed in any case
    if (isReset) {
        link->client.set_option(asio::socket_base::linger(true, 0), ignored);
        link->server.set_option(asio::socket_base::linger(true, 0), ignored);
    }
    link->client.close(ignored);
    link->server.close(ignored);
}

} // namespace Soak
