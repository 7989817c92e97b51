#include "storefake.h"

#include "httpserver.h"
#include "objecttable.h"
#include "storeprotocol.h"

#include <base/random.h>

#include <list>
#include <mutex>

namespace Fakes {

namespace {

constexpr std::size_t bodyLimit = 1'400'000;
constexpr auto watchSweepInterval = std::chrono::milliseconds(100);

struct Watch
{
    std::string plural;
    std::string name;
    StreamBuilder stream;
    PeerSocket peer;
};

StoreMode toStoreMode(const std::string &name)
{
    if (name == "outage") {
        return StoreMode::Outage;
    }
    if (name == "hang") {
        return StoreMode::Hang;
    }
    if (name == "slow") {
        return StoreMode::Slow;
    }
    if (name == "lose_answers") {
        return StoreMode::LoseAnswers;
    }
    return StoreMode::Ok;
}

std::string watchLine(const TableEvent &event)
{
    const nlohmann::json line{{"type", event.type}, {"object", toJson(event.object)}};
    return line.dump() + "\n";
}

bool isGet(const Request &request)
{
    return request->header().method() == restinio::http_method_get();
}

} // namespace

class StoreFake::Private
{
public:
    Private()
        : server([this](const Request &request) { receive(request); }, [this] { dropWatches(); })
    {}

    void start(std::uint16_t port, const std::string &address)
    {
        server.start(port, address);
        scheduleSweep();
    }

    void setBehaviour(const StoreBehaviour &behaviour)
    {
        const std::lock_guard lock(mutex_);
        behaviour_ = behaviour;
        random_ = Base::Random(behaviour.seed);
    }

    StoreCounters counters() const
    {
        const std::lock_guard lock(mutex_);
        return counters_;
    }

    std::optional<std::string> data(const std::string &plural, const std::string &name) const
    {
        const std::lock_guard lock(mutex_);
        const TableObject *object = table_.find(plural, name);
        return object ? std::optional(object->data) : std::nullopt;
    }

    HttpServer server;

private:
    void receive(const Request &request)
    {
        if (request->header().path().substr(0, 8) == "/control") {
            return handleControl(request);
        }
        const StoreBehaviour behaviour = presentBehaviour();
        switch (behaviour.mode) {
        case StoreMode::Outage:
            return refuse(request, 503, "ServiceUnavailable");
        case StoreMode::Hang:
            return later(std::chrono::hours(1), [request] { refuse(request, 503, "Hang"); });
        case StoreMode::Slow:
            return later(std::chrono::milliseconds(behaviour.delayMs),
                         [this, request] { handle(request); });
        case StoreMode::Ok:
        case StoreMode::LoseAnswers:
            return handle(request);
        }
    }

    void handle(const Request &request)
    {
        std::optional<Target> target;
        try {
            target = parseTarget(request);
            if (!target) {
                return refuse(request, 404, "NotFound");
            }
            dispatch(request, *target);
        } catch (const std::exception &error) {
            refuse(request, 400, error.what());
        }
    }

    void dispatch(const Request &request, const Target &target)
    {
        if (isGet(request)) {
            return target.isWatch ? watch(request, target) : read(request, target);
        }
        write(request, target);
    }

    void read(const Request &request, const Target &target)
    {
        const std::lock_guard lock(mutex_);
        ++counters_.reads;
        if (target.name.empty()) {
            return answer(request, 200, list(target));
        }
        const TableObject *object = table_.find(target.plural, target.name);
        if (!object) {
            return refuse(request, 404, "NotFound");
        }
        answer(request, 200, toJson(*object));
    }

    nlohmann::json list(const Target &target) const
    {
        nlohmann::json items = nlohmann::json::array();
        for (const TableObject &object : table_.list(target.plural, target.namePrefix)) {
            if (target.selectedName.empty() || target.selectedName == object.name) {
                items.push_back(toJson(object));
            }
        }
        return {{"kind", "List"},
                {"metadata", {{"resourceVersion", std::to_string(table_.version())}}},
                {"items", std::move(items)}};
    }

    void write(const Request &request, const Target &target)
    {
        if (request->body().size() > bodyLimit) {
            return refuse(request, 413, "RequestEntityTooLarge");
        }
        std::unique_lock lock(mutex_);
        ++counters_.writes;
        const std::uint64_t before = table_.version();
        nlohmann::json body = nlohmann::json::object();
        const std::optional<TableOutcome> outcome = apply(request, target, body);
        lock.unlock();
        publishAfter(before);
        if (!outcome) {
            return refuse(request, 400, "BadRequest");
        }
        if (*outcome == TableOutcome::Done && losesAnswer()) {
            PeerSocket(request, server.port()).shutDown();
        }
        answerOutcome(request, *outcome, body);
    }

    std::optional<TableOutcome> apply(const Request &request,
                                      const Target &target,
                                      nlohmann::json &body)
    {
        const auto method = request->header().method();
        if (method == restinio::http_method_delete()) {
            body = statusObject(200, "Success");
            return table_.remove(target.plural, target.name);
        }
        std::optional<TableObject> object = parseObject(request, target);
        if (!object) {
            return std::nullopt;
        }
        const bool isCreate = method == restinio::http_method_post();
        const auto outcome = isCreate ? table_.create(*object) : table_.replace(*object);
        body = toJson(*object);
        return outcome;
    }

    bool losesAnswer()
    {
        const std::lock_guard lock(mutex_);
        return behaviour_.mode == StoreMode::LoseAnswers && random_.chance(behaviour_.probability);
    }

    void watch(const Request &request, const Target &target)
    {
        const std::lock_guard lock(mutex_);
        ++counters_.watches;
        const auto events = table_.eventsSince(target.resourceVersion);
        if (!events) {
            return refuse(request, 410, "Expired");
        }
        watches_.push_back({target.plural,
                            target.selectedName,
                            startStream(request, "application/json"),
                            PeerSocket(request, server.port())});
        for (const TableEvent &event : *events) {
            send(watches_.back(), event);
        }
        counters_.waitingWatches = watches_.size();
    }

    static void send(Watch &watch, const TableEvent &event)
    {
        const bool isNamed = watch.name.empty() || watch.name == event.object.name;
        if (watch.plural == event.object.plural && isNamed) {
            watch.stream.append_chunk(watchLine(event));
            watch.stream.flush();
        }
    }

    void publishAfter(std::uint64_t version)
    {
        const std::lock_guard lock(mutex_);
        const auto events = table_.eventsSince(version);
        for (const TableEvent &event : *events) {
            for (Watch &watch : watches_) {
                send(watch, event);
            }
        }
    }

    void scheduleSweep()
    {
        later(watchSweepInterval, [this] {
            sweepWatches();
            scheduleSweep();
        });
    }

    void sweepWatches()
    {
        const StoreMode mode = presentBehaviour().mode;
        if (mode == StoreMode::Outage || mode == StoreMode::Hang) {
            return dropWatches();
        }
        const std::lock_guard lock(mutex_);
        for (auto watch = watches_.begin(); watch != watches_.end();) {
            if (watch->peer.isClosedByPeer()) {
                watch->stream.done();
                watch = watches_.erase(watch);
            } else {
                ++watch;
            }
        }
        counters_.waitingWatches = watches_.size();
    }

    void dropWatches()
    {
        const std::lock_guard lock(mutex_);
        for (Watch &watch : watches_) {
            watch.peer.shutDown();
            watch.stream.done();
        }
        watches_.clear();
        counters_.waitingWatches = 0;
    }

    StoreBehaviour presentBehaviour() const
    {
        const std::lock_guard lock(mutex_);
        return behaviour_;
    }

    template<typename Function>
    void later(std::chrono::steady_clock::duration delay, Function function)
    {
        const auto timer = std::make_shared<asio::steady_timer>(server.context(), delay);
        timer->async_wait([timer, function](const asio::error_code &error) mutable {
            if (!error) {
                function();
            }
        });
    }

    void handleControl(const Request &request)
    {
        if (isGet(request)) {
            const StoreCounters now = counters();
            return answer(request,
                          200,
                          {{"reads", now.reads},
                           {"writes", now.writes},
                           {"watches", now.watches},
                           {"waiting_watches", now.waitingWatches}});
        }
        const auto body = parseBody(request);
        if (!body.is_object()) {
            return refuse(request, 400, "BadRequest");
        }
        setBehaviour({toStoreMode(body.value("mode", "ok")),
                      body.value("delay_ms", 0),
                      body.value("probability", 1.0),
                      body.value("seed", std::uint64_t(0))});
        answer(request, 200, nlohmann::json::object());
    }

    mutable std::mutex mutex_;
    StoreBehaviour behaviour_;
    Base::Random random_{0};
    StoreCounters counters_;
    ObjectTable table_;
    std::list<Watch> watches_;
};

StoreFake::StoreFake()
    : private_(std::make_unique<Private>())
{}

StoreFake::~StoreFake()
{
    private_->server.stop();
}

void StoreFake::start(std::uint16_t port, const std::string &address)
{
    private_->start(port, address);
}

std::uint16_t StoreFake::port() const
{
    return private_->server.port();
}

std::string StoreFake::url() const
{
    return private_->server.url();
}

void StoreFake::stop()
{
    private_->server.stop();
}

void StoreFake::setBehaviour(const StoreBehaviour &behaviour)
{
    private_->setBehaviour(behaviour);
}

StoreCounters StoreFake::counters() const
{
    return private_->counters();
}

std::optional<std::string> StoreFake::data(const std::string &plural, const std::string &name) const
{
    return private_->data(plural, name);
}

} // namespace Fakes
