// Case: orders meet full servers, and servers repeat an earlier answer late and without a length
// ("garble": extra, unframed). An order that was answered 503 must not have run.
#include "stand.h"

#include <random>

using namespace Stand;

namespace {

constexpr int serverCount = 3;
constexpr int slots = 6;
constexpr int queueLength = 2;
constexpr int clientCount = 25;
constexpr long playMs = 30'000;
constexpr double garbledShare = 0.03; // of the answers, at two of the three servers

std::mutex mutex;
std::map<std::string, int> runs;               // by attempt
std::map<std::string, std::string> finalLines; // by attempt
std::map<std::string, std::string> bodies;     // what the server answered, by attempt
std::atomic<long> refusals{0};
std::atomic<long> extras{0};

/// A plain service: at most `slots` requests at once, `queueLength` more wait, others are refused.
class OrderServer
{
public:
    OrderServer(std::string id, bool isGarbling, Record &record)
        : id_(std::move(id))
        , isGarbling_(isGarbling)
        , record_(record)
        , server_(loopback(1), [this](Connection &c) { serve(c); })
    {}
    std::string address() const { return server_.address(); }
    const std::string &id() const { return id_; }

private:
    std::string load()
    {
        return std::to_string(std::min(held_, slots)) + "," + std::to_string(std::max(0, held_ - slots))
               + "," + std::to_string(slots);
    }
    void serve(Connection &connection)
    {
        std::mt19937 random(std::random_device{}());
        std::string extra;
        for (;;) {
            const Message request = connection.read(30'000, false);
            if (!request.isComplete) {
                return;
            }
            const std::string attempt = request.header("X-Attempt-Id");
            if (request.method() == "GET" && request.target() == "/health") {
                connection.send("HTTP/1.1 200 OK\r\nX-Instance-Id: " + id_
                                + "\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            if (request.header("X-Target-Instance") != id_) {
                connection.send("HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: " + id_
                                + "\r\nX-Attempt-Id: " + attempt + "\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            std::unique_lock lock(state_);
            if (held_ >= slots + queueLength) {
                const std::string report = load();
                lock.unlock();
                ++refusals;
                record_.line("server " + id_ + " is full, refuses " + attempt);
                connection.send("HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nX-Attempt-Id: "
                                + attempt + "\r\nX-Server-Load: " + report
                                + "\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            ++held_;
            freed_.wait(lock, [this] { return running_ < slots; });
            ++running_;
            lock.unlock();
            {
                const std::lock_guard guard(mutex);
                ++runs[attempt];
            }
            record_.line("server " + id_ + " runs " + attempt);
            if (!extra.empty()) {
                // The earlier answer once more, where the answer to this request is due. It has no
                // length, so that it ends with the connection.
                ++extras;
                record_.line("server " + id_ + " repeats an earlier answer, without a length, before that to "
                             + attempt + ", and ends the connection");
                connection.send(extra);
                connection.shutdownSend();
            }
            sleepMs(30 + static_cast<long>(random() % 20));
            lock.lock();
            --running_;
            --held_;
            const std::string report = load();
            lock.unlock();
            freed_.notify_one();
            if (!extra.empty()) {
                return;
            }
            const std::string body = "booked " + attempt + std::string(600, '.');
            const std::string head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt
                                     + "\r\nX-Server-Stamp: " + id_ + "." + attempt
                                     + "\r\nX-Server-Load: " + report + "\r\n";
            if (!connection.send(head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n"
                                 + body)) {
                return;
            }
            const bool isGarbled = isGarbling_
                                   && static_cast<double>(random() % 100'000) < garbledShare * 100'000;
            if (isGarbled && isTrouble()) {
                extra = head + "\r\n" + body;
            }
        }
    }

    std::string id_;
    bool isGarbling_;
    Record &record_;
    std::mutex state_;
    std::condition_variable freed_;
    int held_ = 0;
    int running_ = 0;
    Server server_;
};

void runClient(int number, const Node &node, Record &record)
{
    std::unique_ptr<Connection> connection;
    int next = 0;
    while (elapsedMs() < playMs) {
        if (!connection) {
            connection = Connection::open(node.ip(), node.callerPort());
            if (!connection) {
                sleepMs(20);
                continue;
            }
        }
        char attempt[32];
        std::snprintf(attempt, sizeof attempt, "a%02d%06d", number, next++);
        record.line(std::string("client sends ") + attempt);
        connection->send(std::string("POST /orders/1 HTTP/1.1\r\nHost: club.example\r\nX-Attempt-Id: ")
                         + attempt + "\r\nX-Deadline-Ms: 1500\r\nContent-Length: 5\r\n\r\norder");
        const Message response = connection->read(2'500, true);
        const std::string first = response.first.empty() ? "(closed)" : response.first;
        record.line(std::string("client gets for ") + attempt + ": " + first);
        {
            const std::lock_guard guard(mutex);
            finalLines[attempt] = first;
        }
        if (!response.isComplete || response.status() < 200 || lower(response.header("Connection")) == "close") {
            connection.reset();
        }
        sleepMs(5);
    }
}

} // namespace

int main(int, char **arguments)
{
    Processes::all().limit(100'000);
    Record record(arguments[1]);
    const auto folder = makeFolder();
    Store store(loopback(9));
    std::vector<std::unique_ptr<OrderServer>> servers;
    for (int i = 0; i < serverCount; ++i) {
        servers.push_back(std::make_unique<OrderServer>("i-" + std::to_string(i), i < 2, record));
        store.put("servers", servers.back()->id(), serverEntry("club-app", servers.back()->address(), slots));
    }
    store.put("config", "main",
              {{"version", 7},
               {"routes",
                {{{"name", "orders"}, {"host", "club.example"}, {"path_prefix", "/orders/"},
                  {"kind", "non_idempotent"}, {"timeout_ms", 1500}, {"goal_ms", 200}, {"priority", 2},
                  {"service", "club-app"}, {"attempts", 2}, {"retained", false}, {"public", true}}}},
               {"services", {{{"name", "club-app"}, {"health_path", "/health"}, {"max_conns", 100},
                              {"protocol", "h1"}, {"tls", false}}}},
               {"limits", limits()}});
    std::vector<std::unique_ptr<Node>> nodes;
    json seeds = json::array();
    for (int i = 0; i < 2; ++i) {
        nodes.push_back(std::make_unique<Node>("front-" + std::to_string(i), loopback(11 + i), 20'000,
                                               store.address(), folder));
        seeds.push_back(nodes.back()->address(2));
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
    std::vector<std::thread> clients;
    for (int i = 0; i < clientCount; ++i) {
        clients.emplace_back([&, i] { runClient(i, *nodes[static_cast<std::size_t>(i) % nodes.size()], record); });
    }
    for (std::thread &client : clients) {
        client.join();
    }
    sleepMs(200);
    long broken = 0;
    long malformed = 0;
    long served = 0;
    std::map<std::string, long> counts;
    const std::lock_guard guard(mutex);
    for (const auto &[attempt, first] : finalLines) {
        const int status = std::atoi(first.c_str() + std::min(first.size(), first.find(' ') + 1));
        const bool isPromise = status == 503 || status == 429 || status == 408 || status == 421;
        ++counts[first];
        served += status == 200;
        malformed += first != "(closed)" && status < 200;
        if (isPromise && runs.contains(attempt)) {
            ++broken;
            record.line("REFUSED broken: " + attempt + " was answered \"" + first + "\" and has run");
        }
    }
    std::string summary = "requests " + std::to_string(finalLines.size()) + ", refused by full servers "
                          + std::to_string(refusals) + ", answers repeated without a length "
                          + std::to_string(extras) + ", REFUSED broken " + std::to_string(broken)
                          + ", status lines that are none " + std::to_string(malformed);
    for (const auto &[first, count] : counts) {
        summary += "; " + first + ": " + std::to_string(count);
    }
    record.line(summary);
    std::fprintf(stderr, "%s\n", summary.c_str());
    const bool couldRun = served > 500 && refusals > 0 && (!isTrouble() || extras > 0);
    Processes::all().exit(!couldRun ? 2 : broken > 0 ? 1 : 0);
}
