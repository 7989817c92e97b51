// Case: programs whose turns follow each other within retain_s, and one front that is stopped and started
// again as planned. All turns of a program together must not get more tokens than its budget and the most
// of one turn.
#include "stand.h"

using namespace Stand;

namespace {

constexpr long retainS = 25;
constexpr long pauseMs = 24'000; // between two turns of a program, less than retain_s
constexpr long stride = 10;
constexpr long turnTokens = 100;
constexpr long budget = 1'000;
constexpr int programCount = 168;
constexpr int frontCount = 7;
constexpr long stopAtMs = 66'000;
constexpr long graceMs = 8'000;
constexpr long endMs = 105'000;

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

/// A program that loops: a turn every `pauseMs`, and after the stop of the front one after the other, until
/// it is told that its budget is spent.
void runProgram(int number, std::vector<std::unique_ptr<Node>> &nodes, Record &record)
{
    const std::string program = "p" + std::to_string(number);
    std::size_t home = static_cast<std::size_t>(number) % nodes.size();
    int turn = 0;
    sleepMs(number * 10);
    while (elapsedMs() < endMs) {
        const std::string attempt = program + "t" + std::to_string(turn++);
        const std::string first = sendTurn(*nodes[home], program, attempt, record);
        if (first.find(" 402") != std::string::npos) {
            return;
        }
        if (first.find(" 200") == std::string::npos) {
            // The platform leads new connections to the daemons that are ready.
            home = (home + 1) % nodes.size();
            sleepMs(300);
            continue;
        }
        const bool isLooping = elapsedMs() > stopAtMs + 2'000;
        sleepMs(isLooping ? 200 : pauseMs);
    }
}

/// Other programs of the same deployment, of one turn each.
void runOthers(std::vector<std::unique_ptr<Node>> &nodes, Record &record)
{
    for (int i = 0; elapsedMs() < stopAtMs - 300; ++i) {
        const std::string program = "other" + std::to_string(i);
        sendTurn(*nodes[static_cast<std::size_t>(i) % nodes.size()], program, program + "t0", record);
        sleepMs(100);
    }
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
    sleepMs(3'000); // traffic starts some seconds after the machines
    std::vector<std::thread> threads;
    for (int i = 0; i < programCount; ++i) {
        threads.emplace_back([&, i] { runProgram(i, nodes, record); });
    }
    threads.emplace_back([&] { runOthers(nodes, record); });
    while (elapsedMs() < stopAtMs) {
        sleepMs(10);
    }
    if (isTrouble()) {
        record.line("front-0 gets SIGTERM");
        nodes[0]->signal(SIGTERM);
        const bool hasEnded = nodes[0]->waitForEnd(graceMs);
        record.line(hasEnded ? "front-0 has ended" : "front-0 gets SIGKILL");
        nodes[0]->kill();
        sleepMs(1'000);
        record.line("front-0 starts again");
        nodes[0]->start(seeds, false);
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
