#include "processcheck.h"

#include <utility>

namespace Proxy {

namespace {

/// What a server says of itself has some hundred bytes, and more with each model and request.
constexpr std::size_t maxBodyBytes = 64 * 1024;

std::string requestFor(const std::string &target)
{
    return "GET " + target + " HTTP/1.1\r\nHost: server\r\nContent-Length: 0\r\n\r\n";
}

} // namespace

const char *nameOf(ProcessFinding finding)
{
    switch (finding) {
    case ProcessFinding::Listed:
        return "listed";
    case ProcessFinding::Other:
        return "other";
    case ProcessFinding::Untold:
        return "untold";
    case ProcessFinding::Unanswered:
        break;
    }
    return "unanswered";
}

ProcessCheck::ProcessCheck(asio::io_context &context,
                           const HeaderTranslator &translator,
                           Dispatch::ServerInstance process,
                           std::shared_ptr<ClientConnection> connection)
    : translator_(translator)
    , process_(std::move(process))
    , connection_(std::move(connection))
    , timer_(context)
{}

void ProcessCheck::start(Base::Duration timeout, Done done)
{
    done_ = std::move(done);
    auto self = shared_from_this();
    timer_.expires_after(timeout);
    timer_.async_wait([self](const std::error_code &error) {
        if (!error) {
            self->finish(ProcessFinding::Unanswered, false);
        }
    });
    ClientConnection::Handlers handlers;
    handlers.onHead
        = [self](const ResponseHead &head, const Framing &) { return self->onHead(head); };
    handlers.onBody = [self](const std::string &bytes) { self->onBody(bytes); };
    handlers.onEnd = [self](ResponseEnd end, const std::string &) { self->onEnd(end); };
    connection_->send(requestFor(translator_.identityTarget), false, std::move(handlers));
}

void ProcessCheck::cancel()
{
    done_ = nullptr;
    finish(ProcessFinding::Unanswered, false);
}

/// A response that names a request is a late one to that request.
HeadVerdict ProcessCheck::onHead(const ResponseHead &head)
{
    if (!translator_.readResponse(head).id.empty()) {
        return HeadVerdict::Discard;
    }
    status_ = head.status;
    return HeadVerdict::Accept;
}

void ProcessCheck::onBody(const std::string &bytes)
{
    if (body_.size() + bytes.size() > maxBodyBytes) {
        finish(ProcessFinding::Unanswered, false);
        return;
    }
    body_ += bytes;
}

void ProcessCheck::onEnd(ResponseEnd end)
{
    const bool isAnswered = end == ResponseEnd::Complete;
    finish(isAnswered ? finding() : ProcessFinding::Unanswered,
           isAnswered && connection_->isReusable());
}

ProcessFinding ProcessCheck::finding() const
{
    constexpr int ok = 200;
    const auto startedAt = status_ == ok ? translator_.readStartTime(body_) : std::nullopt;
    if (!startedAt || process_.startedAt == 0) {
        return ProcessFinding::Untold;
    }
    return *startedAt == process_.startedAt ? ProcessFinding::Listed : ProcessFinding::Other;
}

void ProcessCheck::finish(ProcessFinding finding, bool isUsable)
{
    timer_.cancel();
    const auto connection = std::exchange(connection_, nullptr);
    if (!connection) {
        return;
    }
    if (!isUsable) {
        connection->close();
    }
    if (const Done done = std::exchange(done_, nullptr)) {
        done(finding, isUsable ? connection : nullptr);
    }
}

} // namespace Proxy
