#include "httpserver.h"

#include "connectionchoice.h"

#include <proxy/callerconnection.h>
#include <proxy/steadyclock.h>

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/strand.hpp>

#include <algorithm>
#include <atomic>
#include <mutex>
#include <unordered_map>
#include <unordered_set>

namespace Gateway {

namespace {

using Base::RequestId;
using Proxy::CallerConnection;
using Connection = std::shared_ptr<CallerConnection>;

/// Pause after a failed accept, for example if no file descriptors are left.
constexpr auto acceptPause = std::chrono::milliseconds(20);
constexpr auto sweepInterval = std::chrono::seconds(1);
constexpr int listenBacklog = 1024;

/// What the system buffers for a connection in each direction (it doubles the figure). Left to
/// itself it takes up to 6 MB for a caller whose bytes are not read.
constexpr int socketBufferBytes = 32 * 1024;

/// Responses up to this size are sent even if the memory for unread ones is used up.
constexpr std::size_t alwaysSentBytes = 16 * 1024;

std::string wholeSeconds(Base::Duration duration)
{
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(duration);
    return std::to_string(std::max<std::int64_t>(1, seconds.count()));
}

Proxy::OwnResponse toOwnResponse(HttpResponse response)
{
    Proxy::OwnResponse result;
    result.head.status = response.status;
    result.head.reason = Proxy::reasonOf(response.status);
    result.head.headers.add("Content-Type", std::move(response.contentType));
    if (response.retryAfter) {
        result.head.headers.add("Retry-After", wholeSeconds(*response.retryAfter));
    }
    result.body = std::move(response.body);
    return result;
}

std::string_view fieldOf(const Proxy::RequestHead &head, std::string_view name)
{
    return head.headers.find(name).value_or(std::string_view());
}

/// A request whose response is not complete.
struct PendingResponse
{
    Connection connection;
    /// For the body, copies of which exist until the request is answered.
    Base::MemoryLease body;
    bool isStreaming = false;
};

} // namespace

/// Its members are used on the strand unless they say otherwise.
class HttpServer::Private : public std::enable_shared_from_this<HttpServer::Private>
{
public:
    Private(asio::io_context &context, HttpServerSettings settings, Handlers handlers)
        : settings_(std::move(settings))
        , handlers_(std::move(handlers))
        , strand_(asio::make_strand(context))
        , acceptor_(strand_)
        , timer_(strand_)
        , bodies_(settings_.bodyMemory)
        , backlogs_(settings_.backlogMemory)
    {}

    void open();
    void stopAccepting();
    void discardAll();
    /// From any thread.
    void post(std::function<void(Private &)> work);

    void answer(RequestId id, HttpResponse answer, std::optional<HttpResponse> replacement);
    void startStream(RequestId id);
    void sendChunk(RequestId id, const std::string &chunk);
    void endStream(RequestId id);

    std::atomic<std::size_t> pendingCount_ = 0;
    mutable std::mutex useMutex_;
    /// Guarded by useMutex_.
    HttpServerUse use_;

private:
    std::shared_ptr<const Proxy::CallerHandlers> connectionHandlers();
    void accept(std::shared_ptr<const Proxy::CallerHandlers> handlers);
    void acceptLater(std::shared_ptr<const Proxy::CallerHandlers> handlers);
    void add(const Connection &connection);
    bool makeRoom();
    void handle(const Connection &connection, Proxy::CallerRequest request);
    void callerGone(RequestId id);
    Proxy::HeadDecision decide(const Proxy::RequestHead &head) const;
    Proxy::OwnResponse rejection(const Proxy::Refusal &refusal) const;
    std::optional<PendingResponse> take(RequestId id);
    void sweep();
    void publishUse();

    HttpServerSettings settings_;
    Handlers handlers_;
    asio::strand<asio::io_context::executor_type> strand_;
    asio::ip::tcp::acceptor acceptor_;
    asio::steady_timer timer_;
    Base::MemoryBudget bodies_;
    Base::MemoryBudget backlogs_;
    bool isStopping_ = false;
    std::uint64_t lastId_ = 0;
    std::unordered_map<RequestId, PendingResponse> pending_;
    std::unordered_set<Connection> connections_;
    std::uint64_t displaced_ = 0;
    std::uint64_t stalled_ = 0;
    std::uint64_t refusedResponses_ = 0;
};

void HttpServer::Private::open()
{
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(settings_.address),
                                           settings_.port);
    acceptor_.open(endpoint.protocol());
    acceptor_.set_option(asio::ip::tcp::acceptor::reuse_address(true));
    // Connections inherit the sizes of the buffers.
    acceptor_.set_option(asio::socket_base::receive_buffer_size(socketBufferBytes));
    acceptor_.set_option(asio::socket_base::send_buffer_size(socketBufferBytes));
    acceptor_.bind(endpoint);
    acceptor_.listen(listenBacklog);
    post([handlers = connectionHandlers()](Private &self) {
        self.accept(handlers);
        self.sweep();
    });
}

void HttpServer::Private::post(std::function<void(Private &)> work)
{
    asio::post(strand_, [self = shared_from_this(), work = std::move(work)] { work(*self); });
}

/// The handlers keep this object for as long as a connection exists; discardAll() ends that.
std::shared_ptr<const Proxy::CallerHandlers> HttpServer::Private::connectionHandlers()
{
    const auto self = shared_from_this();
    auto handlers = std::make_shared<Proxy::CallerHandlers>();
    handlers->onRequest = [self](const Connection &connection, Proxy::CallerRequest request) {
        self->handle(connection, std::move(request));
    };
    handlers->onHead = [self](const Proxy::RequestHead &head) { return self->decide(head); };
    handlers->onRejected = [](int, const std::string &) {}; // rejection() is called as well
    handlers->ownResponse
        = [self](const Proxy::Refusal &refusal) { return self->rejection(refusal); };
    Contracts::CallerLimits limits;
    limits.headBytes = static_cast<std::size_t>(settings_.maxHead.value());
    limits.bodyBytes = static_cast<std::size_t>(settings_.maxBody.value());
    limits.headTimeout = settings_.readTimeout;
    limits.idleTimeout = settings_.readTimeout;
    handlers->limits = [limits] { return limits; };
    handlers->now = [] { return Proxy::steadyNow(); };
    handlers->isStopping = [self] { return self->isStopping_; };
    handlers->onClosed = [self](const Connection &connection, const Proxy::ConnectionEnd &) {
        self->connections_.erase(connection);
    };
    handlers->backlogs = &backlogs_;
    handlers->bodies = &bodies_;
    handlers->retryAfterFull = std::chrono::seconds(1);
    return handlers;
}

void HttpServer::Private::accept(std::shared_ptr<const Proxy::CallerHandlers> handlers)
{
    acceptor_.async_accept([self = shared_from_this(), handlers = std::move(handlers)](
                               const std::error_code &error, asio::ip::tcp::socket socket) {
        if (error == asio::error::operation_aborted || self->isStopping_) {
            return;
        }
        if (error) {
            self->acceptLater(handlers);
            return;
        }
        if (self->makeRoom()) {
            self->add(std::make_shared<CallerConnection>(std::move(socket), handlers));
        }
        self->accept(handlers);
    });
}

void HttpServer::Private::acceptLater(std::shared_ptr<const Proxy::CallerHandlers> handlers)
{
    auto pause = std::make_shared<asio::steady_timer>(strand_, acceptPause);
    pause->async_wait([self = shared_from_this(), handlers = std::move(handlers), pause](
                          const std::error_code &) { self->accept(handlers); });
}

void HttpServer::Private::add(const Connection &connection)
{
    connections_.insert(connection);
    connection->start();
}

/// Closes a connection at the limit. Returns whether there is room for a new one.
bool HttpServer::Private::makeRoom()
{
    if (connections_.size() < settings_.maxConnections) {
        return true;
    }
    ++displaced_;
    const std::vector<Connection> connections(connections_.begin(), connections_.end());
    std::vector<ConnectionState> states;
    states.reserve(connections.size());
    for (const Connection &connection : connections) {
        states.push_back(
            {connection->isBusy(), connection->pendingBytes() > 0, connection->waitingSince()});
    }
    const std::optional<std::size_t> choice = connectionToClose(states);
    if (choice) {
        connections[*choice]->abort();
    }
    return choice.has_value();
}

Proxy::HeadDecision HttpServer::Private::decide(const Proxy::RequestHead &head) const
{
    Proxy::HeadDecision decision;
    if (!handlers_.onHead) {
        return decision;
    }
    std::optional<HttpResponse> response
        = handlers_.onHead({head.method, head.target, fieldOf(head, "Authorization")});
    if (response) {
        decision.refusal = Proxy::Refusal{response->status, "refused", {}};
        decision.response = toOwnResponse(std::move(*response));
    }
    return decision;
}

Proxy::OwnResponse HttpServer::Private::rejection(const Proxy::Refusal &refusal) const
{
    if (handlers_.onRejected) {
        return toOwnResponse(
            handlers_.onRejected({refusal.status, refusal.detail, refusal.retryAfter}));
    }
    return {Proxy::ownResponseHead(refusal.status, refusal.retryAfter), refusal.detail + "\n"};
}

void HttpServer::Private::handle(const Connection &connection, Proxy::CallerRequest request)
{
    IncomingRequest incoming;
    incoming.id = RequestId(++lastId_);
    incoming.method = request.head.method;
    incoming.target = request.head.target;
    incoming.authorization = fieldOf(request.head, "Authorization");
    incoming.contentType = fieldOf(request.head, "Content-Type");
    incoming.body = std::move(request.body);
    const RequestId id = incoming.id;
    pending_.emplace(id, PendingResponse{connection, std::move(request.bodyLease)});
    pendingCount_ = pending_.size();
    connection->onceDisconnected([weak = weak_from_this(), id] {
        if (const auto self = weak.lock()) {
            self->callerGone(id);
        }
    });
    handlers_.onRequest(std::move(incoming));
}

void HttpServer::Private::callerGone(RequestId id)
{
    if (take(id)) {
        handlers_.onCallerDisconnected(id);
    }
}

std::optional<PendingResponse> HttpServer::Private::take(RequestId id)
{
    auto entry = pending_.extract(id);
    pendingCount_ = pending_.size();
    if (entry.empty()) {
        return std::nullopt;
    }
    return std::move(entry.mapped());
}

void HttpServer::Private::answer(RequestId id,
                                 HttpResponse answer,
                                 std::optional<HttpResponse> replacement)
{
    const std::optional<PendingResponse> pending = take(id);
    if (!pending) {
        return;
    }
    // A response that is alone is sent whatever its size.
    const bool isSent = answer.body.size() <= alwaysSentBytes || backlogs_.used().value() == 0
                        || pending->connection->mayBuffer(answer.body.size());
    if (!isSent) {
        ++refusedResponses_;
        if (!replacement) {
            pending->connection->abort();
            return;
        }
    }
    const Proxy::OwnResponse response
        = toOwnResponse(isSent ? std::move(answer) : std::move(*replacement));
    pending->connection->respond(response.head, response.body);
}

void HttpServer::Private::startStream(RequestId id)
{
    const auto entry = pending_.find(id);
    if (entry == pending_.end() || entry->second.isStreaming) {
        return;
    }
    entry->second.isStreaming = true;
    Proxy::ResponseHead head;
    head.status = 200;
    head.reason = Proxy::reasonOf(head.status);
    head.headers.add("Content-Type", "text/event-stream");
    head.headers.add("Cache-Control", "no-store");
    Proxy::Framing framing;
    framing.kind = Proxy::BodyFraming::Chunked;
    entry->second.connection->beginResponse(head, framing);
}

void HttpServer::Private::sendChunk(RequestId id, const std::string &chunk)
{
    const auto entry = pending_.find(id);
    if (entry == pending_.end() || !entry->second.isStreaming) {
        return;
    }
    const Connection connection = entry->second.connection;
    const std::size_t backlog = connection->pendingBytes() + chunk.size();
    const bool isKept = backlog <= alwaysSentBytes || connection->mayBuffer(chunk.size());
    if (isKept && backlog <= static_cast<std::size_t>(settings_.maxStreamBacklog.value())) {
        connection->write(chunk);
        return;
    }
    ++refusedResponses_;
    take(id);
    connection->abort();
    handlers_.onCallerDisconnected(id);
}

void HttpServer::Private::endStream(RequestId id)
{
    const std::optional<PendingResponse> pending = take(id);
    if (pending && pending->isStreaming) {
        pending->connection->endResponse();
    }
}

/// Closes connections whose callers have not read what was written for too long.
void HttpServer::Private::sweep()
{
    const Base::Instant now = Proxy::steadyNow();
    const std::vector<Connection> connections(connections_.begin(), connections_.end());
    for (const Connection &connection : connections) {
        const std::optional<Base::Instant> begun = connection->writeBegun();
        if (begun && now - *begun > settings_.readTimeout) {
            ++stalled_;
            // Unlike abort(), the request that is answered is told.
            const auto entry = std::find_if(pending_.begin(), pending_.end(), [&](const auto &p) {
                return p.second.connection == connection;
            });
            const std::optional<RequestId> id
                = entry == pending_.end() ? std::nullopt : std::optional(entry->first);
            connection->abort();
            if (id) {
                callerGone(*id);
            }
        }
    }
    publishUse();
    timer_.expires_after(sweepInterval);
    timer_.async_wait([self = shared_from_this()](const std::error_code &error) {
        if (!error) {
            self->sweep();
        }
    });
}

void HttpServer::Private::publishUse()
{
    const std::lock_guard lock(useMutex_);
    use_.connections = connections_.size();
    use_.displacedConnections = displaced_;
    use_.stalledConnections = stalled_;
    use_.bodyBytes = bodies_.used();
    use_.peakBodyBytes = bodies_.peak();
    use_.backlogBytes = backlogs_.used();
    use_.peakBacklogBytes = backlogs_.peak();
    use_.refusedResponses = refusedResponses_;
}

void HttpServer::Private::stopAccepting()
{
    isStopping_ = true;
    std::error_code ignored; // nothing can be done if the close fails
    acceptor_.close(ignored);
    const std::vector<Connection> connections(connections_.begin(), connections_.end());
    for (const Connection &connection : connections) {
        connection->closeIfIdle();
    }
}

void HttpServer::Private::discardAll()
{
    pending_.clear();
    connections_.clear();
}

HttpServer::HttpServer(asio::io_context &context, HttpServerSettings settings, Handlers handlers)
    : d_(std::make_shared<Private>(context, std::move(settings), std::move(handlers)))
{}

/// No thread runs the event loop any more.
HttpServer::~HttpServer()
{
    d_->discardAll();
}

void HttpServer::start()
{
    d_->open();
}

void HttpServer::stopAccepting()
{
    d_->post([](Private &d) { d.stopAccepting(); });
}

void HttpServer::answer(RequestId id, HttpResponse answer, std::optional<HttpResponse> replacement)
{
    d_->post([id, answer = std::move(answer), replacement = std::move(replacement)](
                 Private &d) mutable { d.answer(id, std::move(answer), std::move(replacement)); });
}

void HttpServer::startStream(RequestId id)
{
    d_->post([id](Private &d) { d.startStream(id); });
}

void HttpServer::sendEvent(RequestId id, const std::string &name, const std::string &data)
{
    std::string chunk;
    if (!name.empty()) {
        chunk = "event: " + name + "\n";
    }
    chunk += "data: " + data + "\n\n";
    d_->post([id, chunk = std::move(chunk)](Private &d) { d.sendChunk(id, chunk); });
}

void HttpServer::endStream(RequestId id)
{
    d_->post([id](Private &d) { d.endStream(id); });
}

void HttpServer::post(std::function<void()> work)
{
    d_->post([work = std::move(work)](Private &) { work(); });
}

size_t HttpServer::pendingRequests() const
{
    return d_->pendingCount_;
}

HttpServerUse HttpServer::use() const
{
    const std::lock_guard lock(d_->useMutex_);
    return d_->use_;
}

} // namespace Gateway
