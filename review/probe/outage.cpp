// The platform's store is down, and many front daemons are killed meanwhile.

#include "turns.h"

#include <algorithm>

using namespace probe;

int main(int argc, char **argv)
{
    Record::get().open(argv[1]);
    const unsigned seed = argc > 2 ? static_cast<unsigned>(std::atoi(argv[2])) : 1;
    const std::size_t killed = argc > 3 ? std::strtoul(argv[3], nullptr, 10) : 3;
    const json tenants
        = {{{"name", "hule930"}, {"api_keys", {"3fexd9dnn2ctnfzs989a"}}, {"priority", 1}}};
    const json &tenant = tenants[0];
    Deployment deployment(7, 3);
    const auto servers = startAll(deployment, agentConfiguration(tenants, 60));
    const std::vector<Front> &fronts = deployment.fronts;
    std::mt19937_64 random(seed);
    std::vector<std::size_t> order(fronts.size());
    for (std::size_t i = 0; i < order.size(); ++i) {
        order[i] = i;
    }
    std::shuffle(order.begin(), order.end(), random);
    const std::vector<std::size_t> victims(order.begin(), order.begin() + static_cast<long>(killed));
    const std::vector<std::size_t> survivors(order.begin() + static_cast<long>(killed), order.end());

    std::vector<Program> programs(42);
    std::vector<std::size_t> frontOf(programs.size());
    for (std::size_t i = 0; i < programs.size(); ++i) {
        programs[i] = {hexId(random), "", 4640, 290};
        programs[i].session = "s" + programs[i].id;
        frontOf[i] = i % fronts.size();
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
    say("each program uses 1740 tokens");
    forAll([&](std::size_t i) {
        for (int turn = 0; turn < 6; ++turn) {
            sendTurn(fronts[frontOf[i]], programs[i], 10, 290, tenant);
            sleepFor(0.05);
        }
    });
    sleepFor(2);
    if (isTroubled()) {
        say("the platform's store is down for 4.5 s");
        deployment.store.setDown(true);
    }
    const double begun = now();
    forAll([&](std::size_t i) {
        while (now() < begun + 3.4) {
            const int status = sendTurn(fronts[frontOf[i]], programs[i], 10, 290, tenant);
            if (status == 402) {
                break;
            }
            sleepFor(status == 200 ? 0.05 : 0.3);
        }
        programs[i].tokensBefore = programs[i].tokens;
    });
    if (isTroubled()) {
        std::string names;
        for (const std::size_t victim : victims) {
            names += " " + fronts[victim].process->name;
        }
        say("SIGKILL of" + names + "; they start again after 2 s");
        for (const std::size_t victim : victims) {
            fronts[victim].process->kill();
        }
        sleepFor(begun + 4.5 - now());
        say("the store is back");
        deployment.store.setDown(false);
        sleepFor(begun + 5.4 - now());
        for (const std::size_t victim : victims) {
            fronts[victim].process->start();
        }
    }
    sleepFor(begun + 9 - now());
    say("the clients go on until 402, those of the killed daemons through others");
    forAll([&](std::size_t i) {
        std::size_t front = frontOf[i];
        if (isTroubled() && std::find(victims.begin(), victims.end(), front) != victims.end()) {
            front = survivors[i % survivors.size()];
        }
        for (int turn = 0; turn < 40 && !programs[i].isEnded; ++turn) {
            const int status = sendTurn(fronts[front], programs[i], 10, 290, tenant);
            programs[i].isEnded = status == 402;
            sleepFor(status == 200 ? 0.02 : 0.3);
        }
    });
    int broken = 0;
    int ended = 0;
    for (std::size_t i = 0; i < programs.size(); ++i) {
        const Program &program = programs[i];
        ended += program.isEnded ? 1 : 0;
        const bool isBroken = program.tokens > program.budget + program.maxTurn;
        broken += isBroken ? 1 : 0;
        say("program " + program.id + " at " + fronts[frontOf[i]].process->name + ": "
            + std::to_string(program.tokensBefore) + " tokens before the kill, "
            + std::to_string(program.tokens) + " in all, budget " + std::to_string(program.budget)
            + ", most of one turn " + std::to_string(program.maxTurn)
            + (isBroken ? ", BUDGET broken" : ""));
    }
    say(std::to_string(broken) + " of " + std::to_string(programs.size()) + " programs over, "
        + std::to_string(ended) + " ended with 402");
    if (broken == 0 && ended < static_cast<int>(programs.size()) / 2) {
        finish(deployment, 2);
    }
    finish(deployment, broken > 0 ? 1 : 0);
}
