#include "httpcaller.h"

#include <algorithm>

namespace Proxy {

namespace {

/// Serves a waiting watch, a poll and two conditional writes in parallel; more connections would
/// rarely be used.
constexpr std::size_t maxIdleConnections = 4;

/// A reachable server accepts within one round trip.
constexpr Base::Duration connectTimeout = std::chrono::milliseconds(500);

} // namespace

using IdleConnections = std::deque<std::shared_ptr<ClientConnection>>;

/// One call from its start to its only callback.
class HttpCaller::Call : public std::enable_shared_from_this<HttpCaller::Call>
{
public:
    Call(asio::io_context &context,
         std::shared_ptr<IdleConnections> idle,
         const CallLimits &limits,
         Done done)
        : timer_(context)
        , idle_(std::move(idle))
        , limits_(limits)
        , maxBodyBytes_(static_cast<std::size_t>(limits.responseBytes.value()))
        , done_(std::move(done))
    {}

    void setMemory(std::shared_ptr<Base::MemoryBudget::Holder> holder, Base::Bytes reserve)
    {
        lease_ = Base::MemoryLease(std::move(holder));
        reserve_ = static_cast<std::size_t>(reserve.value());
    }

    void start(asio::io_context &context,
               const asio::ip::tcp::endpoint &server,
               std::string bytes,
               bool isHead)
    {
        auto self = shared_from_this();
        timer_.expires_after(limits_.timeout);
        timer_.async_wait([self](const std::error_code &error) {
            if (!error) {
                self->fail("no response before the timeout");
            }
        });
        if (!idle_->empty()) {
            connection_ = idle_->back();
            idle_->pop_back();
            send(std::move(bytes), isHead);
            return;
        }
        connection_ = std::make_shared<ClientConnection>(context, server);
        connection_->connect(std::min(connectTimeout, limits_.timeout),
                             [self, bytes = std::move(bytes), isHead](const std::string &problem) {
                                 if (!problem.empty()) {
                                     self->fail("connect: " + problem);
                                 } else if (self->done_) {
                                     self->send(bytes, isHead);
                                 }
                             });
    }

private:
    void send(std::string bytes, bool isHead)
    {
        auto self = shared_from_this();
        ClientConnection::Handlers handlers;
        handlers.onHead = [self, isHead](const ResponseHead &head, const Framing &framing) {
            self->result_.status = head.status;
            if (!isHead && framing.length.value_or(0) > self->maxBodyBytes_) {
                self->failAsTooLarge();
            }
            return HeadVerdict::Accept;
        };
        handlers.onBody = [self](const std::string &body) { self->append(body); };
        handlers.onEnd = [self](ResponseEnd end, const std::string &problem) {
            if (end != ResponseEnd::Complete) {
                self->fail(problem);
            } else {
                self->keepConnection();
                self->finish();
            }
        };
        connection_->send(std::move(bytes), isHead, std::move(handlers));
    }

    void append(const std::string &piece)
    {
        std::string &body = result_.body;
        const std::size_t needed = body.size() + piece.size();
        if (needed > maxBodyBytes_) {
            failAsTooLarge();
            return;
        }
        if (needed > body.capacity()) {
            const std::size_t size = std::min(maxBodyBytes_, std::max(needed, 2 * body.capacity()));
            if (!mayKeep(size)) {
                fail("no memory for the response");
                return;
            }
            body.reserve(size);
        }
        body += piece;
    }

    bool mayKeep(std::size_t size)
    {
        return lease_.mayGrow(size - lease_.size() + reserve_) && lease_.resize(size);
    }

    void failAsTooLarge() { fail("response exceeds " + std::to_string(maxBodyBytes_) + " bytes"); }

    void keepConnection()
    {
        auto connection = std::exchange(connection_, nullptr);
        if (!connection->isReusable() || idle_->size() >= maxIdleConnections) {
            connection->close();
            return;
        }
        idle_->push_back(connection);
        connection->watchIdle([idle = std::weak_ptr(idle_), raw = connection.get()] {
            if (const auto connections = idle.lock()) {
                std::erase_if(*connections, [&](const auto &each) { return each.get() == raw; });
            }
        });
    }

    void fail(const std::string &problem)
    {
        result_ = {};
        result_.problem = problem;
        result_.isNotSent = !connection_ || !connection_->hasSent();
        finish();
    }

    void finish()
    {
        if (!done_) {
            return;
        }
        timer_.cancel();
        if (auto connection = std::exchange(connection_, nullptr)) {
            connection->close();
        }
        std::exchange(done_, nullptr)(std::move(result_));
    }

    asio::steady_timer timer_;
    std::shared_ptr<IdleConnections> idle_;
    CallLimits limits_;
    std::size_t maxBodyBytes_;
    Done done_;
    std::shared_ptr<ClientConnection> connection_;
    CallResult result_;
    Base::MemoryLease lease_;
    std::size_t reserve_ = 0;
};

HttpCaller::HttpCaller(asio::io_context &context, asio::ip::tcp::endpoint server, std::string host)
    : context_(context)
    , server_(std::move(server))
    , host_(std::move(host))
    , idle_(std::make_shared<IdleConnections>())
{}

HttpCaller::~HttpCaller()
{
    for (const auto &connection : *idle_) {
        connection->close();
    }
}

void HttpCaller::setMemory(Base::MemoryBudget &budget, Base::Bytes reserve)
{
    memory_ = budget.holder(server_.address().to_string() + ":" + std::to_string(server_.port()));
    reserve_ = reserve;
}

void HttpCaller::call(std::string method,
                      std::string target,
                      const std::string &body,
                      const CallLimits &limits,
                      Done done)
{
    RequestHead head;
    head.method = std::move(method);
    head.target = std::move(target);
    head.headers.add("Host", host_);
    if (!body.empty()) {
        head.headers.add("Content-Type", "application/json");
    }
    const auto call = std::make_shared<Call>(context_, idle_, limits, std::move(done));
    call->setMemory(memory_, reserve_);
    call->start(
        context_, server_, serializeRequest(head, body.size()) + body, head.method == "HEAD");
}

} // namespace Proxy
