// A program that runs for longer than twice its route's retain_s, and the end of one front daemon.

#include "turns.h"

using namespace probe;

int main(int argc, char **argv)
{
    Record::get().open(argv[1]);
    const double retain = argc > 2 ? std::atof(argv[2]) : 30;
    const std::size_t victim = argc > 3 ? std::strtoul(argv[3], nullptr, 10) : 0;
    const json tenants = {{{"name", "hule930"}, {"api_keys", {"3fexd9dnn2ctnfzs989a"}}, {"priority", 1}}};
    const json &tenant = tenants[0];
    Deployment deployment(7, 3);
    const auto servers = startAll(deployment, agentConfiguration(tenants, retain));
    const std::vector<Front> &fronts = deployment.fronts;
    std::mt19937_64 random(1);

    // Other programs, as in any traffic: two new ones a second, two turns each.
    std::atomic<bool> isOver = false;
    std::thread others([&] {
        std::mt19937_64 ids(2);
        for (std::size_t i = 0; !isOver; ++i) {
            const std::string id = hexId(ids);
            Program program{id, "s" + id, 4640, 290};
            sendTurn(fronts[(i * 3 + 1) % fronts.size()], program, 3, 290, tenant);
            sleepFor(0.4);
        }
    });

    // Old programs, whose clients are with one front daemon.
    std::vector<Program> programs(24);
    for (Program &program : programs) {
        program = {hexId(random), "", 4640, 290};
        program.session = "s" + program.id;
    }
    const auto forAll = [&](const std::function<void(Program &)> &action) {
        std::vector<std::thread> threads;
        for (Program &program : programs) {
            threads.emplace_back([&] { action(program); });
        }
        for (std::thread &each : threads) {
            each.join();
        }
    };
    say("the programs use about 40 % of their budgets");
    forAll([&](Program &program) {
        for (int i = 0; i < 6; ++i) {
            sendTurn(fronts[victim], program, 10, 290, tenant);
            sleepFor(0.1);
        }
    });
    const double begun = now();
    say("they go on with a small turn in every 0.7 x retain_s, for twice retain_s and some seconds");
    while (now() < begun + 1.5 * retain) {
        sleepFor(retain * 0.7);
        forAll([&](Program &program) { sendTurn(fronts[victim], program, 1, 29, tenant); });
    }
    sleepFor(begun + 2 * retain + 6 - now());
    for (Program &program : programs) {
        program.tokensBefore = program.tokens;
    }
    if (isTroubled()) {
        say("SIGKILL of " + fronts[victim].process->name + "; it starts again after 0.3 s");
        fronts[victim].process->kill();
        sleepFor(0.3);
        fronts[victim].process->start();
    }
    sleepFor(1);
    say(isTroubled() ? "their clients go on through the other front daemons until 402"
                     : "their clients go on through the same front daemon until 402");
    std::atomic<std::size_t> next = 0;
    forAll([&](Program &program) {
        const std::size_t other
            = isTroubled() ? (victim + 1 + next++ % (fronts.size() - 1)) % fronts.size() : victim;
        for (int i = 0; i < 60 && !program.isEnded; ++i) {
            const int status = sendTurn(fronts[other], program, 10, 290, tenant);
            program.isEnded = status == 402;
            sleepFor(status == 200 ? 0.02 : 0.2);
        }
    });
    isOver = true;
    others.join();
    int broken = 0;
    int ended = 0;
    for (const Program &program : programs) {
        ended += program.isEnded ? 1 : 0;
        const bool isBroken = program.tokens > program.budget + program.maxTurn;
        broken += isBroken ? 1 : 0;
        say("program " + program.id + ": " + std::to_string(program.tokensBefore) + " tokens before, "
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
