// The open connections to the platform's store go silent right after a configuration; the next
// configuration withdraws a key.

#include "turns.h"

using namespace probe;

namespace {

struct Sent
{
    double at = 0;
    std::size_t front = 0;
};

std::mutex mutex;
std::map<std::string, Sent> requests;
std::map<std::string, double> runs;

} // namespace

int main(int argc, char **argv)
{
    Record::get().open(argv[1]);
    const double delay = argc > 2 ? std::atof(argv[2]) : 0.05;
    const std::string kept = "3fexd9dnn2ctnfzs989a";
    const std::string withdrawn = "nu6wsjnbanfqasnmgkcu";
    json tenants = {{{"name", "hule930"}, {"api_keys", {kept, withdrawn}}, {"priority", 1}}};
    Deployment deployment(7, 3);
    json configuration = agentConfiguration(tenants, 60);
    const auto servers = startAll(deployment, configuration);
    const std::vector<Front> &fronts = deployment.fronts;
    for (const auto &server : servers) {
        if (server->onRun) {
            continue;
        }
        server->onRun = [](Connection &connection, Message &request, Backend &self) {
            const std::string id = request.header("X-Attempt-Id");
            {
                const std::lock_guard lock(mutex);
                runs[id] = now();
            }
            record("run " + id + " at " + self.id());
            return self.answer(connection, id);
        };
    }
    std::atomic<bool> isOver = false;
    std::vector<std::thread> clients;
    for (std::size_t i = 0; i < fronts.size(); ++i) {
        clients.emplace_back([&, i] {
            std::mt19937_64 random(i + 1);
            while (!isOver) {
                const auto connection = Connection::open(fronts[i].callers);
                if (!connection) {
                    continue;
                }
                connection->setTimeout(2);
                const std::string id = hexId(random);
                {
                    const std::lock_guard lock(mutex);
                    requests[id] = {now(), i};
                }
                record("send " + id + " to " + fronts[i].process->name);
                connection->write("GET /lookup/2f HTTP/1.1\r\nHost: agents.example\r\nX-Attempt-Id: "
                                  + id + "\r\nX-Deadline-Ms: 1200\r\nAuthorization: Bearer "
                                  + withdrawn + "\r\n\r\n");
                Message answer;
                const bool isAnswered = connection->readMessage(answer);
                record("answer " + id + ": " + std::to_string(isAnswered ? answer.status() : 0));
                sleepFor(0.02);
            }
        });
    }
    sleepFor(2);
    configuration["version"] = 8;
    configuration["routes"][1]["timeout_ms"] = 1100;
    deployment.store.put("config", "main", configuration);
    say("version 8 is acknowledged");
    sleepFor(delay);
    const double silentAt = now();
    if (isTroubled()) {
        say("the open connections to the store go silent, new ones work");
        deployment.store.silenceOpenConnections();
    }
    sleepFor(0.5);
    configuration["version"] = 9;
    configuration["tenants"][0]["api_keys"] = {kept};
    deployment.store.put("config", "main", configuration);
    const double acknowledgedAt = now();
    say("version 9, without the key, is acknowledged");
    sleepFor(6);
    isOver = true;
    for (std::thread &client : clients) {
        client.join();
    }
    constexpr double applyTime = 2;
    constexpr double contactTime = 3;
    const double from = std::max(acknowledgedAt + applyTime, silentAt + contactTime);
    int late = 0;
    std::size_t before = 0;
    std::map<std::size_t, double> last;
    for (const auto &[id, at] : runs) {
        const Sent &sent = requests[id];
        before += sent.at < acknowledgedAt ? 1 : 0;
        if (sent.at > from) {
            ++late;
            last[sent.front] = std::max(last[sent.front], sent.at);
        }
    }
    for (const auto &[front, at] : last) {
        say(fronts[front].process->name + ": last request with the key that ran was sent "
            + std::to_string(at - acknowledgedAt) + " s after the acknowledgement, "
            + std::to_string(at - silentAt) + " s after the connections went silent");
    }
    say(std::to_string(late) + " requests ran with the withdrawn key, sent more than 2 s after the "
        "acknowledgement and more than 3 s after the disruption");
    if (before < 50) {
        finish(deployment, 2);
    }
    finish(deployment, late > 0 ? 1 : 0);
}
