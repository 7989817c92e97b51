// A tenant's quota while three machines are added: stale reads of the platform's store are seconds
// behind or, with the second argument "rejected", it turns the new machines away.
#include "stand.h"

#include <algorithm>

using namespace Stand;

namespace {

constexpr double rate = 171; // as in the examples of `fleetbench wire`
constexpr int burst = 171;
constexpr double windowS = 5;
constexpr double excess = 0.1;
constexpr int slack = 20;
constexpr int oldCount = 7;
constexpr int newCount = 3;
constexpr int nodeCount = oldCount + newCount;
constexpr int clientsPerNode = 8;

} // namespace

int main(int count, char **argv)
{
    const bool areRejected = count > 2 && std::string(argv[2]) == "rejected";
    signal(SIGPIPE, SIG_IGN);
    Processes::all().limit(110'000);
    Record record(argv[1]);
    const bool isTrouble = Stand::isTrouble();
    try {
        const std::filesystem::path folder = makeFolder();
        Store store(loopback(1));
        std::mutex mutex;
        std::map<std::string, long> sentAt;
        std::map<std::string, long> ranAt;
        std::vector<std::unique_ptr<Server>> servers;
        for (int number = 0; number < 3; ++number) {
            const std::string name = "i-" + std::to_string(number);
            servers.push_back(std::make_unique<Server>(loopback(2 + number), [&](Connection &c) {
                for (;;) {
                    const Message request = c.read(60'000, false);
                    if (!request.isComplete) {
                        return;
                    }
                    const std::string id = request.header("X-Attempt-Id");
                    {
                        const std::lock_guard lock(mutex);
                        ranAt[id] = elapsedMs();
                    }
                    c.send("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Server-Stamp: 1." + id
                           + "\r\nContent-Length: 2\r\n\r\nok");
                }
            }));
        }
        store.put("config",
                  "main",
                  {{"version", 3},
                   {"routes",
                    {{{"name", "lookup"},
                      {"host", "lunch.example"},
                      {"path_prefix", "/lookup/"},
                      {"kind", "idempotent"},
                      {"service", "club"},
                      {"attempts", 2},
                      {"timeout_ms", 1200},
                      {"goal_ms", 80}}}},
                   {"services", {{{"name", "club"}}}},
                   {"tenants",
                    {{{"name", "club"},
                      {"api_keys", {"key-1"}},
                      {"rate_per_s", rate},
                      {"burst", burst}}}},
                   {"limits", limits()}});
        for (int number = 0; number < 3; ++number) {
            store.put("servers",
                      "i-" + std::to_string(number),
                      serverEntry("club", servers[number]->address(), 50));
        }
        std::vector<std::unique_ptr<Node>> nodes;
        json seeds = json::array();
        std::atomic<bool> isRejecting = isTrouble && areRejected;
        const std::string otherAddress = store.addAddress(loopback(1), isRejecting);
        for (int i = 0; i < nodeCount; ++i) {
            nodes.push_back(std::make_unique<Node>("front-tas-a-" + std::to_string(i),
                                                   loopback(10 + i),
                                                   17080,
                                                   i < oldCount ? store.address() : otherAddress,
                                                   folder));
            if (i < 3) {
                seeds.push_back(nodes.back()->address(2));
            }
        }
        const auto waitUntilReady = [&](int first, int count) {
            for (int i = first; i < first + count; ++i) {
                if (!nodes[i]->waitUntilReady(15'000)) {
                    record.line("a node is not ready");
                    Processes::all().exit(2);
                }
            }
        };
        for (int i = 0; i < oldCount; ++i) {
            nodes[i]->start(seeds, true);
        }
        waitUntilReady(0, oldCount);
        sleepMs(8000); // traffic starts 10 s after the machines do
        const long addedAt = elapsedMs();
        if (isRejecting) {
            record.line("DISRUPTION: the store answers the machines 503 that are added next");
        } else if (isTrouble) {
            store.setStale(5500);
            record.line("DISRUPTION: stale reads are 5.5 s behind from now on");
        }
        for (int i = oldCount; i < nodeCount; ++i) {
            nodes[i]->start(seeds, false);
        }
        record.line("three machines are added");
        waitUntilReady(oldCount, newCount);
        record.line("they are ready");

        std::atomic<bool> isOver = false;
        std::atomic<int> number = 0;
        std::map<int, int> statuses;
        std::vector<std::thread> clients;
        for (int i = 0; i < nodeCount * clientsPerNode; ++i) {
            clients.emplace_back([&, i] {
                const Node &node = *nodes[i % nodeCount];
                auto due = Clock::now();
                while (!isOver) {
                    due += Ms(100);
                    std::this_thread::sleep_until(due);
                    if (Clock::now() > due + Ms(100)) {
                        due = Clock::now();
                    }
                    const auto connection = Connection::open(node.ip(), node.callerPort());
                    if (!connection) {
                        continue;
                    }
                    const std::string id = "r" + std::to_string(++number);
                    {
                        const std::lock_guard lock(mutex);
                        sentAt[id] = elapsedMs();
                    }
                    connection->send("GET /lookup/1 HTTP/1.1\r\nHost: lunch.example\r\nX-Attempt-Id: "
                                     + id
                                     + "\r\nX-Deadline-Ms: 1200\r\nAuthorization: Bearer key-1\r\n\r\n");
                    const Message answer = connection->read(1500, true);
                    const std::lock_guard lock(mutex);
                    ++statuses[answer.status()];
                    record.line(id + " to " + node.name() + " sent at "
                                + std::to_string(sentAt[id]) + " ms: "
                                + std::to_string(answer.status()));
                }
            });
        }
        sleepMs(6000);
        record.line("the machines were added " + std::to_string(elapsedMs() - addedAt) + " ms ago");
        isOver = true;
        for (auto &client : clients) {
            client.join();
        }

        std::vector<std::pair<long, long>> ran; // sent, arrived
        for (const auto &[id, at] : ranAt) {
            ran.emplace_back(sentAt[id], at);
        }
        std::sort(ran.begin(), ran.end());
        const double allowed = (rate * windowS + burst) * (1 + excess) + slack;
        int most = 0;
        long mostAt = 0;
        for (const auto &first : ran) {
            const long from = first.first;
            const long until = from + static_cast<long>(windowS * 1000);
            const auto count = std::count_if(ran.begin(), ran.end(), [&](const auto &each) {
                return each.first >= from && each.second < until;
            });
            if (count > most) {
                most = static_cast<int>(count);
                mostAt = from;
            }
        }
        for (const auto &[status, count] : statuses) {
            record.line("status " + std::to_string(status) + ": " + std::to_string(count));
        }
        const bool isBroken = most > allowed;
        record.line("most requests that were sent and ran within 5 s: " + std::to_string(most)
                    + ", from " + std::to_string(mostAt) + " ms on; allowed "
                    + std::to_string(allowed) + (isBroken ? "  BROKEN" : ""));
        Processes::all().exit(isBroken ? 1 : 0);
    } catch (const std::exception &problem) {
        record.line(std::string("cannot run: ") + problem.what());
        Processes::all().exit(2);
    }
}
