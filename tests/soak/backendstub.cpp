#include "backendstub.h"

#include <charconv>

namespace Soak {

namespace {

constexpr auto eventInterval = std::chrono::milliseconds(4);

std::string header(const Proxy::CallerRequest &request, const char *name)
{
    return std::string(request.head.headers.find(name).value_or(""));
}

asio::ip::tcp::endpoint anyPort()
{
    return {asio::ip::address_v4::loopback(), 0};
}

std::int64_t unixMilliseconds()
{
    const auto time = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

} // namespace

std::string eventData(const std::string &session, int number)
{
    return session + " " + std::to_string(number) + "\n";
}

std::string eventText(const std::string &session, int number, const std::string &version)
{
    return "id: " + std::to_string(number) + "\ndata: " + version + eventData(session, number)
           + "\n";
}

std::string plainResponse(const std::string &id, const std::string &target)
{
    std::string response = "answer to " + id + "\n";
    constexpr int fewLines = 20;
    constexpr int manyLines = 60'000;
    constexpr int longLine = 90;
    const bool isLarge = target == largeTarget;
    const int lines = isLarge ? manyLines : fewLines;
    const std::string filling(isLarge ? longLine : 0, ' ');
    for (int i = 0; i < lines; ++i) {
        response += id + " " + std::to_string(i);
        response += filling;
        response += "\n";
    }
    return response;
}

int eventCount(const std::string &body)
{
    int events = 0;
    const std::size_t lineEnd = body.rfind('\n');
    const std::size_t begin = lineEnd == std::string::npos ? 0 : lineEnd + 1;
    std::from_chars(body.data() + begin, body.data() + body.size(), events);
    return events;
}

namespace {

/// Responses that end with the connection: drawn from the id, so that the seeds of earlier failures
/// run the same faults.
bool isUnframed(const std::string &id)
{
    return Base::hash64(id, 2) % 8 == 0;
}

bool isUnframedBroken(const std::string &id)
{
    return Base::hash64(id, 3) % 16 == 0;
}

enum class Truncation {
    Abort,
    /// The connection ends in the ordinary way.
    End,
    Reset
};

} // namespace

struct BackendStub::Stream
{
    Stream(asio::io_context &context, Caller connection)
        : caller(std::move(connection))
        , timer(context)
    {}

    Caller caller;
    asio::steady_timer timer;
    std::string session;
    /// The software version that the events show.
    std::string version;
    int next = 1;
    int events = 0;
    int truncateAfter = 0;
    Truncation truncation = Truncation::Abort;
    std::string id;
    bool isDisconnected = false;
};

BackendStub::BackendStub(asio::io_context &context,
                         std::string id,
                         std::string service,
                         std::string version,
                         Ledger &ledger,
                         std::function<Base::Instant()> now,
                         std::uint64_t seed)
    : context_(context)
    , id_(std::move(id))
    , service_(std::move(service))
    , version_(std::move(version))
    , startedAt_(unixMilliseconds())
    , ledger_(ledger)
    , now_(std::move(now))
    , random_(seed)
    , acceptor_(context, anyPort())
    , relay_(context, anyPort(), acceptor_.local_endpoint())
    , handlers_(std::make_shared<Proxy::CallerHandlers>())
{
    handlers_->onRequest = [this](const Caller &caller, const Proxy::CallerRequest &request) {
        onRequest(caller, request);
    };
    handlers_->onRejected = [this](int, const std::string &problem) {
        ledger_.recordViolation("changed",
                                "server " + id_ + " got a malformed request: " + problem);
    };
    handlers_->limits = [] { return Contracts::CallerLimits{}; };
    handlers_->now = now_;
    handlers_->isStopping = [] { return false; };
    handlers_->onClosed = [](const Caller &, const auto &) {};
    accept();
}

void BackendStub::accept()
{
    acceptor_.async_accept([this](const std::error_code &error, asio::ip::tcp::socket socket) {
        if (!error) {
            std::make_shared<Proxy::CallerConnection>(std::move(socket), handlers_)->start();
            accept();
        }
    });
}

nlohmann::json BackendStub::entry(bool isLeaving) const
{
    const auto endpoint = relay_.endpoint();
    const Base::Instant now = now_();
    const Base::Duration coldLeft = std::max(coldUntil_, now) - now;
    return {
        {"service", service_},
        {"address", endpoint.address().to_string() + ":" + std::to_string(endpoint.port())},
        {"zone", "zone-a"},
        {"slots", 8},
        {"version", version_},
        {"state", isLeaving ? "draining" : "ready"},
        {"born", startedAt_},
        {"cold_left_ms", std::chrono::duration_cast<std::chrono::milliseconds>(coldLeft).count()}};
}

Proxy::ResponseHead BackendStub::head(int status, const std::string &id) const
{
    Proxy::ResponseHead result;
    result.status = status;
    result.reason = Proxy::reasonOf(status);
    result.headers.add("X-Attempt-Id", id);
    result.headers.add("X-Server-Stamp", id_);
    if (limit_ > 0) {
        result.headers.add("Server-Limit", std::to_string(limit_));
    }
    return result;
}

void BackendStub::restart()
{
    startedAt_ = std::max(startedAt_ + 1, unixMilliseconds());
    coldUntil_ = now_() + coldPeriod;
    ledger_.serverRestarted(id_, coldRate, coldUntil_);
}

void BackendStub::stop()
{
    relay_.close();
}

void BackendStub::start(std::string version)
{
    version_ = std::move(version);
    startedAt_ = std::max(startedAt_ + 1, unixMilliseconds());
    if (limit_ > 0) {
        setLimit(limit_); // the daemons learn it anew
    }
    relay_.open();
}

void BackendStub::setLimit(double perSecond)
{
    limit_ = perSecond;
    ledger_.serverLimited(id_, perSecond, now_());
}

void BackendStub::onRequest(const Caller &caller, const Proxy::CallerRequest &request)
{
    if (request.head.target == "/marjoramfield/report") {
        respondWithReport(caller);
        return;
    }
    const std::string id = header(request, "X-Attempt-Id");
    if (request.head.headers.contains("Authorization")) {
        ledger_.recordViolation("key", "server " + id_ + " got a caller's key");
    }
    if (header(request, "X-Target-Instance") != id_) {
        constexpr int misdirected = 421;
        caller->respond(head(misdirected, id), {});
        return;
    }
    ledger_.requestArrived(id_, now_());
    if (shouldInject(BackendFault::RefusesRequests)) {
        Proxy::ResponseHead refusal = head(503, id);
        refusal.headers.add("X-Not-Executed", "1");
        caller->respond(refusal, {});
        return;
    }
    ledger_.offered(id, id_);
    ledger_.runStarted(id, header(request, "X-Tenant"), request.head.target, request.body, now_());
    if (shouldInject(BackendFault::DropsResponses)) {
        breakOff(id);
        caller->abort();
    } else if (request.head.method == "POST" && eventCount(request.body) > 0) {
        beginStream(caller, request);
    } else {
        respondPlain(caller, request);
    }
}

/// Names no version: what a server says of itself only tells one process from another.
void BackendStub::respondWithReport(const Caller &caller) const
{
    Proxy::ResponseHead response;
    response.status = 200;
    response.reason = Proxy::reasonOf(response.status);
    response.headers.add("Content-Type", "application/json");
    caller->respond(response, nlohmann::json{{"born", startedAt_}, {"busy", false}}.dump());
}

/// Resets all connections to the server, as if its machine had failed.
void BackendStub::resetLater(const Caller &caller)
{
    constexpr auto transferTime = std::chrono::milliseconds(2);
    const auto timer = std::make_shared<asio::steady_timer>(context_, transferTime);
    timer->async_wait([this, timer, caller](const std::error_code &) {
        ledger_.disturbed(id_, now_(), {});
        relay_.resetAll();
    });
}

/// The response ends with the connection, some with a reset within the body.
void BackendStub::respondUnframed(const Caller &caller,
                                  const std::string &id,
                                  const std::string &body)
{
    caller->beginResponse(head(200, id), {Proxy::BodyFraming::UntilClose, std::nullopt});
    if (areUnframedBroken_ && isUnframedBroken(id)) {
        breakOff(id);
        caller->write(std::string_view(body).substr(0, body.size() / 2));
        caller->onceDrained([this, caller] { resetLater(caller); });
        return;
    }
    caller->write(body);
    caller->endResponse();
}

void BackendStub::respondPlain(const Caller &caller, const Proxy::CallerRequest &request)
{
    const std::string id = header(request, "X-Attempt-Id");
    const std::string body = plainResponse(id, request.head.target);
    if (shouldInject(BackendFault::TruncatesResponses)) {
        breakOff(id);
        caller->beginResponse(head(200, id), {Proxy::BodyFraming::Length, body.size()});
        caller->write(std::string_view(body).substr(0, body.size() / 2));
        caller->onceDrained([caller] { caller->abort(); });
        return;
    }
    if (shouldInject(BackendFault::DuplicatesResponses)) {
        // The duplicate arrives where the next response is expected.
        Proxy::ResponseHead first = head(200, id);
        const Proxy::Framing framing{Proxy::BodyFraming::Length, body.size()};
        const std::string duplicate = Proxy::serializeResponse(first, framing, true) + body;
        caller->beginResponse(first, {Proxy::BodyFraming::Length, body.size()});
        caller->write(body + duplicate);
        caller->endResponse();
        return;
    }
    if (isUnframed(id)) {
        respondUnframed(caller, id, body);
        return;
    }
    caller->respond(head(200, id), body);
}

void BackendStub::beginStream(const Caller &caller, const Proxy::CallerRequest &request)
{
    const auto stream = std::make_shared<Stream>(context_, caller);
    stream->id = header(request, "X-Attempt-Id");
    stream->session = header(request, "X-Session-Id");
    stream->version = request.head.target.starts_with("/turns/") ? version_ : "";
    stream->events = eventCount(request.body);
    const std::string last = header(request, "Last-Event-Id");
    stream->next = last.empty() ? 1 : eventCount(last) + 1;
    if (brokenAfter_ > 0) {
        stream->truncateAfter = stream->next + brokenAfter_ - 1;
    } else if (shouldInject(BackendFault::TruncatesResponses)) {
        stream->truncateAfter = stream->next
                                + static_cast<int>(random_.below(static_cast<std::uint64_t>(
                                    std::max(1, stream->events - stream->next))));
    } else if (areUnframedBroken_ && isUnframed(stream->id) && isUnframedBroken(stream->id)) {
        stream->truncateAfter = stream->next;
        stream->truncation
            = Base::hash64(stream->id, 4) % 2 == 0 ? Truncation::End : Truncation::Reset;
    }
    caller->onceDisconnected([stream] {
        stream->isDisconnected = true;
        stream->timer.cancel();
    });
    Proxy::ResponseHead response = head(200, header(request, "X-Attempt-Id"));
    response.headers.add("Content-Type", "text/event-stream");
    const auto framing
        = isUnframed(stream->id) ? Proxy::BodyFraming::UntilClose : Proxy::BodyFraming::Chunked;
    caller->beginResponse(response, {framing, std::nullopt});
    continueStream(stream);
}

/// Ends the stream within an event.
void BackendStub::truncate(const Stream &stream)
{
    breakOff(stream.id);
    const Caller caller = stream.caller;
    caller->write("id: " + std::to_string(stream.next) + "\nda");
    switch (stream.truncation) {
    case Truncation::Abort:
        caller->onceDrained([caller] { caller->abort(); });
        break;
    case Truncation::End:
        caller->endResponse();
        break;
    case Truncation::Reset:
        caller->onceDrained([this, caller] { resetLater(caller); });
        break;
    }
}

void BackendStub::continueStream(const std::shared_ptr<Stream> &stream)
{
    if (stream->isDisconnected) {
        return;
    }
    if (stream->truncateAfter > 0 && stream->next > stream->truncateAfter) {
        truncate(*stream);
        return;
    }
    if (stream->next > stream->events) {
        stream->caller->endResponse();
        return;
    }
    stream->caller->write(eventText(stream->session, stream->next++, stream->version));
    stream->timer.expires_after(eventInterval);
    stream->timer.async_wait([this, stream](const std::error_code &error) {
        if (!error) {
            continueStream(stream);
        }
    });
}

} // namespace Soak
