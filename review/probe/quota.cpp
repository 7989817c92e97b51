// A tenant that sends more than its limit while one front daemon stands still for a moment, twice.

#include "turns.h"

#include <algorithm>

using namespace probe;

namespace {

struct Sent
{
    double at = 0;
    double arrivedAt = -1;
};

std::mutex mutex;
std::map<std::string, Sent> requests;

} // namespace

int main(int argc, char **argv)
{
    Record::get().open(argv[1]);
    const std::size_t victim = argc > 2 ? std::strtoul(argv[2], nullptr, 10) : 0;
    const double stillFor = argc > 3 ? std::atof(argv[3]) : 0.9;
    const double every = argc > 4 ? std::atof(argv[4]) : 2.1;
    const int times = argc > 5 ? std::atoi(argv[5]) : 3;
    const double rate = argc > 6 ? std::atof(argv[6]) : 171;
    const double burst = argc > 7 ? std::atof(argv[7]) : 171;
    const double factor = argc > 8 ? std::atof(argv[8]) : 3;
    const json tenants = {{{"name", "hule930"},
                           {"api_keys", {"3fexd9dnn2ctnfzs989a"}},
                           {"priority", 1},
                           {"rate_per_s", rate},
                           {"burst", burst}}};
    Deployment deployment(7, 3);
    const auto servers = startAll(deployment, agentConfiguration(tenants, 60));
    const std::vector<Front> &fronts = deployment.fronts;
    for (const auto &server : servers) {
        if (server->onRun) {
            continue;
        }
        server->onRun = [](Connection &connection, Message &request, Backend &self) {
            const std::string id = request.header("X-Attempt-Id");
            {
                const std::lock_guard lock(mutex);
                requests[id].arrivedAt = now();
            }
            record("run " + id + " at " + self.id());
            return connection.write(response(200,
                                             "done " + id + "\n",
                                             {{"X-Attempt-Id", id},
                                              {"X-Server-Stamp", Backend::stamp()},
                                              {"X-Server-Load", self.load()}}));
        };
    }
    const double begun = now();
    const double length = 9;
    constexpr int connectionsPerFront = 8;
    const double gap = connectionsPerFront * static_cast<double>(fronts.size()) / (rate * factor);
    std::map<int, int> answers;
    std::vector<std::thread> clients;
    for (std::size_t i = 0; i < fronts.size() * connectionsPerFront; ++i) {
        clients.emplace_back([&, i] {
            const Front &front = fronts[i % fronts.size()];
            std::mt19937_64 random(i + 1);
            sleepFor(gap * static_cast<double>(i) / (connectionsPerFront * 7.0));
            std::unique_ptr<Connection> connection;
            double next = now();
            while (now() < begun + length) {
                if (!connection) {
                    connection = Connection::open(front.callers);
                    if (!connection) {
                        sleepFor(0.1);
                        continue;
                    }
                    connection->setTimeout(1.2);
                }
                const std::string id = hexId(random);
                {
                    const std::lock_guard lock(mutex);
                    requests[id].at = now();
                }
                record("send " + id + " to " + front.process->name);
                connection->write("GET /lookup/2f HTTP/1.1\r\nHost: agents.example\r\nX-Attempt-Id: "
                                  + id
                                  + "\r\nX-Deadline-Ms: 1200\r\nAuthorization: Bearer "
                                    "3fexd9dnn2ctnfzs989a\r\n\r\n");
                Message answer;
                const bool isAnswered = connection->readMessage(answer);
                const int status = isAnswered ? answer.status() : 0;
                record("answer " + id + ": " + std::to_string(status));
                {
                    const std::lock_guard lock(mutex);
                    ++answers[status];
                }
                if (!isAnswered || lower(answer.header("Connection")) == "close") {
                    connection.reset();
                }
                next = std::max(next + gap, now());
                sleepFor(next - now());
            }
        });
    }
    if (isTroubled()) {
        sleepFor(0.5);
        for (int i = 0; i < times; ++i) {
            say(fronts[victim].process->name + " stands still for " + std::to_string(stillFor)
                + " s");
            fronts[victim].process->signal(SIGSTOP);
            sleepFor(stillFor);
            fronts[victim].process->signal(SIGCONT);
            sleepFor(every - stillFor);
        }
    }
    for (std::thread &client : clients) {
        client.join();
    }
    std::vector<Sent> run;
    for (const auto &[id, sent] : requests) {
        if (sent.arrivedAt >= 0) {
            run.push_back(sent);
        }
    }
    std::sort(run.begin(), run.end(), [](const Sent &a, const Sent &b) { return a.at < b.at; });
    constexpr double window = 5;
    std::size_t most = 0;
    double mostAt = 0;
    for (std::size_t i = 0; i < run.size(); ++i) {
        std::size_t count = 0;
        for (std::size_t j = i; j < run.size() && run[j].at < run[i].at + window; ++j) {
            count += run[j].arrivedAt < run[i].at + window ? 1 : 0;
        }
        if (count > most) {
            most = count;
            mostAt = run[i].at;
        }
    }
    const double limit = (rate * window + burst) * 1.1 + 20;
    for (const auto &[status, count] : answers) {
        say("answers " + std::to_string(status) + ": " + std::to_string(count));
    }
    say(std::to_string(run.size()) + " ran; most in 5 s from " + std::to_string(mostAt) + ": "
        + std::to_string(most) + ", limit " + std::to_string(limit));
    if (run.size() < rate * 3) {
        finish(deployment, 2);
    }
    finish(deployment, static_cast<double>(most) > limit ? 1 : 0);
}
