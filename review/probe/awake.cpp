// A front daemon stands still for some seconds; later the platform's store is down.

#include "turns.h"

using namespace probe;

int main(int argc, char **argv)
{
    Record::get().open(argv[1]);
    const std::size_t victim = argc > 2 ? std::strtoul(argv[2], nullptr, 10) : 0;
    const json tenants
        = {{{"name", "hule930"}, {"api_keys", {"3fexd9dnn2ctnfzs989a"}}, {"priority", 1}}};
    const json &tenant = tenants[0];
    Deployment deployment(7, 3);
    const auto servers = startAll(deployment, agentConfiguration(tenants, 60));
    const std::vector<Front> &fronts = deployment.fronts;
    std::mt19937_64 random(1);

    std::vector<Program> programs(48);
    for (Program &program : programs) {
        program = {hexId(random), "", 4640, 290};
        program.session = "s" + program.id;
    }
    const auto forAll = [&](const std::function<void(std::size_t)> &action) {
        std::vector<std::thread> threads;
        for (std::size_t i = 0; i < programs.size(); ++i) {
            threads.emplace_back([&, i] { action(i); });
        }
        for (std::thread &each : threads) {
            each.join();
        }
    };
    /// The front daemon that a client is sent to: another one in each phase.
    const auto frontOf = [&](std::size_t i, std::size_t phase) {
        return (victim + 1 + (i + phase) % (fronts.size() - 1)) % fronts.size();
    };
    const auto turns = [&](std::size_t phase, int count, double until) {
        forAll([&](std::size_t i) {
            for (int turn = 0; turn < count && now() < until && !programs[i].isEnded;) {
                const int status
                    = sendTurn(fronts[frontOf(i, phase)], programs[i], 10, 290, tenant);
                programs[i].isEnded = status == 402;
                turn += status == 200 ? 1 : 0;
                sleepFor(status == 200 ? 0.03 : 0.2);
            }
        });
    };
    say("each program sends a turn of 290 tokens");
    turns(0, 1, now() + 5);
    sleepFor(2);
    if (isTroubled()) {
        say(fronts[victim].process->name + " stands still for 3.2 s");
        fronts[victim].process->signal(SIGSTOP);
    }
    double begun = now();
    sleepFor(0.3);
    say("each program sends 8 turns");
    turns(1, 8, begun + 3);
    sleepFor(begun + 3.2 - now());
    if (isTroubled()) {
        fronts[victim].process->signal(SIGCONT);
        say("it goes on");
    }
    sleepFor(5);
    begun = now();
    if (isTroubled()) {
        say("the platform's store is down for 4.5 s");
        deployment.store.setDown(true);
    }
    for (Program &program : programs) {
        program.tokensBefore = program.tokens;
    }
    say("each program sends turns through a third front daemon");
    turns(2, 40, begun + 4.3);
    sleepFor(begun + 4.5 - now());
    if (isTroubled()) {
        deployment.store.setDown(false);
        say("the store is back");
    }
    sleepFor(4);
    say("each program sends turns until 402");
    turns(3, 40, now() + 20);
    int broken = 0;
    int ended = 0;
    for (const Program &program : programs) {
        ended += program.isEnded ? 1 : 0;
        const bool isBroken = program.tokens > program.budget + program.maxTurn;
        broken += isBroken ? 1 : 0;
        say("program " + program.id + ": " + std::to_string(program.tokensBefore)
            + " tokens before the outage, " + std::to_string(program.tokens) + " in all, budget "
            + std::to_string(program.budget) + ", most of one turn "
            + std::to_string(program.maxTurn) + (isBroken ? ", BUDGET broken" : ""));
    }
    say(std::to_string(broken) + " of " + std::to_string(programs.size()) + " programs over, "
        + std::to_string(ended) + " ended with 402");
    if (broken == 0 && ended < static_cast<int>(programs.size()) / 2) {
        finish(deployment, 2);
    }
    finish(deployment, broken > 0 ? 1 : 0);
}
