// Case: a front that stands still for moments leads to two coordinators of a tenant's limit.
#include "programs.h"

using namespace rig;

int main(int argc, char **argv)
{
    ::signal(SIGPIPE, SIG_IGN);
    record.open(argc > 1 ? argv[1] : "record.txt");
    const std::string victim = argc > 2 ? argv[2] : "front-tas-a-2";
    constexpr double rate = 60;
    constexpr double burst = 60;
    constexpr double usual = rate / 1.6; // requests a second of the tenant
    constexpr double hotX = 7.5;
    constexpr double hotS = 6.5;
    constexpr int standMs = 300;
    constexpr int goMs = 700;
    constexpr int fronts = 7;
    constexpr int perFront = 6;
    const bool isTroubled = hasTrouble();
    Deployment d;
    d.prepare();
    d.store.put("config", "main", configuration(7, rate, burst));
    for (int i = 0; i < fronts; ++i) {
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

    // The tenant's clients are spread evenly over the fronts. From hotAt on they send hotX times
    // the usual.
    std::atomic<bool> isOver{false};
    const double startAt = nowS();
    const double hotAt = startAt + 3;
    std::mutex mutex;
    std::map<std::string, double> sentAt;
    std::map<int, int> statuses;
    std::vector<std::thread> clients;
    for (std::size_t i = 0; i < d.nodes.size() * perFront; ++i) {
        clients.emplace_back([&, i] {
            const Node &front = d.nodes[i % d.nodes.size()];
            double next = startAt + double(fronts * perFront) / usual * double(i) / double(fronts * perFront);
            while (!isOver) {
                if (nowS() < next) {
                    sleepMs(1);
                    continue;
                }
                const double perS = nowS() < hotAt ? usual : usual * hotX;
                next = std::max(next, nowS() - 0.05) + double(fronts * perFront) / perS;
                if (nowS() < hotAt && next > hotAt + 0.2) {
                    next = hotAt + 0.15 * double(i) / double(fronts * perFront);
                }
                const std::string attempt = newAttempt();
                {
                    const std::lock_guard lock(mutex);
                    sentAt[attempt] = nowS();
                }
                const Answer answer = ask(front.ip, d.ports.front,
                                          "GET /pule252/4b HTTP/1.1\r\nHost: " + std::string(host)
                                              + "\r\nX-Attempt-Id: " + attempt
                                              + "\r\nX-Deadline-Ms: 1200\r\nAuthorization: Bearer " + key
                                              + "\r\n\r\n",
                                          1200);
                record.line("attempt " + attempt + " at " + front.name + ": " + std::to_string(answer.status));
                const std::lock_guard lock(mutex);
                ++statuses[answer.status];
            }
        });
    }
    while (nowS() < hotAt) {
        sleepMs(5);
    }
    record.line("the tenant sends 7.5 times its usual");
    while (nowS() < hotAt + hotS) {
        if (isTroubled) {
            d.signal(d.find(victim), SIGSTOP, "stands still for 0.3 s:");
        }
        sleepMs(standMs);
        if (isTroubled) {
            d.signal(d.find(victim), SIGCONT, "goes on:");
        }
        sleepMs(goMs);
    }
    isOver = true;
    for (std::thread &client : clients) {
        client.join();
    }
    sleepMs(500);

    // Requests that were both sent and arrived at a server in a window of 5 s: a window that ends
    // at an arrival counts those whose sending lies in it too.
    std::vector<std::pair<double, double>> ran; // arrival, sending
    for (const auto &server : servers) {
        for (const Run &run : server->runs()) {
            ran.emplace_back(run.at, sentAt[run.attempt]);
            record.line("ran at " + server->id + " at " + std::to_string(run.at) + ": " + run.attempt + " of "
                        + run.tenant);
        }
    }
    std::sort(ran.begin(), ran.end());
    std::size_t most = 0;
    double mostAt = 0;
    for (const auto &[end, ignored] : ran) {
        std::size_t count = 0;
        for (const auto &[arrived, sent] : ran) {
            count += arrived <= end && sent >= end - 5.0 ? 1 : 0;
        }
        if (count > most) {
            most = count;
            mostAt = end - 5.0;
        }
    }
    const double allowed = (rate * 5 + burst) * 1.1 + 20;
    std::string text;
    for (const auto &[status, count] : statuses) {
        text += " " + std::to_string(status) + ": " + std::to_string(count);
    }
    char line[256];
    std::snprintf(line, sizeof line, "requests run in the worst 5 s: %zu (from %.3f), allowed %.0f; answers%s", most,
                  mostAt, allowed, text.c_str());
    finish(double(most) > allowed ? 1 : 0, line);
}
