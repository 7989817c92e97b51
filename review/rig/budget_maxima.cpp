// Case: a coordinator is killed before it has written an allocation, and the next one grants a large
// last turn beside the whole budget.
#include "programs.h"

using namespace rig;

int main(int argc, char **argv)
{
    ::signal(SIGPIPE, SIG_IGN);
    record.open(argc > 1 ? argv[1] : "record.txt");
    const std::string victim = argc > 2 ? argv[2] : "front-tas-b-1";
    const bool isTroubled = hasTrouble();
    constexpr int smallTurn = 10 * stride;
    constexpr int largeTurn = 60 * stride;
    constexpr int budget = 100 * stride;
    Deployment d;
    d.prepare();
    d.store.put("config", "main", configuration(7));
    for (int i = 0; i < 7; ++i) {
        const std::string zone = std::string("tas-") + "abc"[i % 3];
        d.add("front-" + zone + "-" + std::to_string(1 + i / 3), zone, "front");
    }
    std::vector<std::unique_ptr<Server>> servers;
    startServers(d, servers);
    for (auto &server : servers) {
        server->gapMs = 2;
        server->slots = 60;
    }
    for (Node &node : d.nodes) {
        d.start(node, true);
    }
    d.awaitReady(15);
    sleepMs(5000);
    std::vector<Node *> others;
    for (Node &node : d.nodes) {
        if (node.name != victim) {
            others.push_back(&node);
        }
    }
    std::vector<std::unique_ptr<Program>> programs;
    for (int i = 0; i < 32; ++i) {
        char id[16];
        std::snprintf(id, sizeof id, "c70e%02x", i);
        programs.push_back(std::make_unique<Program>(id, budget, largeTurn));
    }
    const auto inParallel = [&](const std::function<void(Program &)> &action) {
        std::vector<std::thread> threads;
        for (const auto &program : programs) {
            threads.emplace_back([&] { action(*program); });
        }
        for (std::thread &thread : threads) {
            thread.join();
        }
    };
    record.line("first turns, at " + others[0]->name);
    inParallel([&](Program &program) { program.turn(d, *others[0], smallTurn); });
    if (isTroubled) {
        d.end(d.find(victim), "killed, back 1 s later:");
        sleepMs(1000);
        d.start(d.find(victim), false);
    } else {
        sleepMs(1000);
    }
    d.awaitReady(15);
    sleepMs(3500);
    record.line("the lines go on at " + others[1]->name + ": small turns until one is refused, then a large one");
    inParallel([&](Program &program) {
        for (int i = 0, refused = 0; i < 40 && refused < 3; ++i) {
            const int status = program.turn(d, *others[1], smallTurn).status;
            refused = status == 402 ? refused + 1 : 0;
            sleepMs(status == 200 ? 0 : 150);
        }
        for (int i = 0, refused = 0; i < 6 && refused < 3; ++i) {
            const int status = program.turn(d, *others[1], largeTurn).status;
            refused = status == 402 ? refused + 1 : 0;
            sleepMs(status == 200 ? 0 : 150);
        }
    });
    int broken = 0;
    int most = 0;
    for (const auto &program : programs) {
        const bool isBroken = program->tokens() > program->allowed();
        broken += isBroken ? 1 : 0;
        most = std::max(most, program->tokens());
        if (isBroken) {
            record.line("BUDGET broken: program " + program->id() + " got " + std::to_string(program->tokens())
                        + " tokens, allowed are " + std::to_string(program->allowed()));
        }
    }
    finish(broken > 0 ? 1 : 0,
           "programs over budget + one turn: " + std::to_string(broken) + " of "
               + std::to_string(programs.size()) + "; most tokens " + std::to_string(most) + ", allowed "
               + std::to_string(programs.front()->allowed()));
}
