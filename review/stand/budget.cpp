// A program's token budget across an outage of the platform's store and the kill of one process, or of
// all with the second argument "all".
#include "stand.h"

using namespace Stand;

namespace {

constexpr int stride = 29;
constexpr int eventsPerTurn = 10;
constexpr int turnTokens = stride * eventsPerTurn;
constexpr int budget = 16 * turnTokens; // 4,640, as in the example of PROTOCOL.md
constexpr int programCount = 16;

struct Program
{
    std::string id;
    int events = 0; // handed to the client in all turns
    int turns = 0;
    bool isEnded = false;
};

} // namespace

int main(int count, char **argv)
{
    const bool areAllKilled = count > 2 && std::string(argv[2]) == "all";
    signal(SIGPIPE, SIG_IGN);
    Processes::all().limit(110'000);
    Record record(argv[1]);
    const bool isTrouble = Stand::isTrouble();
    try {
        const std::filesystem::path folder = makeFolder();
        Store store(loopback(1));
        Server engine(loopback(2), [&](Connection &connection) {
            for (;;) {
                const Message request = connection.read(60'000, false);
                if (!request.isComplete) {
                    return;
                }
                const std::string id = request.header("X-Attempt-Id");
                record.line("server runs " + id + " of program " + request.header("X-Program-Id"));
                std::string body;
                for (int i = 1; i <= eventsPerTurn; ++i) {
                    const std::string event
                        = "id: " + std::to_string(i) + "\ndata: " + id + " token\n\n";
                    char size[16];
                    std::snprintf(size, sizeof size, "%zx\r\n", event.size());
                    body += size + event + "\r\n";
                }
                connection.send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: "
                                + id + "\r\nX-Server-Stamp: 1." + id
                                + "\r\nTransfer-Encoding: chunked\r\n\r\n" + body + "0\r\n\r\n");
            }
        });
        store.put("config",
                  "main",
                  {{"version", 3},
                   {"routes",
                    {{{"name", "turns"},
                      {"host", "lunch.example"},
                      {"path_prefix", "/turns/"},
                      {"kind", "stream"},
                      {"service", "planner"},
                      {"attempts", 1},
                      {"timeout_ms", 3000},
                      {"goal_ms", 250},
                      {"gap_target_ms", 250},
                      {"resumable", true},
                      {"sticky", true},
                      {"retained", false},
                      {"retain_s", 60}}}},
                   {"services", {{{"name", "planner"}, {"engine", {{"stride", stride}}}}}},
                   {"tenants", {{{"name", "club"}, {"api_keys", {"key-1"}}}}},
                   {"limits", limits()}});
        store.put("servers", "i-1", serverEntry("planner", engine.address(), 16));

        std::vector<std::unique_ptr<Node>> nodes;
        json seeds = json::array();
        for (int i = 0; i < 4; ++i) {
            nodes.push_back(std::make_unique<Node>(
                "front-tas-a-" + std::to_string(i), loopback(10 + i), 17080, store.address(),
                folder));
            if (i < 3) {
                seeds.push_back(nodes.back()->address(2));
            }
        }
        for (auto &node : nodes) {
            node->start(seeds, true);
        }
        for (auto &node : nodes) {
            if (!node->waitUntilReady(15'000)) {
                record.line("a node is not ready");
                Processes::all().exit(2);
            }
        }
        sleepMs(8000); // traffic starts 10 s after the machines do
        Node &front = *nodes[2]; // coordinates the budgets of some of the programs

        std::vector<Program> programs(programCount);
        int requests = 0;
        for (int i = 0; i < programCount; ++i) {
            programs[i].id = "3fa81c" + std::to_string(10 + i);
        }
        /// Sends one turn; returns the status.
        const auto turn = [&](Program &program) {
            const std::string id = "t" + std::to_string(++requests);
            const auto connection = Connection::open(front.ip(), front.callerPort());
            if (!connection) {
                record.line("no connection for " + id);
                return 0;
            }
            connection->send("POST /turns/2f HTTP/1.1\r\nHost: lunch.example\r\nX-Attempt-Id: " + id
                             + "\r\nX-Program-Id: " + program.id + "\r\nX-Session-Id: s" + program.id
                             + "\r\nX-Finish-Ms: 60000\r\nX-Token-Budget: " + std::to_string(budget)
                             + "\r\nX-Token-Count: 1840," + std::to_string(turnTokens)
                             + "\r\nX-Deadline-Ms: 3000\r\nAuthorization: Bearer key-1"
                               "\r\nContent-Length: 5\r\n\r\nhello");
            const Message answer = connection->read(4000, true);
            int events = 0;
            for (std::size_t at = 0; (at = answer.body.find("data:", at)) != std::string::npos; ++at) {
                ++events;
            }
            if (answer.status() == 200) {
                program.events += events;
                ++program.turns;
            }
            record.line("answer to " + id + " of program " + program.id + ": "
                        + std::to_string(answer.status()) + ", " + std::to_string(events)
                        + " events");
            return answer.status();
        };
        /// Turns of all programs until they are refused or the time is over.
        const auto runPrograms = [&](long untilMs, bool isFinal) {
            std::set<Program *> refused;
            while (elapsedMs() < untilMs) {
                bool isAny = false;
                for (Program &program : programs) {
                    if (program.isEnded || (!isFinal && refused.contains(&program))) {
                        continue;
                    }
                    isAny = true;
                    const int status = turn(program);
                    if (status == 402) {
                        program.isEnded = true;
                    } else if (status != 200) {
                        refused.insert(&program);
                        sleepMs(20);
                    }
                }
                if (!isAny) {
                    break;
                }
            }
        };

        const long begin = elapsedMs();
        if (isTrouble) {
            store.setSilent(true);
            record.line("DISRUPTION: the platform's store is silent");
        }
        // Before the kill each program asks for five turns; without trouble the same.
        for (int round = 0; round < 5; ++round) {
            for (Program &program : programs) {
                if (elapsedMs() < begin + 3500) {
                    turn(program);
                }
            }
        }
        if (isTrouble) {
            std::vector<Node *> killed{&front};
            if (areAllKilled) {
                killed.clear();
                for (auto &node : nodes) {
                    killed.push_back(node.get());
                }
            }
            for (Node *node : killed) {
                node->signal(SIGKILL);
                record.line("DISRUPTION: " + node->name() + " is killed");
            }
            for (Node *node : killed) {
                node->kill();
            }
            sleepMs(1000);
            for (Node *node : killed) {
                node->start(seeds, false);
                record.line(node->name() + " is started again");
            }
            sleepMs(std::max(0L, begin + 6500 - elapsedMs()));
            store.setSilent(false);
            record.line("the store answers again after " + std::to_string(elapsedMs() - begin)
                        + " ms");
        }
        front.waitUntilReady(10'000);
        sleepMs(4000);
        runPrograms(elapsedMs() + 40'000, true);

        bool isBroken = false;
        for (const Program &program : programs) {
            const int tokens = program.events * stride;
            const bool isOver = tokens > budget + turnTokens;
            isBroken = isBroken || isOver;
            record.line("program " + program.id + ": " + std::to_string(program.turns)
                        + " turns, " + std::to_string(tokens) + " tokens, budget "
                        + std::to_string(budget) + " + " + std::to_string(turnTokens)
                        + (isOver ? "  BROKEN" : ""));
        }
        Processes::all().exit(isBroken ? 1 : 0);
    } catch (const std::exception &problem) {
        record.line(std::string("cannot run: ") + problem.what());
        Processes::all().exit(2);
    }
}
