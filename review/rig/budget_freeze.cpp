// Case: a front that was suspended lets a program overdraw its budget while the store is down.
#include "programs.h"

using namespace rig;

int main(int argc, char **argv)
{
    ::signal(SIGPIPE, SIG_IGN);
    const std::string out = argc > 1 ? argv[1] : "record.txt";
    const std::string frozen = argc > 2 ? argv[2] : "front-tas-a-1";
    record.open(out);
    const bool isTroubled = hasTrouble();
    Deployment d;
    d.prepare();
    d.store.put("config", "main", configuration(7));
    for (const char *name : {"front-tas-a-1", "front-tas-a-2", "front-tas-a-3", "front-tas-b-1", "front-tas-b-2",
                             "front-tas-b-3", "front-tas-c-1", "front-tas-c-2", "front-tas-c-3"}) {
        d.add(name, std::string(name).substr(6, 5), "front");
    }
    std::vector<std::unique_ptr<Server>> servers;
    startServers(d, servers);
    for (Node &node : d.nodes) {
        d.start(node, true);
    }
    d.awaitReady(15);
    sleepMs(6000);

    // Programs that loop without end. Each has its clients at one front at first, and returns
    // through another.
    std::vector<std::unique_ptr<Program>> programs;
    for (int i = 0; i < 24; ++i) {
        char id[16];
        std::snprintf(id, sizeof id, "3fa8%02x", i);
        programs.push_back(std::make_unique<Program>(id, 4640, 290));
    }
    std::vector<Node *> others;
    for (Node &node : d.nodes) {
        if (node.name != frozen) {
            others.push_back(&node);
        }
    }
    const auto inParallel = [&](const std::function<void(Program &, std::size_t)> &action) {
        std::vector<std::thread> threads;
        for (std::size_t i = 0; i < programs.size(); ++i) {
            threads.emplace_back([&, i] { action(*programs[i], i); });
        }
        for (std::thread &thread : threads) {
            thread.join();
        }
    };
    record.line("first turns");
    inParallel([&](Program &program, std::size_t i) { program.turn(d, *others[i % 2]); });
    sleepMs(1200);
    if (isTroubled) {
        if (frozen != "none") d.signal(d.find(frozen), SIGSTOP, "suspended for 3.2 s:");
    }
    const double frozenAt = nowS();
    std::thread outage([&] {
        while (nowS() < frozenAt + 2.9) {
            sleepMs(10);
        }
        if (isTroubled) {
            record.line("store down for 7 s");
            d.store.setDown(true);
        }
    });
    inParallel([&](Program &program, std::size_t i) {
        if (frozen != "none") program.runUntilStopped(d, *others[i % 2], frozenAt + 2.8); else sleepMs(100);
    });
    while (nowS() < frozenAt + 3.2) {
        sleepMs(10);
    }
    outage.join();
    if (isTroubled) {
        if (frozen != "none") d.signal(d.find(frozen), SIGCONT, "goes on:");
    }
    sleepMs(1500);
    record.line("the programs return through other fronts");
    inParallel([&](Program &program, std::size_t i) {
        program.runUntilStopped(d, *others[2 + i % 2], frozenAt + 9.5);
    });
    while (nowS() < frozenAt + 9.9) {
        sleepMs(10);
    }
    if (isTroubled) {
        record.line("store up");
        d.store.setDown(false);
    }
    sleepMs(2000);
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
               + std::to_string(programs.size()) + "; most tokens " + std::to_string(most) + ", allowed 4930");
}
