// Case: a program in progress for longer than twice retain_s gets its budget anew after a restart.
#include "programs.h"

using namespace rig;

int main(int argc, char **argv)
{
    ::signal(SIGPIPE, SIG_IGN);
    record.open(argc > 1 ? argv[1] : "record.txt");
    const bool isTroubled = hasTrouble();
    constexpr double retainS = 45;
    Deployment d;
    d.prepare();
    d.store.put("config", "main", configuration(7, 0, 0, retainS));
    for (int i = 0; i < 5; ++i) {
        const std::string zone = std::string("tas-") + "abc"[i % 3];
        d.add("front-" + zone + "-" + std::to_string(1 + i / 3), zone, "front");
    }
    std::vector<std::unique_ptr<Server>> servers;
    startServers(d, servers);
    for (Node &node : d.nodes) {
        d.start(node, true);
    }
    d.awaitReady(15);
    sleepMs(2500);

    // Long programs: a turn every 3 s, as their tools take their time. Half of the budget lasts
    // for 32 turns.
    std::vector<std::unique_ptr<Program>> programs;
    for (int i = 0; i < 8; ++i) {
        programs.push_back(std::make_unique<Program>("77d20" + std::to_string(i), 64 * 290, 290));
    }
    const double startedAt = nowS();
    const double killAt = startedAt + 2 * retainS + 3;
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < programs.size(); ++i) {
        threads.emplace_back([&, i] {
            while (nowS() < killAt - 3) {
                programs[i]->turn(d, d.nodes[i % d.nodes.size()]);
                sleepMs(2900);
            }
        });
    }
    // Short programs of other users, four a second.
    std::atomic<bool> isOver{false};
    std::thread others([&] {
        for (int i = 0; !isOver; ++i) {
            char id[16];
            std::snprintf(id, sizeof id, "5c%06x", i);
            std::thread([&, id = std::string(id), i] {
                Program program(id, 4640, 290);
                program.turn(d, d.nodes[static_cast<std::size_t>(i) % d.nodes.size()]);
            }).detach();
            sleepMs(250);
        }
    });
    for (std::thread &thread : threads) {
        thread.join();
    }
    sleepMs(2000);
    isOver = true;
    others.join();
    sleepMs(500);
    if (isTroubled) {
        for (Node &node : d.nodes) {
            d.end(node, "killed, back 1 s later:");
        }
        sleepMs(1000);
        for (Node &node : d.nodes) {
            d.start(node, false);
        }
        d.awaitReady(15);
    }
    sleepMs(1500);
    record.line("the programs go on, now without pauses until they are stopped");
    threads.clear();
    for (std::size_t i = 0; i < programs.size(); ++i) {
        threads.emplace_back([&, i] {
            programs[i]->runUntilStopped(d, d.nodes[(i + 1) % d.nodes.size()], nowS() + 25);
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
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
