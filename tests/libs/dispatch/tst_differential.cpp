#include "helpers.h"

#include <base/random.h>
#include <base/visitor.h>

#include <criterion/criterion.h>

#include <algorithm>

using namespace Dispatch;

namespace {

/// Reference model: the calls that run at each server, and the state of each call.
struct Model
{
    std::map<Base::ServerId, std::set<std::uint64_t>> running;
    std::map<std::uint64_t, std::uint32_t> attempts;
    std::set<std::uint64_t> open;
    std::set<std::uint64_t> idempotent;
    std::map<Base::ServerId, ServerConfig> servers;
};

void check(Model &model, const DispatchAction &action, std::uint64_t seed)
{
    std::visit(Base::Visitor{
                   [&](const SendToServer &sent) {
                       const std::uint64_t id = sent.id.value();
                       const auto server = model.servers.find(sent.server);
                       cr_assert(server != model.servers.end(), "seed %zu", seed);
                       cr_assert_not(server->second.isLeaving, "seed %zu", seed);
                       cr_assert(model.open.contains(id), "seed %zu: call %zu ended", seed, id);
                       const std::uint32_t attempt = ++model.attempts[id];
                       cr_assert_eq(attempt, sent.attempt, "seed %zu", seed);
                       cr_assert(attempt == 1 || model.idempotent.contains(id), "seed %zu", seed);
                       auto &running = model.running[sent.server];
                       running.insert(id);
                       cr_assert_leq(running.size(), server->second.slots, "seed %zu", seed);
                   },
                   [&](const Refuse &refused) {
                       cr_assert_eq(model.open.erase(refused.id.value()), 1U, "seed %zu", seed);
                   },
                   [](const auto &) {}},
               action);
}

/// Passes a random event to the dispatcher, among those that a correct caller may pass.
void step(Dispatcher &dispatcher, Model &model, Base::Random &random, Base::Instant now)
{
    static std::uint64_t lastId = 0;
    std::vector<std::pair<Base::ServerId, std::uint64_t>> running;
    for (const auto &[server, ids] : model.running) {
        for (const std::uint64_t id : ids) {
            running.emplace_back(server, id);
        }
    }
    const std::uint64_t kind = random.below(20);
    if (kind < 9 || running.empty()) {
        DispatchRequest request = callOf(++lastId, "p" + std::to_string(random.below(30)));
        request.team = Base::TeamId("t" + std::to_string(random.below(4)));
        request.prefixTokens = Base::Tokens(static_cast<std::int64_t>(random.below(20000)));
        request.promptTokens = request.prefixTokens + Base::Tokens(100);
        request.isIdempotent = random.chance(0.5);
        request.deadline = now + std::chrono::milliseconds(100 + random.below(5000));
        model.open.insert(lastId);
        if (request.isIdempotent) {
            model.idempotent.insert(lastId);
        }
        dispatcher.enqueue(request, now);
        return;
    }
    const auto [server, id] = running[random.below(running.size())];
    if (kind < 15) {
        model.running[server].erase(id);
        model.open.erase(id);
        dispatcher.finished(DispatchId(id), usage(1000, 50), now);
    } else if (kind < 18) {
        model.running[server].erase(id);
        Failure failure;
        failure.error.ran = Base::Ran::MayHaveRun;
        dispatcher.failed(DispatchId(id), failure, now);
    } else if (kind < 19) {
        ServerConfig &config
            = std::next(model.servers.begin(),
                        static_cast<std::ptrdiff_t>(random.below(model.servers.size())))
                  ->second;
        config.isLeaving = !config.isLeaving;
        std::vector<ServerConfig> list;
        for (const auto &[name, entry] : model.servers) {
            list.push_back(entry);
        }
        dispatcher.serversChanged(list, now);
    } else {
        dispatcher.loadReported(server, 3, 1, now);
    }
}

} // namespace

Test(differential, eachCallIsSentAtMostOnceAtATimeAndNeverLost)
{
    for (std::uint64_t seed = 1; seed <= 400; seed++) {
        Base::Random random(seed);
        DispatchSettings settings;
        settings.initialServiceTime = std::chrono::milliseconds(200);
        Dispatcher dispatcher(Base::IncarnationId("d.1"), settings, seed);
        Model model;
        std::vector<ServerConfig> list;
        for (int i = 0; i < 5; i++) {
            list.push_back(serverConfig("s" + std::to_string(i), 1 + random.below(3)));
            model.servers[list.back().server] = list.back();
        }
        dispatcher.serversChanged(list, at(0));
        std::int64_t now = 0;
        const auto drain = [&] {
            for (const DispatchAction &action : dispatcher.takeActions()) {
                if (const auto *probe = std::get_if<Probe>(&action)) {
                    dispatcher.probed(probe->server, random.chance(0.7), at(now));
                }
                check(model, action, seed);
            }
        };
        for (int i = 0; i < 400; i++) {
            now += static_cast<std::int64_t>(random.below(30));
            step(dispatcher, model, random, at(now));
            drain();
            const auto wake = dispatcher.nextWakeUp();
            if (wake && *wake <= at(now)) {
                dispatcher.tick(at(now));
                drain();
            }
        }
        while (dispatcher.callCount() > 0) {
            now += 100;
            cr_assert_lt(now, 1000000, "seed %zu: calls are stuck", seed);
            const auto runningNow = model.running;
            for (const auto &[server, ids] : runningNow) {
                for (const std::uint64_t id : ids) {
                    model.running[server].erase(id);
                    model.open.erase(id);
                    dispatcher.finished(DispatchId(id), usage(100, 5), at(now));
                }
            }
            dispatcher.tick(at(now));
            drain();
        }
        cr_assert(model.open.empty(), "seed %zu: %zu calls lost", seed, model.open.size());
    }
}
