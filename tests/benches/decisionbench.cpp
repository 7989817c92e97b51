#include <admission/rateborrowertable.h>
#include <base/random.h>
#include <dispatch/dispatcher.h>

#include <chrono>
#include <cstdio>
#include <string>

// Cost of one decision, and how it grows. Times are of this machine; nothing is asserted.

namespace {

using Clock = std::chrono::steady_clock;

constexpr int repetitions = 20000;

double microsecondsSince(Clock::time_point start)
{
    return std::chrono::duration<double, std::micro>(Clock::now() - start).count();
}

Base::Instant at(std::int64_t microseconds)
{
    return Base::Instant(Base::Duration(microseconds));
}

/// Mean cost of an admission with a permit at hand, over all teams in turn.
double admissionCost(std::size_t teams)
{
    Admission::RateBorrowerTable table(Base::IncarnationId("a.1"), Admission::BorrowerSettings{});
    std::vector<Base::TeamId> names;
    for (std::size_t i = 0; i < teams; i++) {
        names.emplace_back("team-" + std::to_string(i));
        table.configured(names.back(), {1000, Admission::Permits(1'000'000)});
    }
    std::uint64_t request = 0;
    const auto lend = [&] {
        for (const Admission::BorrowerAction &action : table.takeActions()) {
            if (const auto *ask = std::get_if<Admission::SendGrantRequest>(&action)) {
                Admission::Grant grant{ask->request.team, Base::Epoch(1), Base::GrantId(++request)};
                grant.borrower = ask->request.borrower;
                grant.answers = ask->request.number;
                grant.permits = Admission::Permits(1'000'000);
                grant.validFor = std::chrono::hours(1);
                table.granted(grant, at(0));
            }
        }
        table.takeActions();
    };
    for (const Base::TeamId &team : names) {
        table.arrived(team, Base::RequestId(++request), at(1'000'000), at(0));
        lend();
    }
    const Clock::time_point start = Clock::now();
    for (int i = 0; i < repetitions; i++) {
        const Base::TeamId &team = names[static_cast<std::size_t>(i) % teams];
        table.arrived(team, Base::RequestId(++request), at(1'000'000), at(i));
        table.takeActions();
    }
    return microsecondsSince(start) / repetitions;
}

Dispatch::DispatchRequest request(std::uint64_t id, std::size_t teams, Base::Random &random)
{
    Dispatch::DispatchRequest call;
    call.id = Dispatch::DispatchId(id);
    call.program = Base::ProgramId("program-" + std::to_string(random.below(5000)));
    call.team = Base::TeamId("team-" + std::to_string(random.below(teams)));
    call.service = Base::ServiceId("chat");
    call.prefixTokens = Base::Tokens(4000);
    call.promptTokens = Base::Tokens(4500);
    call.expectedOutput = Base::Tokens(200);
    call.attained = Base::Tokens(static_cast<std::int64_t>(random.below(100000)));
    call.deadline = at(3'600'000'000);
    return call;
}

/// Mean cost of one call's way: a slot is free, the next call is chosen, a new one joins the queue.
double dispatchCost(std::size_t waiting, std::size_t servers, std::size_t teams)
{
    Base::Random random(1);
    Dispatch::Dispatcher dispatcher(Base::IncarnationId("d.1"), Dispatch::DispatchSettings{}, 1);
    std::vector<Dispatch::ServerConfig> configs;
    for (std::size_t i = 0; i < servers; i++) {
        Dispatch::ServerConfig config;
        config.server = Base::ServerId("server-" + std::to_string(i));
        config.service = Base::ServiceId("chat");
        config.slots = 2;
        configs.push_back(config);
    }
    dispatcher.serversChanged(configs, at(0));
    std::uint64_t id = 0;
    while (dispatcher.waiting(Base::ServiceId("chat")) < waiting) {
        dispatcher.enqueue(request(++id, teams, random), at(0));
    }
    std::vector<Dispatch::DispatchId> running;
    for (const Dispatch::DispatchAction &action : dispatcher.takeActions()) {
        if (const auto *sent = std::get_if<Dispatch::SendToServer>(&action)) {
            running.push_back(sent->id);
        }
    }
    std::vector<Dispatch::DispatchRequest> calls;
    calls.reserve(static_cast<std::size_t>(repetitions));
    for (int i = 0; i < repetitions; i++) {
        calls.push_back(request(++id, teams, random));
    }
    const Dispatch::Usage usage{Base::Tokens(4500), Base::Tokens(4000), Base::Tokens(200)};
    const Clock::time_point start = Clock::now();
    for (int i = 0; i < repetitions; i++) {
        Dispatch::DispatchId &slot = running[random.below(running.size())];
        dispatcher.finished(slot, usage, at(i * 100));
        dispatcher.enqueue(calls[static_cast<std::size_t>(i)], at(i * 100));
        for (const Dispatch::DispatchAction &action : dispatcher.takeActions()) {
            if (const auto *sent = std::get_if<Dispatch::SendToServer>(&action)) {
                slot = sent->id;
            }
        }
    }
    return microsecondsSince(start) / repetitions;
}

} // namespace

int main()
{
    std::printf("admission decision: teams, microseconds\n");
    for (const std::size_t teams : {10, 50, 200, 1000}) {
        std::printf("%6zu %8.3f\n", teams, admissionCost(teams));
    }
    std::printf(
        "dispatch of one call (end, choice, enqueue): waiting, servers, teams, microseconds\n");
    for (const std::size_t waiting : {100, 1000, 4000}) {
        for (const std::size_t servers : {10, 100, 600}) {
            for (const std::size_t teams : {8, 200}) {
                std::printf("%6zu %5zu %5zu %8.2f\n",
                            waiting,
                            servers,
                            teams,
                            dispatchCost(waiting, servers, teams));
            }
        }
    }
    return 0;
}
