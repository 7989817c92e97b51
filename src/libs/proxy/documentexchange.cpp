#include "documentexchange.h"

#include <charconv>

namespace Proxy {

namespace {

/// Documents have a few kilobytes, and a round trip takes less than 3 ms.
constexpr Base::Duration fetchTimeout = std::chrono::milliseconds(300);

/// A configuration is one object of the store, of 1 MB at most unless the platform allows more. The
/// list of 600 servers is smaller.
constexpr Base::Bytes maxDocumentBytes(4 * 1024 * 1024);

constexpr const char *basePath = "/documents/";

/// Decodes a response body: the version on the first line, then the document.
std::optional<VersionedDocument> decode(const std::string &text)
{
    const std::size_t end = text.find('\n');
    if (end == std::string::npos) {
        return std::nullopt;
    }
    VersionedDocument document;
    const auto result = std::from_chars(text.data(), text.data() + end, document.version);
    if (result.ec != std::errc()) {
        return std::nullopt;
    }
    document.body = text.substr(end + 1);
    return document;
}

} // namespace

DocumentExchange::DocumentExchange(asio::io_context &context,
                                   const asio::ip::tcp::endpoint &address,
                                   Telemetry::Log &log,
                                   std::function<Base::Instant()> now)
    : context_(context)
    , address_(address)
    , log_(log)
    , listener_(context, log, nullptr)
{
    handlers_ = std::make_shared<CallerHandlers>();
    handlers_->onRequest
        = [this](const auto &caller, const CallerRequest &request) { respond(caller, request); };
    handlers_->onRejected = [this](int, const std::string &problem) {
        log_.write(Telemetry::LogLevel::Warning,
                   "document request of a peer rejected: " + problem,
                   {.step = "peer"});
    };
    handlers_->limits = [] {
        Contracts::CallerLimits limits;
        limits.bodyBytes = 0; // peers only fetch
        return limits;
    };
    handlers_->now = std::move(now);
    handlers_->isStopping = [] { return false; };
    handlers_->onClosed = [](const auto &, const auto &) {};
}

void DocumentExchange::start()
{
    listener_.start(
        {"documents", connections_.documents, connections_.backlog, connections_.receiveBytes},
        address_,
        handlers_);
}

void DocumentExchange::respond(const std::shared_ptr<CallerConnection> &caller,
                               const CallerRequest &request)
{
    const std::string_view path = request.head.path();
    ResponseHead head;
    head.status = 404;
    std::string body;
    if (path.starts_with(basePath)) {
        const auto document
            = documents_.find(std::string(path.substr(std::string_view(basePath).size())));
        if (document != documents_.end()) {
            head.status = 200;
            body = std::to_string(document->second.version) + "\n" + document->second.body;
        }
    }
    head.reason = reasonOf(head.status);
    caller->respond(head, body);
}

void DocumentExchange::publish(const std::string &name, VersionedDocument document)
{
    VersionedDocument &current = documents_[name];
    if (document.version > current.version) {
        current = std::move(document);
    }
}

void DocumentExchange::fetch(const asio::ip::udp::endpoint &peer,
                             const std::string &name,
                             FetchCallback callback)
{
    const asio::ip::tcp::endpoint server(peer.address(), peer.port());
    std::shared_ptr<HttpCaller> &caller = callers_[server];
    if (!caller) {
        caller = std::make_shared<HttpCaller>(context_, server, server.address().to_string());
        if (memory_) {
            caller->setMemory(*memory_);
        }
    }
    caller->call("GET",
                 basePath + name,
                 {},
                 {.timeout = fetchTimeout, .responseBytes = maxDocumentBytes},
                 [callback = std::move(callback)](const CallResult &result) {
                     callback(result.status == 200 ? decode(result.body) : std::nullopt);
                 });
}

} // namespace Proxy
