#include "peerdocuments.h"

#include <charconv>

namespace Proxy {

namespace {

/// A document has some kilobytes and a round trip is under 3 ms.
constexpr Base::Duration fetchTimeout = std::chrono::milliseconds(300);

constexpr const char *basePath = "/documents/";

/// First line of the body: the version.
std::optional<PeerDocument> decode(const std::string &text)
{
    const std::size_t end = text.find('\n');
    if (end == std::string::npos) {
        return std::nullopt;
    }
    PeerDocument document;
    const auto result = std::from_chars(text.data(), text.data() + end, document.version);
    if (result.ec != std::errc()) {
        return std::nullopt;
    }
    document.body = text.substr(end + 1);
    return document;
}

} // namespace

PeerDocuments::PeerDocuments(asio::io_context &context,
                             const asio::ip::tcp::endpoint &address,
                             Telemetry::Log &log,
                             std::function<Base::Instant()> now)
    : context_(context)
    , address_(address)
    , log_(log)
    , acceptor_(context)
{
    services_ = std::make_shared<CallerServices>();
    services_->onRequest
        = [this](const auto &caller, const CallerRequest &request) { answer(caller, request); };
    services_->onRejected = [this](int, const std::string &problem) {
        log_.write(
            Telemetry::LogLevel::Warning, "peer's request rejected: " + problem, {.step = "peer"});
    };
    services_->limits = [] { return Contracts::CallerLimits{}; };
    services_->now = std::move(now);
    services_->isStopping = [] { return false; };
    services_->onClosed = [](const auto &) {};
}

void PeerDocuments::start()
{
    acceptor_.open(address_.protocol());
    acceptor_.set_option(asio::ip::tcp::acceptor::reuse_address(true));
    acceptor_.bind(address_);
    acceptor_.listen();
    accept();
}

void PeerDocuments::accept()
{
    acceptor_.async_accept([this](const std::error_code &error, asio::ip::tcp::socket socket) {
        if (error) {
            return; // aborted at the end of the process
        }
        std::make_shared<CallerConnection>(std::move(socket), services_)->start();
        accept();
    });
}

void PeerDocuments::answer(const std::shared_ptr<CallerConnection> &caller,
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

void PeerDocuments::publish(const std::string &name, PeerDocument document)
{
    PeerDocument &current = documents_[name];
    if (document.version > current.version) {
        current = std::move(document);
    }
}

void PeerDocuments::fetch(const asio::ip::udp::endpoint &peer,
                          const std::string &name,
                          Fetched fetched)
{
    const asio::ip::tcp::endpoint server(peer.address(), peer.port());
    std::shared_ptr<HttpCaller> &caller = callers_[server];
    if (!caller) {
        caller = std::make_shared<HttpCaller>(context_, server, server.address().to_string());
    }
    caller->call("GET",
                 basePath + name,
                 {},
                 fetchTimeout,
                 [fetched = std::move(fetched)](const CallResult &result) {
                     fetched(result.status == 200 ? decode(result.body) : std::nullopt);
                 });
}

} // namespace Proxy
