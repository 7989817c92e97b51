// Case: one front stands still, programs begin and spend their budgets, the platform's store falls
// silent, the front wakes, and programs that loop come back through another front. All turns of a
// program together must not get more tokens than its budget and the most of one turn.
#include "stand.h"

using namespace Stand;

namespace {

constexpr long retainS = 60;
constexpr long pauseMs = 100; // between two turns of a program
constexpr long stride = 10;
constexpr long turnTokens = 100;
constexpr long budget = 1'000;
constexpr int programCount = 135;
constexpr int frontCount = 10;
/// Coordinates some of the eight groups of programs; by the hashes of the names, not each of ten does.
constexpr std::size_t frozen = 4;
constexpr long freezeMs = 3'200;
constexpr long outageAfterMs = 3'000; // after the front has stood still
constexpr long outageMs = 6'500;
constexpr long returnAfterMs = 4'500;

std::mutex mutex;
std::map<std::string, long> tokens; // handed to clients, by program
std::map<std::string, long> refused;

/// A model server: each turn gets ten events of `stride` tokens each.
void serveModel(Connection &connection, const std::string &id, Record &record)
{
    for (;;) {
        const Message request = connection.read(120'000, false);
        if (!request.isComplete) {
            return;
        }
        const std::string attempt = request.header("X-Attempt-Id");
        if (request.method() == "GET") {
            connection.send("HTTP/1.1 200 OK\r\nX-Instance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n");
            continue;
        }
        if (request.header("X-Target-Instance") != id) {
            connection.send("HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: " + id
                            + "\r\nX-Attempt-Id: " + attempt + "\r\nContent-Length: 0\r\n\r\n");
            continue;
        }
        record.line("server " + id + " runs " + attempt);
        connection.send("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt + "\r\nX-Server-Stamp: " + id + "."
                        + attempt
                        + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int i = 1; i <= turnTokens / stride; ++i) {
            sleepMs(5);
            const std::string event = "id: " + std::to_string(i) + "\ndata: text\n\n";
            char size[16];
            std::snprintf(size, sizeof size, "%zx\r\n", event.size());
            connection.send(size + event + "\r\n");
        }
        connection.send("0\r\n\r\n");
    }
}

std::string sendTurn(const Node &node, const std::string &program, const std::string &attempt, Record &record)
{
    const auto connection = Connection::open(node.ip(), node.callerPort());
    if (!connection) {
        return "(no connection)";
    }
    record.line("client sends " + attempt + " to " + node.name());
    connection->send("POST /turns/1 HTTP/1.1\r\nHost: club.example\r\nX-Attempt-Id: " + attempt
                     + "\r\nX-Program-Id: " + program + "\r\nX-Session-Id: s" + program
                     + "\r\nX-Finish-Ms: 100000\r\nX-Token-Budget: " + std::to_string(budget)
                     + "\r\nX-Token-Count: 10," + std::to_string(turnTokens)
                     + "\r\nX-Deadline-Ms: 3000\r\nContent-Length: 5\r\n\r\nhello");
    const Message response = connection->read(4'000, true);
    long got = 0;
    for (std::size_t at = 0; (at = response.body.find("data:", at)) != std::string::npos; ++at) {
        got += response.status() == 200 ? stride : 0;
    }
    const std::lock_guard guard(mutex);
    tokens[program] += got;
    refused[program] += response.status() == 402;
    record.line("client gets for " + attempt + ": " + response.first + ", " + std::to_string(got)
                + " tokens, " + std::to_string(tokens[program]) + " of " + std::to_string(budget)
                + " so far");
    return response.first;
}

/// Sends a turn after the other until it is told that the budget is spent, at most until a time.
void loop(const std::string &program, const Node &node, int &turn, long untilMs, Record &record)
{
    while (elapsedMs() < untilMs) {
        const std::string attempt = program + "t" + std::to_string(turn++);
        if (sendTurn(node, program, attempt, record).find(" 402") != std::string::npos) {
            return;
        }
        sleepMs(pauseMs);
    }
}

/// A program that loops, is stopped, and comes back some seconds later through another front.
void runProgram(int number, std::vector<std::unique_ptr<Node>> &nodes, long beginMs, Record &record)
{
    const std::string program = "p" + std::to_string(number);
    const std::size_t home = static_cast<std::size_t>(number) % (nodes.size() - 1);
    const std::size_t next = (home + 1) % (nodes.size() - 1);
    int turn = 0;
    loop(program, *nodes[(frozen + 1 + home) % nodes.size()], turn, beginMs + outageAfterMs - 200, record);
    sleepMs(beginMs + returnAfterMs - elapsedMs());
    loop(program, *nodes[(frozen + 1 + next) % nodes.size()], turn, beginMs + outageAfterMs + outageMs + 8'000, record);
}

} // namespace

int main(int, char **arguments)
{
    Processes::all().limit(110'000);
    Record record(arguments[1]);
    const auto folder = makeFolder();
    Store store(loopback(9));
    std::vector<std::unique_ptr<Server>> servers;
    for (int i = 0; i < 4; ++i) {
        const std::string id = "i-" + std::to_string(i);
        servers.push_back(std::make_unique<Server>(
            loopback(1), [id, &record](Connection &c) { serveModel(c, id, record); }));
        store.put("servers", id, serverEntry("planner-llm", servers.back()->address(), 16,
                                            std::string("tas-") + "abc"[i % 3]));
    }
    store.put("config", "main",
              {{"version", 7},
               {"routes",
                {{{"name", "turns"}, {"host", "club.example"}, {"path_prefix", "/turns/"},
                  {"kind", "stream"}, {"timeout_ms", 3000}, {"goal_ms", 250}, {"priority", 1},
                  {"service", "planner-llm"}, {"attempts", 1}, {"retained", false},
                  {"retain_s", static_cast<double>(retainS)}, {"public", true}, {"sticky", true},
                  {"resumable", true}, {"gap_target_ms", 250}}}},
               {"services",
                {{{"name", "planner-llm"}, {"health_path", "/health"}, {"max_conns", 170},
                  {"protocol", "h1"}, {"tls", false}, {"engine", {{"slots", 16}, {"stride", stride}}}}}},
               {"limits", limits()}});
    std::vector<std::unique_ptr<Node>> nodes;
    json seeds = json::array();
    for (int i = 0; i < frontCount; ++i) {
        nodes.push_back(std::make_unique<Node>("front-" + std::to_string(i), loopback(11 + i), 20'000,
                                               store.address(), folder));
        nodes.back()->setZone(std::string("tas-") + "abc"[i % 3]);
        if (i < 3) {
            seeds.push_back(nodes.back()->address(2));
        }
    }
    for (const auto &node : nodes) {
        node->start(seeds, true);
    }
    for (const auto &node : nodes) {
        if (!node->waitUntilReady(15'000)) {
            std::fprintf(stderr, "a node is not ready\n");
            Processes::all().exit(2);
        }
    }
    sleepMs(5'000); // traffic starts some seconds after the machines
    const long begin = elapsedMs();
    if (isTrouble()) {
        record.line(nodes[frozen]->name() + " stands still");
        nodes[frozen]->signal(SIGSTOP);
    }
    sleepMs(200);
    std::vector<std::thread> threads;
    for (int i = 0; i < programCount; ++i) {
        threads.emplace_back([&, i] { runProgram(i, nodes, begin, record); });
    }
    if (isTrouble()) {
        sleepMs(begin + outageAfterMs - elapsedMs());
        record.line("the store is down: it answers nothing");
        store.setSilent(true);
        sleepMs(begin + freezeMs - elapsedMs());
        record.line(nodes[frozen]->name() + " goes on");
        nodes[frozen]->signal(SIGCONT);
        sleepMs(begin + outageAfterMs + outageMs - elapsedMs());
        record.line("the store answers again");
        store.setSilent(false);
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    int broken = 0;
    int ended = 0;
    std::string over;
    for (int i = 0; i < programCount; ++i) {
        const std::string program = "p" + std::to_string(i);
        ended += refused[program] > 0;
        if (tokens[program] > budget + turnTokens) {
            ++broken;
            record.line("BUDGET broken: " + program + " got " + std::to_string(tokens[program])
                        + " tokens, its budget is " + std::to_string(budget)
                        + ", the most of one turn is " + std::to_string(turnTokens));
            over += " " + program + ":" + std::to_string(tokens[program]);
        }
    }
    const std::string summary = "programs " + std::to_string(programCount) + ", told that the budget is spent "
                                + std::to_string(ended) + ", BUDGET broken by " + std::to_string(broken)
                                + over;
    record.line(summary);
    std::fprintf(stderr, "%s\n", summary.c_str());
    Processes::all().exit(ended < programCount / 2 ? 2 : broken > 0 ? 1 : 0);
}
