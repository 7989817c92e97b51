#include "enginefake.h"

#include "enginejobs.h"
#include "requestlog.h"

#include <map>
#include <mutex>

namespace Fakes {

namespace {

constexpr auto sweepInterval = std::chrono::milliseconds(20);
constexpr auto loadSampleInterval = std::chrono::milliseconds(20);

constexpr const char *nonsense = "\x01<<no stream>>\n\ndata: {\"choices\": 7\n\n";

struct LoadSample
{
    std::int64_t atMs = 0;
    int running = 0;
    int queued = 0;
    std::vector<std::string> programs;
};

EngineFault toEngineFault(const std::string &name)
{
    if (name == "fail") {
        return EngineFault::Fail;
    }
    if (name == "hang") {
        return EngineFault::Hang;
    }
    if (name == "half_stream") {
        return EngineFault::HalfStream;
    }
    if (name == "nonsense") {
        return EngineFault::Nonsense;
    }
    return EngineFault::None;
}

nlohmann::json refusal(const std::string &message)
{
    return {{"error", {{"message", message}}}};
}

nlohmann::json toJson(const CacheEvent &event)
{
    return {{"sequence", event.sequence},
            {"type", event.type},
            {"program", event.program},
            {"tokens", event.tokens},
            {"at_ms", event.atMs}};
}

std::string queryValue(const Request &request, const std::string &name)
{
    const auto query = restinio::parse_query(request->header().query());
    return query.has(name) ? std::string(query[name]) : std::string();
}

} // namespace

class EngineFake::Private
{
public:
    explicit Private(EngineSettings settings)
        : settings_(settings)
        , server([this](const Request &request) { receive(request); }, [this] { cleanUp(); })
        , cache_(settings.cacheTokens)
        , jobs_(settings_, server, cache_, mutex_)
    {}

    void start(std::uint16_t port, const std::string &address)
    {
        server.start(port, address);
        asio::post(server.context(), [this] { scheduleSweep(); });
    }

    void inject(EngineFault fault, int count)
    {
        const std::lock_guard lock(mutex_);
        fault_ = fault;
        faultsLeft_ = count;
    }

    EngineCounters counters() const
    {
        const std::lock_guard lock(mutex_);
        EngineCounters counters = jobs_.counters();
        counters.fencedOrders = fencedOrders_;
        counters.cachedTokens = cache_.tokens();
        return counters;
    }

    std::vector<ReceivedRequest> received() const
    {
        const std::lock_guard lock(mutex_);
        return received_.requests();
    }

    std::vector<std::string> cachedPrograms() const
    {
        const std::lock_guard lock(mutex_);
        return cache_.programs();
    }

private:
    EngineSettings settings_;

public:
    HttpServer server;

private:
    void receive(const Request &request)
    {
        const std::string path(request->header().path());
        if (path.starts_with("/control")) {
            return handleControl(request, path);
        }
        const std::lock_guard lock(mutex_);
        received_.add(toReceived(request));
        if (path == "/v1/chat/completions") {
            return complete(request);
        }
        if (path == "/load") {
            return reportLoad(request);
        }
        if (path == "/cache/events") {
            return reportEvents(request);
        }
        if (path.starts_with("/orders/")) {
            return handleOrder(request, path);
        }
        if (path.starts_with("/cache/")) {
            return movePrefix(request, path);
        }
        answer(request, 404, refusal("no such path"));
    }

    void complete(const Request &request)
    {
        const EngineFault fault = takeFault();
        if (fault == EngineFault::Fail) {
            return answer(request, 500, refusal("injected failure"));
        }
        if (fault == EngineFault::Nonsense) {
            return answer(request, 200, std::string(nonsense));
        }
        if (fault == EngineFault::Hang) {
            return hung_.push_back(request);
        }
        auto generation = planGeneration(parseBody(request), header(request, "X-Marjoram-Program"));
        if (!generation) {
            return answer(request, 400, refusal("malformed chat completion request"));
        }
        jobs_.submit(request, std::move(*generation), fault);
    }

    EngineFault takeFault()
    {
        if (faultsLeft_ == 0) {
            return EngineFault::None;
        }
        if (faultsLeft_ > 0) {
            --faultsLeft_;
        }
        return fault_;
    }

    void reportLoad(const Request &request)
    {
        const std::int64_t now = nowMs();
        const LoadSample sample = samples_.empty() ? LoadSample{now, 0, 0, {}} : samples_.front();
        answer(request,
               200,
               {{"running", sample.running},
                {"queued", sample.queued},
                {"as_of_ms", sample.atMs},
                {"now_ms", now},
                {"cached_programs", sample.programs}});
    }

    void reportEvents(const Request &request)
    {
        const std::string after = queryValue(request, "after");
        const std::uint64_t first = after.empty() ? 0 : std::strtoull(after.c_str(), nullptr, 10);
        const std::int64_t visibleUpTo = nowMs() - settings_.eventDelayMs;
        const auto nth = static_cast<std::uint64_t>(settings_.loseEveryNthEvent);
        nlohmann::json events = nlohmann::json::array();
        for (const CacheEvent &event : cache_.events()) {
            const bool isLost = nth > 0 && event.sequence % nth == 0;
            if (event.sequence > first && event.atMs <= visibleUpTo && !isLost) {
                events.push_back(toJson(event));
            }
        }
        answer(request, 200, {{"events", std::move(events)}});
    }

    void handleOrder(const Request &request, const std::string &path)
    {
        const auto body = parseBody(request);
        if (!body.is_object()) {
            return answer(request, 400, refusal("expected a JSON object"));
        }
        // Programs belong to different partitions, whose fencing numbers are unrelated.
        const std::string program = body.value("program", "");
        if (!passesFencing(path + " " + program, header(request, "X-Fencing-Epoch"))) {
            ++fencedOrders_;
            return answer(request, 409, refusal("old fencing number"));
        }
        if (path == "/orders/release") {
            cache_.release(program, nowMs());
            return answer(request, 200, {{"released", program}});
        }
        if (path == "/orders/role") {
            role_ = body.value("role", "");
            return answer(request, 200, {{"role", role_}});
        }
        answer(request, 404, refusal("no such order"));
    }

    bool passesFencing(const std::string &scope, const std::string &epochText)
    {
        if (!settings_.checksFencing || epochText.empty()) {
            return true;
        }
        const std::uint64_t epoch = std::strtoull(epochText.c_str(), nullptr, 10);
        std::uint64_t &newest = newestEpochs_[scope];
        if (epoch < newest) {
            return false;
        }
        newest = epoch;
        return true;
    }

    void movePrefix(const Request &request, const std::string &path)
    {
        const auto body = parseBody(request);
        const std::string program = body.is_object() ? body.value("program", "") : "";
        if (path == "/cache/export") {
            const auto *context = cache_.find(program);
            return context ? answer(request, 200, {{"program", program}, {"tokens", *context}})
                           : answer(request, 404, refusal("not in the cache"));
        }
        if (path != "/cache/import" || !body.is_object() || !body.contains("tokens")) {
            return answer(request, 400, refusal("expected a program and its tokens"));
        }
        cache_.store(program, body["tokens"].get<std::vector<TokenHash>>(), nowMs());
        answer(request, 200, {{"imported", program}});
    }

    void handleControl(const Request &request, const std::string &path)
    {
        if (path == "/control/received") {
            return answer(request, 200, toJson(received()));
        }
        if (path == "/control/counters") {
            return answer(request, 200, countersJson());
        }
        const auto body = parseBody(request);
        if (!body.is_object()) {
            return answer(request, 400, refusal("expected a JSON object"));
        }
        inject(toEngineFault(body.value("fault", "none")), body.value("count", -1));
        answer(request, 200, nlohmann::json::object());
    }

    nlohmann::json countersJson() const
    {
        const EngineCounters now = counters();
        return {{"running", now.running},
                {"queued", now.queued},
                {"completed", now.completed},
                {"cancelled", now.cancelled},
                {"prefilled_tokens", now.prefilledTokens},
                {"cache_hit_tokens", now.cacheHitTokens},
                {"fenced_orders", now.fencedOrders},
                {"cached_tokens", now.cachedTokens},
                {"cached_programs", cachedPrograms()}};
    }

    void scheduleSweep()
    {
        const auto timer = std::make_shared<asio::steady_timer>(server.context(), sweepInterval);
        timer->async_wait([this, timer](const asio::error_code &error) {
            if (error) {
                return;
            }
            sweep();
            scheduleSweep();
        });
    }

    void sweep()
    {
        const std::lock_guard lock(mutex_);
        jobs_.sweep();
        const std::int64_t now = nowMs();
        samples_.push_back({now, jobs_.running(), jobs_.queued(), cache_.programs()});
        while (samples_.size() > 1 && samples_[1].atMs <= now - settings_.loadLagMs) {
            samples_.pop_front();
        }
    }

    void cleanUp()
    {
        const std::lock_guard lock(mutex_);
        jobs_.clear();
        hung_.clear();
    }

    /// Guards all below; recursive, as the jobs' timers and the handlers share their functions.
    mutable std::recursive_mutex mutex_;
    PrefixCache cache_;
    EngineJobs jobs_;
    EngineFault fault_ = EngineFault::None;
    int faultsLeft_ = 0;
    std::map<std::string, std::uint64_t> newestEpochs_;
    std::uint64_t fencedOrders_ = 0;
    std::string role_;
    std::deque<LoadSample> samples_;
    std::vector<Request> hung_;
    RequestLog received_;
};

EngineFake::EngineFake(EngineSettings settings)
    : private_(std::make_unique<Private>(settings))
{}

EngineFake::~EngineFake()
{
    private_->server.stop();
}

void EngineFake::start(std::uint16_t port, const std::string &address)
{
    private_->start(port, address);
}

std::uint16_t EngineFake::port() const
{
    return private_->server.port();
}

std::string EngineFake::url() const
{
    return private_->server.url();
}

void EngineFake::stop()
{
    private_->server.stop();
}

void EngineFake::inject(EngineFault fault, int count)
{
    private_->inject(fault, count);
}

EngineCounters EngineFake::counters() const
{
    return private_->counters();
}

std::vector<ReceivedRequest> EngineFake::received() const
{
    return private_->received();
}

std::vector<std::string> EngineFake::cachedPrograms() const
{
    return private_->cachedPrograms();
}

} // namespace Fakes
