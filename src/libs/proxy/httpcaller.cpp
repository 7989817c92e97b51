#include "httpcaller.h"

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
    Call(asio::io_context &context, std::shared_ptr<IdleConnections> idle, Done done)
        : timer_(context)
        , idle_(std::move(idle))
        , done_(std::move(done))
    {}

    void start(asio::io_context &context,
               const asio::ip::tcp::endpoint &server,
               std::string bytes,
               bool isHead,
               Base::Duration timeout)
    {
        auto self = shared_from_this();
        timer_.expires_after(timeout);
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
        connection_->connect(std::min(connectTimeout, timeout),
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
        handlers.onHead = [self](const ResponseHead &head, const Framing &) {
            self->result_.status = head.status;
            return HeadVerdict::Accept;
        };
        handlers.onBody = [self](const std::string &body) { self->result_.body += body; };
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
    Done done_;
    std::shared_ptr<ClientConnection> connection_;
    CallResult result_;
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

void HttpCaller::call(std::string method,
                      std::string target,
                      const std::string &body,
                      Base::Duration timeout,
                      Done done)
{
    RequestHead head;
    head.method = std::move(method);
    head.target = std::move(target);
    head.headers.add("Host", host_);
    if (!body.empty()) {
        head.headers.add("Content-Type", "application/json");
    }
    const auto call = std::make_shared<Call>(context_, idle_, std::move(done));
    call->start(context_,
                server_,
                serializeRequest(head, body.size()) + body,
                head.method == "HEAD",
                timeout);
}

} // namespace Proxy
