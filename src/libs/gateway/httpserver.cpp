#include "httpserver.h"

#include <restinio/all.hpp>

#include <mutex>
#include <unordered_map>

namespace Gateway {

namespace {

using Base::RequestId;

using RequestHandler
    = std::function<restinio::request_handling_status_t(restinio::request_handle_t)>;

/// Notifies the server of closed connections.
class CloseListener
{
public:
    explicit CloseListener(std::function<void(restinio::connection_id_t)> onClosed)
        : onClosed_(std::move(onClosed))
    {}

    void state_changed(const restinio::connection_state::notice_t &notice) noexcept // NOLINT
    {
        if (std::holds_alternative<restinio::connection_state::closed_t>(notice.cause())) {
            onClosed_(notice.connection_id());
        }
    }

private:
    std::function<void(restinio::connection_id_t)> onClosed_;
};

struct Traits
    : restinio::traits_t<restinio::asio_timer_manager_t, restinio::null_logger_t, RequestHandler>
{
    using connection_state_listener_t = CloseListener; // NOLINT(readability-identifier-naming)
};

using Server = restinio::http_server_t<Traits>;
using StreamResponse = restinio::response_builder_t<restinio::chunked_output_t>;

restinio::http_status_line_t statusLine(int status)
{
    switch (status) {
    case 200:
        return restinio::status_ok();
    case 201:
        return restinio::status_created();
    case 400:
        return restinio::status_bad_request();
    case 401:
        return restinio::status_unauthorized();
    case 402:
        return restinio::status_payment_required();
    case 404:
        return restinio::status_not_found();
    case 409:
        return restinio::status_conflict();
    case 413:
        return restinio::status_payload_too_large();
    case 429:
        return restinio::status_too_many_requests();
    case 502:
        return restinio::status_bad_gateway();
    case 503:
        return restinio::status_service_unavailable();
    case 504:
        return restinio::status_gateway_time_out();
    default:
        return restinio::http_status_line_t(
            restinio::http_status_code_t(static_cast<std::uint16_t>(status)), "Status");
    }
}

std::string wholeSeconds(Base::Duration duration)
{
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(duration);
    return std::to_string(std::max<std::int64_t>(1, seconds.count()));
}

/// A request whose response is not complete.
struct PendingResponse
{
    restinio::request_handle_t request;
    restinio::connection_id_t connection = 0;
    std::unique_ptr<StreamResponse> stream;
    /// Bytes passed to the connection and not written yet.
    std::int64_t backlog = 0;
};

constexpr size_t maxUrlBytes = 16 * 1024;
constexpr size_t maxFieldNameBytes = 1024;
constexpr size_t maxFieldValueBytes = 16 * 1024;
constexpr size_t maxFieldCount = 100;

} // namespace

class HttpServer::Private : public std::enable_shared_from_this<HttpServer::Private>
{
public:
    Private(HttpServerSettings settings, Handlers handlers)
        : settings_(std::move(settings))
        , handlers_(std::move(handlers))
    {}

    void open(asio::io_context &context);
    restinio::request_handling_status_t accept(const restinio::request_handle_t &request);
    void connectionClosed(restinio::connection_id_t connection);
    std::optional<PendingResponse> take(RequestId id);
    void sendChunk(RequestId id, std::string chunk);
    void handleWritten(RequestId id, std::int64_t bytes, bool failed);

    HttpServerSettings settings_;
    Handlers handlers_;
    std::unique_ptr<Server> server_;
    mutable std::mutex mutex_;
    std::uint64_t lastId_ = 0;
    std::unordered_map<RequestId, PendingResponse> pending_;
    std::unordered_multimap<restinio::connection_id_t, RequestId> byConnection_;
};

void HttpServer::Private::open(asio::io_context &context)
{
    auto self = shared_from_this();
    auto listener = std::make_shared<CloseListener>(
        [self](restinio::connection_id_t connection) { self->connectionClosed(connection); });
    restinio::incoming_http_msg_limits_t limits;
    limits.max_url_size(maxUrlBytes)
        .max_field_name_size(maxFieldNameBytes)
        .max_field_value_size(maxFieldValueBytes)
        .max_field_count(maxFieldCount)
        .max_body_size(static_cast<std::uint64_t>(settings_.maxBody.value()));
    restinio::server_settings_t<Traits> serverSettings;
    serverSettings.address(settings_.address)
        .port(settings_.port)
        .request_handler(
            [self](const restinio::request_handle_t &request) { return self->accept(request); })
        .connection_state_listener(listener)
        .incoming_http_msg_limits(limits)
        // Reading continues while a response is pending, so that a closed connection is detected.
        .max_pipelined_requests(4)
        .read_next_http_message_timelimit(settings_.readTimeout)
        .write_http_response_timelimit(settings_.readTimeout)
        .handle_request_timeout(std::chrono::hours(24))
        .concurrent_accepts_count(2);
    server_ = std::make_unique<Server>(restinio::external_io_context(context),
                                       std::move(serverSettings));
    server_->open_sync();
}

restinio::request_handling_status_t HttpServer::Private::accept(
    const restinio::request_handle_t &request)
{
    const auto &header = request->header();
    IncomingRequest incoming;
    incoming.method = header.method().c_str();
    incoming.target = header.request_target();
    incoming.authorization = header.get_field_or(restinio::http_field::authorization, "");
    incoming.contentType = header.get_field_or(restinio::http_field::content_type, "");
    incoming.body = request->body();
    {
        const std::lock_guard lock(mutex_);
        incoming.id = RequestId(++lastId_);
        pending_[incoming.id] = PendingResponse{request, request->connection_id(), nullptr, 0};
        byConnection_.emplace(request->connection_id(), incoming.id);
    }
    handlers_.onRequest(std::move(incoming));
    return restinio::request_accepted();
}

void HttpServer::Private::connectionClosed(restinio::connection_id_t connection)
{
    std::vector<RequestId> disconnected;
    {
        const std::lock_guard lock(mutex_);
        const auto [first, last] = byConnection_.equal_range(connection);
        for (auto entry = first; entry != last; ++entry) {
            disconnected.push_back(entry->second);
            pending_.erase(entry->second);
        }
        byConnection_.erase(first, last);
    }
    for (const RequestId id : disconnected) {
        handlers_.onCallerDisconnected(id);
    }
}

std::optional<PendingResponse> HttpServer::Private::take(RequestId id)
{
    const std::lock_guard lock(mutex_);
    const auto entry = pending_.find(id);
    if (entry == pending_.end()) {
        return std::nullopt;
    }
    PendingResponse answer = std::move(entry->second);
    pending_.erase(entry);
    const auto [first, last] = byConnection_.equal_range(answer.connection);
    for (auto link = first; link != last; ++link) {
        if (link->second == id) {
            byConnection_.erase(link);
            break;
        }
    }
    return answer;
}

void HttpServer::Private::sendChunk(RequestId id, std::string chunk)
{
    const auto bytes = static_cast<std::int64_t>(chunk.size());
    bool isBacklogExceeded = false;
    {
        const std::lock_guard lock(mutex_);
        const auto entry = pending_.find(id);
        if (entry == pending_.end() || !entry->second.stream) {
            return;
        }
        entry->second.backlog += bytes;
        isBacklogExceeded = entry->second.backlog > settings_.maxStreamBacklog.value();
        if (!isBacklogExceeded) {
            auto self = shared_from_this();
            entry->second.stream->append_chunk(std::move(chunk));
            entry->second.stream->flush([self, id, bytes](const auto &status) {
                self->handleWritten(id, bytes, static_cast<bool>(status));
            });
        }
    }
    if (isBacklogExceeded) {
        handleWritten(id, bytes, true);
    }
}

void HttpServer::Private::handleWritten(RequestId id, std::int64_t bytes, bool failed)
{
    if (failed) {
        if (take(id)) {
            handlers_.onCallerDisconnected(id);
        }
        return;
    }
    const std::lock_guard lock(mutex_);
    const auto entry = pending_.find(id);
    if (entry != pending_.end()) {
        entry->second.backlog -= bytes;
    }
}

HttpServer::HttpServer(asio::io_context &context, HttpServerSettings settings, Handlers handlers)
    : context_(&context)
    , d_(std::make_shared<Private>(std::move(settings), std::move(handlers)))
{}

HttpServer::~HttpServer() = default;

void HttpServer::start()
{
    d_->open(*context_);
}

void HttpServer::stopAccepting()
{
    d_->server_->close_sync();
}

void HttpServer::answer(RequestId id, HttpResponse answer)
{
    std::optional<PendingResponse> pending = d_->take(id);
    if (!pending) {
        return;
    }
    auto response = pending->request->create_response(statusLine(answer.status));
    response.append_header(restinio::http_field::content_type, answer.contentType);
    if (answer.retryAfter) {
        response.append_header(restinio::http_field::retry_after, wholeSeconds(*answer.retryAfter));
    }
    response.set_body(std::move(answer.body));
    response.done();
}

void HttpServer::startStream(RequestId id)
{
    const std::lock_guard lock(d_->mutex_);
    const auto entry = d_->pending_.find(id);
    if (entry == d_->pending_.end() || entry->second.stream) {
        return;
    }
    auto response = entry->second.request->create_response<restinio::chunked_output_t>();
    response.append_header(restinio::http_field::content_type, "text/event-stream");
    response.append_header(restinio::http_field::cache_control, "no-store");
    entry->second.stream = std::make_unique<StreamResponse>(std::move(response));
}

void HttpServer::sendEvent(RequestId id, const std::string &name, const std::string &data)
{
    std::string chunk;
    if (!name.empty()) {
        chunk = "event: " + name + "\n";
    }
    chunk += "data: " + data + "\n\n";
    d_->sendChunk(id, std::move(chunk));
}

void HttpServer::endStream(RequestId id)
{
    std::optional<PendingResponse> pending = d_->take(id);
    if (pending && pending->stream) {
        pending->stream->done();
    }
}

size_t HttpServer::pendingRequests() const
{
    const std::lock_guard lock(d_->mutex_);
    return d_->pending_.size();
}

} // namespace Gateway
