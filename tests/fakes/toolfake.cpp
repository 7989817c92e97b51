#include "toolfake.h"

#include "httpserver.h"
#include "requestlog.h"

#include <mutex>

namespace Fakes {

namespace {

struct Fault
{
    ToolFault kind = ToolFault::None;
    std::chrono::milliseconds delay{0};
};

ToolFault toToolFault(const std::string &name)
{
    if (name == "hang") {
        return ToolFault::Hang;
    }
    if (name == "slow") {
        return ToolFault::Slow;
    }
    if (name == "die_after_doing") {
        return ToolFault::DieAfterDoing;
    }
    if (name == "fail_before_doing") {
        return ToolFault::FailBeforeDoing;
    }
    return ToolFault::None;
}

nlohmann::json toJson(const LedgerEntry &entry)
{
    return {{"path", entry.path}, {"body", entry.body}, {"request_id", entry.requestId}};
}

bool isLookup(const Request &request)
{
    const auto method = request->header().method();
    return method == restinio::http_method_get() || method == restinio::http_method_head();
}

} // namespace

class ToolFake::Private
{
public:
    Private()
        : server([this](const Request &request) { handle(request); })
    {}

    void inject(ToolFault kind, int delayMs, int count)
    {
        const std::lock_guard lock(mutex_);
        fault_ = {kind, std::chrono::milliseconds(delayMs)};
        faultsLeft_ = count;
    }

    std::vector<LedgerEntry> ledger() const
    {
        const std::lock_guard lock(mutex_);
        return ledger_;
    }

    std::vector<ReceivedRequest> received() const
    {
        const std::lock_guard lock(mutex_);
        return received_.requests();
    }

    HttpServer server;

private:
    void handle(const Request &request)
    {
        if (request->header().path().substr(0, 8) == "/control") {
            return handleControl(request);
        }
        const Fault fault = note(request);
        switch (fault.kind) {
        case ToolFault::None:
            return answer(request, 200, execute(request));
        case ToolFault::Hang:
            return waitForever(request);
        case ToolFault::Slow:
            return answerLater(request, execute(request), fault.delay);
        case ToolFault::DieAfterDoing:
            execute(request);
            PeerSocket(request, server.port()).shutDown();
            return answer(request, 500, std::string());
        case ToolFault::FailBeforeDoing:
            return answer(request, 500, {{"error", "injected"}});
        }
    }

    Fault note(const Request &request)
    {
        const std::lock_guard lock(mutex_);
        received_.add(toReceived(request));
        if (faultsLeft_ == 0) {
            return {};
        }
        if (faultsLeft_ > 0) {
            --faultsLeft_;
        }
        return fault_;
    }

    nlohmann::json execute(const Request &request)
    {
        const std::string path(request->header().path());
        if (isLookup(request)) {
            return {{"lookup", path}};
        }
        const std::lock_guard lock(mutex_);
        ledger_.push_back({path, request->body(), header(request, "X-Request-Id")});
        return {{"executed", path}, {"execution", ledger_.size()}};
    }

    void waitForever(const Request &request)
    {
        answerLater(request, {{"error", "hung"}}, std::chrono::hours(1));
    }

    void answerLater(const Request &request, nlohmann::json body, std::chrono::milliseconds delay)
    {
        const auto timer = std::make_shared<asio::steady_timer>(server.context(), delay);
        timer->async_wait([timer, request, body = std::move(body)](const asio::error_code &error) {
            if (!error) {
                answer(request, 200, body);
            }
        });
    }

    void handleControl(const Request &request)
    {
        const auto path = request->header().path();
        if (path == "/control/ledger") {
            nlohmann::json entries = nlohmann::json::array();
            for (const LedgerEntry &entry : ledger()) {
                entries.push_back(toJson(entry));
            }
            return answer(request, 200, entries);
        }
        if (path == "/control/received") {
            return answer(request, 200, toJson(received()));
        }
        const auto body = parseBody(request);
        if (!body.is_object()) {
            return answer(request, 400, {{"error", "expected a JSON object"}});
        }
        inject(toToolFault(body.value("fault", "none")),
               body.value("delay_ms", 0),
               body.value("count", -1));
        answer(request, 200, nlohmann::json::object());
    }

    mutable std::mutex mutex_;
    Fault fault_;
    int faultsLeft_ = 0;
    std::vector<LedgerEntry> ledger_;
    RequestLog received_;
};

ToolFake::ToolFake()
    : private_(std::make_unique<Private>())
{}

ToolFake::~ToolFake()
{
    private_->server.stop();
}

void ToolFake::start(std::uint16_t port, const std::string &address)
{
    private_->server.start(port, address);
}

std::uint16_t ToolFake::port() const
{
    return private_->server.port();
}

std::string ToolFake::url() const
{
    return private_->server.url();
}

void ToolFake::stop()
{
    private_->server.stop();
}

void ToolFake::inject(ToolFault fault, int delayMs, int count)
{
    private_->inject(fault, delayMs, count);
}

std::vector<LedgerEntry> ToolFake::ledger() const
{
    return private_->ledger();
}

std::vector<ReceivedRequest> ToolFake::received() const
{
    return private_->received();
}

} // namespace Fakes
