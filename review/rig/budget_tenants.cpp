// Case: programs of two tenants that have the same id share one account.
#include "programs.h"

using namespace rig;

int main(int argc, char **argv)
{
    ::signal(SIGPIPE, SIG_IGN);
    record.open(argc > 1 ? argv[1] : "record.txt");
    const bool isTroubled = hasTrouble();
    Deployment d;
    d.prepare();
    json config = configuration(7);
    config["tenants"].push_back({{"name", "nuso114"}, {"api_keys", {"nu6wsjnbanfqasnmgkcu"}}, {"priority", 1}});
    d.store.put("config", "main", config);
    for (int i = 0; i < 7; ++i) {
        const std::string zone = std::string("tas-") + "abc"[i % 3];
        d.add("front-" + zone + "-" + std::to_string(1 + i / 3), zone, "front");
    }
    std::vector<std::unique_ptr<Server>> servers;
    startServers(d, servers);
    for (Node &node : d.nodes) {
        d.start(node, true);
    }
    d.awaitReady(15);
    sleepMs(4000);
    int broken = 0;
    int wrong = 0;
    for (int i = 0; i < 6; ++i) {
        const std::string id = "e4402" + std::to_string(i);
        Program small(id, 4640, 290);
        Program large(isTroubled ? id : id + "f", 46400, 290, "nu6wsjnbanfqasnmgkcu");
        const Node &front = d.nodes[static_cast<std::size_t>(i)];
        const Node &other = d.nodes[static_cast<std::size_t>(i + 1) % d.nodes.size()];
        large.turn(d, other);
        small.turn(d, front);
        sleepMs(700);
        small.runUntilStopped(d, front, nowS() + 8);
        // The other tenant's program has used one turn of 160.
        wrong += large.turn(d, other).status == 402 ? 1 : 0;
        broken += small.tokens() > small.allowed() ? 1 : 0;
        record.line("program " + id + " of the first tenant got " + std::to_string(small.tokens()) + " tokens, allowed are "
                    + std::to_string(small.allowed()));
    }
    finish(broken > 0 ? 1 : 0, "programs over budget + one turn: " + std::to_string(broken) + " of 6; refused with 402 at once: " + std::to_string(wrong));
}
