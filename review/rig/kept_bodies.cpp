// Case: requests with bodies on kept connections get no answer.
#include "programs.h"

using namespace rig;

int main(int argc, char **argv)
{
    ::signal(SIGPIPE, SIG_IGN);
    record.open(argc > 1 ? argv[1] : "record.txt");
    const bool isKept = hasTrouble();
    constexpr int timeoutMs = 3000;
    Deployment d;
    d.prepare();
    d.store.put("config", "main", configuration(7));
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
    std::mutex mutex;
    int answered = 0;
    int late = 0;    // no answer at the route's timeout
    int missing = 0; // nor half a second later
    std::vector<std::thread> clients;
    for (int client = 0; client < 28; ++client) {
        clients.emplace_back([&, client] {
            std::mt19937 random(static_cast<unsigned>(client));
            const Node &front = d.nodes[static_cast<std::size_t>(client) % d.nodes.size()];
            int fd = connectTo(front.ip, d.ports.front, 1000);
            auto reader = std::make_unique<Reader>(fd);
            for (int i = 0; i < 10; ++i) {
                const std::string attempt = newAttempt();
                const std::string body(17'000 + random() % 83'000, 'x');
                const std::string request
                    = "POST /lohu930/4b HTTP/1.1\r\nHost: " + std::string(host) + "\r\nX-Attempt-Id: " + attempt
                      + "\r\nX-Model: m\r\nX-Token-Count: 40,290\r\nX-Deadline-Ms: 3000\r\nAuthorization: Bearer "
                      + key + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
                const double sentAt = nowS();
                const bool isSent = sendAll(fd, request);
                const Answer answer = readAnswer(*reader, Clock::now() + Ms(timeoutMs + 1500));
                const double took = nowS() - sentAt;
                record.line("attempt " + attempt + " at " + front.name + ", " + std::to_string(body.size())
                            + " bytes, request " + std::to_string(i + 1) + " of its client: "
                            + (answer.status == 0 ? (reader->isClosed() ? "closed" : "no answer")
                                                  : std::to_string(answer.status))
                            + " after " + std::to_string(took) + " s" + (isSent ? "" : ", not sent whole"));
                {
                    const std::lock_guard lock(mutex);
                    answered += answer.status != 0 ? 1 : 0;
                    const bool isOpen = answer.status != 0 || !reader->isClosed();
                    late += isOpen && took >= timeoutMs / 1000.0 ? 1 : 0;
                    missing += isOpen && took >= timeoutMs / 1000.0 + 0.5 ? 1 : 0;
                }
                if (!isKept || answer.status == 0) {
                    ::close(fd);
                    fd = connectTo(front.ip, d.ports.front, 1000);
                    reader = std::make_unique<Reader>(fd);
                }
                sleepMs(20);
            }
            ::close(fd);
        });
    }
    for (std::thread &client : clients) {
        client.join();
    }
    std::size_t ran = 0;
    for (const auto &server : servers) {
        ran += server->runs().size();
    }
    const bool isBroken = late >= 8 && 2 * missing > late;
    finish(isBroken ? 1 : 0,
           "answered " + std::to_string(answered) + " of 280, run " + std::to_string(ran)
               + "; without an answer at timeout_ms " + std::to_string(late) + ", half a second later "
               + std::to_string(missing));
}
