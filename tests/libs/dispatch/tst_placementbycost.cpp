#include <base/random.h>
#include <dispatch/costmodel.h>
#include <dispatch/promptaffinity.h>
#include <dispatch/requestplacer.h>

#include <criterion/criterion.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <list>
#include <queue>

using namespace Dispatch;

namespace {

const Base::ServiceId service("engine");
const Base::ZoneId zone("zone-a");

Base::Instant at(double milliseconds)
{
    return Base::Instant(
        std::chrono::hours(1)
        + std::chrono::microseconds(static_cast<std::int64_t>(milliseconds * 1000)));
}

Base::Duration ms(double milliseconds)
{
    return std::chrono::microseconds(static_cast<std::int64_t>(milliseconds * 1000));
}

std::vector<ListedServer> listOf(std::size_t count, std::uint32_t slots = 4)
{
    std::vector<ListedServer> list(count);
    for (std::size_t i = 0; i < count; ++i) {
        list[i].server.id = Base::ServerId("s" + std::to_string(i));
        list[i].server.service = service;
        list[i].server.address = "10.0.0." + std::to_string(i) + ":80";
        list[i].server.zone = zone;
        list[i].server.slots = slots;
        list[i].startedAt = 1;
    }
    return list;
}

std::vector<Base::ServerId> idsOf(std::size_t count)
{
    std::vector<Base::ServerId> ids;
    for (const ListedServer &each : listOf(count)) {
        ids.push_back(each.server.id);
    }
    return ids;
}

enum class Policy {
    LeastRequests,
    Fixed,
    ByCost
};

/// Turns of several daemons at engines that read prompts one at a time, produce in slots, and keep
/// a few shared parts in memory. Times are in milliseconds.
class EngineReplay
{
public:
    EngineReplay(Policy policy, std::uint64_t seed)
        : policy_(policy)
        , random_(seed)
        , engines_(engineCount)
    {
        for (std::size_t i = 0; i < engineCount; ++i) {
            engines_[i].pace = i % 3 == 0 ? 1.3 : 1;
        }
        for (std::size_t i = 0; i < daemonCount; ++i) {
            placers_.push_back(
                std::make_unique<RequestPlacer>(zone, PlacementSettings{}, seed + i));
            placers_.back()->serversChanged(listOf(engineCount, slots));
            if (policy == Policy::ByCost) {
                placers_.back()->placeByCost(service);
            }
        }
    }

    /// Returns the share of turns whose first token is late.
    double run(double turnsPerSecond, double duration)
    {
        for (double time = 0; time < duration;
             time += -std::log(1 - random_.unit()) / turnsPerSecond * 1000) {
            arrivals_.push_back(time);
        }
        for (const double time : arrivals_) {
            runEvents(time);
            place(time);
        }
        runEvents(duration + 60'000);
        const auto late = std::count_if(
            waits_.begin(), waits_.end(), [](double wait) { return wait > objective; });
        return static_cast<double>(late) / static_cast<double>(waits_.size());
    }

private:
    static constexpr std::size_t engineCount = 24;
    static constexpr std::size_t daemonCount = 12;
    static constexpr std::uint32_t slots = 12;
    static constexpr std::uint64_t sharedParts = 16;
    static constexpr std::size_t keptParts = 6;
    static constexpr double partTokens = 12'600;
    static constexpr double tokensPerMs = 147;
    static constexpr double objective = 500;

    struct Engine
    {
        double pace = 1;
        double readsUntil = 0;
        std::vector<double> ends;
        std::list<std::uint64_t> kept;
    };

    struct Event
    {
        double time = 0;
        std::function<void()> action;
        bool operator<(const Event &other) const { return time > other.time; }
    };

    void runEvents(double until)
    {
        while (!events_.empty() && events_.top().time <= until) {
            const auto action = events_.top().action;
            events_.pop();
            action();
        }
    }

    /// Some parts are used more often than others; some turns are long.
    std::vector<PromptPart> drawPrompt()
    {
        const auto part = static_cast<std::uint64_t>(sharedParts * std::pow(random_.unit(), 1.7));
        const double own = random_.chance(0.1) ? 8'400 : 840;
        return {{part + 1, Base::Tokens(static_cast<std::int64_t>(partTokens))},
                {random_.next(), Base::Tokens(static_cast<std::int64_t>(own))}};
    }

    std::size_t leastRequests() const
    {
        const auto least
            = std::min_element(engines_.begin(), engines_.end(), [](const auto &a, const auto &b) {
                  return a.ends.size() < b.ends.size();
              });
        return static_cast<std::size_t>(least - engines_.begin());
    }

    void place(double time)
    {
        RequestPlacer &placer = *placers_[random_.below(daemonCount)];
        const std::vector<PromptPart> prompt = drawPrompt();
        const auto placement = placer.choose(service, prompt, {}, at(time));
        std::size_t index
            = static_cast<std::size_t>(std::stoul(placement->instance.id.text().substr(1)));
        if (policy_ == Policy::LeastRequests) {
            index = leastRequests();
        }
        const ServerInstance instance{Base::ServerId("s" + std::to_string(index)), 1};
        placer.requestSent(instance, prompt);
        serve(engines_[index], placer, instance, prompt, placement->missingTokens, time);
    }

    void serve(Engine &engine,
               RequestPlacer &placer,
               const ServerInstance &instance,
               const std::vector<PromptPart> &prompt,
               Base::Tokens missing,
               double time)
    {
        std::erase_if(engine.ends, [&](double end) { return end <= time; });
        double start = time;
        if (engine.ends.size() >= slots) {
            std::sort(engine.ends.begin(), engine.ends.end());
            start = engine.ends[engine.ends.size() - slots];
        }
        const double reading = readingOf(engine, prompt) * engine.pace;
        const double head = std::max(start, engine.readsUntil) + reading;
        engine.readsUntil = head;
        const double end = head + 300 * engine.pace;
        engine.ends.push_back(end);
        waits_.push_back(head - time);
        events_.push({head, [this, &engine, &placer, instance, missing, head, time] {
                          const auto running = static_cast<std::uint32_t>(std::count_if(
                              engine.ends.begin(), engine.ends.end(), [&](double each) {
                                  return each > head;
                              }));
                          placer.loadReported(instance,
                                              std::min(running, slots),
                                              running - std::min(running, slots),
                                              at(head));
                          placer.responseReceived(instance, ms(head - time), at(head));
                          placer.costObserved(service, missing, ms(head - time));
                      }});
        events_.push({end, [&placer, instance] { placer.requestEnded(instance); }});
    }

    static double readingOf(Engine &engine, const std::vector<PromptPart> &prompt)
    {
        const auto known = std::find(engine.kept.begin(), engine.kept.end(), prompt.front().key);
        double tokens = static_cast<double>(prompt.back().tokens.value());
        if (known == engine.kept.end()) {
            tokens += partTokens;
            engine.kept.push_front(prompt.front().key);
            if (engine.kept.size() > keptParts) {
                engine.kept.pop_back();
            }
        } else {
            engine.kept.splice(engine.kept.begin(), engine.kept, known);
        }
        return tokens / tokensPerMs;
    }

    Policy policy_;
    Base::Random random_;
    std::vector<Engine> engines_;
    std::vector<std::unique_ptr<RequestPlacer>> placers_;
    std::vector<double> arrivals_;
    std::priority_queue<Event> events_;
    std::vector<double> waits_;
};

} // namespace

/// Guards against a choice that ignores which prompt parts a server can keep: engines then read the
/// shared parts again and again, and many first tokens are late. The load leaves a third of the
/// engines' time free if no shared part is read twice.
Test(placementbycost, fewerTurnsAreLateThanWithOtherPolicies)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        const double least = EngineReplay(Policy::LeastRequests, seed).run(430, 30'000);
        const double fixed = EngineReplay(Policy::Fixed, seed).run(430, 30'000);
        const double byCost = EngineReplay(Policy::ByCost, seed).run(430, 30'000);
        cr_log_info("seed %d: least requests %.3f, fixed costs %.3f, learned costs %.3f late",
                    int(seed),
                    least,
                    fixed,
                    byCost);
        cr_assert_lt(byCost, fixed, "seed %d: %f, %f", int(seed), byCost, fixed);
        cr_assert_lt(byCost, least, "seed %d: %f, %f", int(seed), byCost, least);
    }
}

/// Guards against an estimate that stays at its initial value on engines of another speed.
Test(costmodel, learnsTheSpeedOfReading)
{
    CostModel model({});
    for (int i = 0; i < 300; ++i) {
        model.responded(Base::Tokens(840), ms(45));
        model.responded(Base::Tokens(13'440), ms(45 + 13'440 / 147.0));
    }
    const double error = std::abs(model.tokensPerMs() / 147 - 1);
    cr_assert_lt(error, 0.25);
}

/// Guards against answers that come sooner than any reading could, such as failures.
Test(costmodel, ignoresResponsesFasterThanTheBase)
{
    CostModel model({});
    const double before = model.tokensPerMs();
    for (int i = 0; i < 300; ++i) {
        model.responded(Base::Tokens(13'440), ms(1));
    }
    cr_assert_eq(model.tokensPerMs(), before);
}

/// Guards against daemons that disagree on where a part is kept.
Test(promptaffinity, daemonsWithTheSameDemandChooseTheSameServers)
{
    PromptAffinity first({});
    PromptAffinity second({});
    auto reversed = idsOf(30);
    std::reverse(reversed.begin(), reversed.end());
    first.serversChanged(idsOf(30));
    second.serversChanged(reversed);
    for (int i = 0; i < 100; ++i) {
        first.observe(static_cast<std::uint64_t>(i % 10), at(i));
        second.observe(static_cast<std::uint64_t>(i % 10), at(i));
    }
    cr_assert(*first.homesOf(3, at(100)) == *second.homesOf(3, at(100)));
}

/// Guards against the loss of all kept parts when one server comes or goes.
Test(promptaffinity, aServerThatLeavesChangesOneHomeAtMost)
{
    PromptAffinity affinity({});
    affinity.serversChanged(idsOf(30));
    for (int i = 0; i < 100; ++i) {
        affinity.observe(static_cast<std::uint64_t>(i % 10), at(i));
    }
    const auto before = *affinity.homesOf(3, at(100));
    affinity.serversChanged(idsOf(29));
    const auto &after = *affinity.homesOf(3, at(100));
    const auto kept = std::count_if(
        after.begin(), after.end(), [&](const auto &id) { return before.contains(id); });
    cr_assert_geq(kept, static_cast<std::ptrdiff_t>(after.size()) - 1);
}

/// Guards against memory that grows with the parts ever seen, and against rare parts on all
/// servers.
Test(promptaffinity, whatIsKeptIsBounded)
{
    PromptAffinity affinity({.maxParts = 100});
    affinity.serversChanged(idsOf(30));
    for (std::uint64_t i = 0; i < 1000; ++i) {
        affinity.observe(i, at(static_cast<double>(i)));
    }
    cr_assert_null(affinity.homesOf(1, at(1000)));
    cr_assert_leq(affinity.homesOf(999, at(1000))->size(), 5U);
}

/// Guards against statements of slowness that are absurd, old, or of an earlier instance.
Test(placementbycost, absurdOldOrForeignSlownessIsIgnored)
{
    for (const std::uint32_t percent : {0U, 1'000'000U}) {
        RequestPlacer placer(zone, {.jitter = 0}, 1);
        placer.serversChanged(listOf(2));
        placer.placeByCost(service);
        placer.requestSent({Base::ServerId("s1"), 1}, {});
        placer.slownessReported({Base::ServerId("s0"), 1}, percent, at(0));
        placer.slownessReported({Base::ServerId("s0"), 7}, 900, at(0));
        cr_assert_eq(placer.choose(service, {}, {}, at(1))->instance.id, Base::ServerId("s0"));
    }
    RequestPlacer placer(zone, {.jitter = 0}, 1);
    placer.serversChanged(listOf(2));
    placer.placeByCost(service);
    placer.requestSent({Base::ServerId("s1"), 1}, {});
    placer.slownessReported({Base::ServerId("s0"), 1}, 900, at(0));
    cr_assert_eq(placer.choose(service, {}, {}, at(1))->instance.id, Base::ServerId("s1"));
    cr_assert_eq(placer.choose(service, {}, {}, at(400))->instance.id, Base::ServerId("s0"));
}

/// Guards against a change for services whose requests are not placed by cost.
Test(placementbycost, otherServicesAreServedAsBefore)
{
    RequestPlacer untouched(zone, {}, 1);
    RequestPlacer other(zone, {}, 1);
    untouched.serversChanged(listOf(20));
    other.serversChanged(listOf(20));
    other.placeByCost(Base::ServiceId("another"));
    for (int i = 0; i < 200; ++i) {
        const std::vector<PromptPart> prompt{
            {static_cast<std::uint64_t>(i % 5), Base::Tokens(5000)},
            {static_cast<std::uint64_t>(1000 + i), Base::Tokens(500)}};
        const auto first = untouched.choose(service, prompt, {}, at(i));
        const auto second = other.choose(service, prompt, {}, at(i));
        cr_assert_eq(first->instance.id, second->instance.id);
        untouched.requestSent(first->instance, prompt);
        other.requestSent(second->instance, prompt);
    }
}
