// Conversations whose turns are kept, and two stores that lose their disks, one long after the other.

#include "turns.h"

#include <algorithm>
#include <queue>

using namespace probe;

namespace {

constexpr std::size_t inputBytes = 17'000;
constexpr double retain = 60;
constexpr double perSecond = 81;
/// Time between two turns of a conversation.
constexpr double pace = 4;
/// Time until the first disk is lost.
constexpr double before = 30;

struct Chain
{
    std::string program;
    std::string previous;
    double answeredAt = 0;
    int turns = 0;
};

/// Sends the next turn of the chain; returns the status, or 0 without a whole answer.
int sendNext(const Front &front, Chain &chain, const std::string &input)
{
    thread_local std::mt19937_64 random(std::random_device{}());
    const std::string attempt = hexId(random);
    const auto connection = Connection::open(front.callers);
    if (!connection) {
        return 0;
    }
    connection->setTimeout(4);
    std::string head = "POST /turns/4b HTTP/1.1\r\nHost: agents.example\r\nX-Attempt-Id: " + attempt
                       + "\r\nX-Program-Id: " + chain.program + "\r\nX-Session-Id: s"
                       + chain.program + "\r\nX-Finish-Ms: 200000\r\nX-Model: m\r\nX-Token-Budget: "
                         "1000000\r\nX-Token-Count: 100,116\r\nX-Prompt-Prefix: 5c1e07a2:60,"
                       + chain.program + ":40\r\nX-Deadline-Ms: 3000\r\nAuthorization: Bearer "
                         "3fexd9dnn2ctnfzs989a\r\n";
    if (!chain.previous.empty()) {
        head += "X-Previous-Turn: " + chain.previous + "\r\n";
    }
    connection->write(head + "Content-Length: " + std::to_string(input.size()) + "\r\n\r\n" + input);
    Message answer;
    int status = 0;
    bool isWhole = false;
    if (connection->readHead(answer)) {
        status = answer.status();
        isWhole = connection->readBody(answer);
    }
    record("turn " + attempt + " of " + chain.program + " after " + chain.previous + " through "
           + front.process->name + ": " + std::to_string(status) + (isWhole ? "" : " not whole"));
    if (status == 200 && isWhole) {
        chain.previous = attempt;
        chain.answeredAt = now();
        ++chain.turns;
        return 200;
    }
    return isWhole ? status : 0;
}

} // namespace

int main(int, char **argv)
{
    Record::get().open(argv[1]);
    const json tenants
        = {{{"name", "hule930"}, {"api_keys", {"3fexd9dnn2ctnfzs989a"}}, {"priority", 1}}};
    Deployment deployment(7, 3);
    json configuration = agentConfiguration(tenants, retain);
    configuration["routes"][0]["retained"] = true;
    const auto servers = startAll(deployment, configuration);
    for (const auto &server : servers) {
        if (server->onRun) {
            server->onRun = [](Connection &connection, Message &request, Backend &self) {
                const std::size_t size = request.body.size();
                record("run " + request.header("X-Attempt-Id") + " at " + self.id() + ", "
                       + std::to_string(size) + " bytes");
                request.body = "2";
                return streamEvents(connection, request, self);
            };
        }
    }
    const std::vector<Front> &fronts = deployment.fronts;
    const std::string input(inputBytes, 'i');
    std::mt19937_64 random(5);
    std::vector<Chain> chains(static_cast<std::size_t>(perSecond * pace));
    using Due = std::pair<double, std::size_t>;
    std::priority_queue<Due, std::vector<Due>, std::greater<>> due;
    const double begun = now();
    for (std::size_t i = 0; i < chains.size(); ++i) {
        chains[i].program = hexId(random);
        due.emplace(begun + pace * static_cast<double>(i) / static_cast<double>(chains.size()), i);
    }
    std::mutex mutex;
    std::atomic<bool> isOver = false;
    std::atomic<bool> isPaused = false;
    std::vector<std::thread> workers;
    for (int i = 0; i < 48; ++i) {
        workers.emplace_back([&] {
            while (!isOver) {
                Due next{0, 0};
                {
                    const std::lock_guard lock(mutex);
                    if (!due.empty() && due.top().first <= now()) {
                        next = due.top();
                        due.pop();
                    }
                }
                if (next.first == 0) {
                    sleepFor(0.005);
                    continue;
                }
                if (isPaused && next.second % 3 == 0) {
                    continue;
                }
                const int status
                    = sendNext(fronts[(next.second + static_cast<std::size_t>(now())) % fronts.size()],
                               chains[next.second],
                               input);
                const std::lock_guard lock(mutex);
                due.emplace(status == 200 ? next.first + pace : now() + 0.4, next.second);
            }
        });
    }
    const auto loseDisk = [&](std::size_t number) {
        say(deployment.stores[number]->name + " loses its disk and starts again after 0.4 s");
        deployment.stores[number]->kill();
        deployment.removeData(number);
        sleepFor(0.4);
        deployment.stores[number]->start();
    };
    say(std::to_string(chains.size()) + " conversations, a turn every " + std::to_string(pace)
        + " s each");
    sleepFor(begun + before - now());
    if (isTroubled()) {
        loseDisk(0);
    }
    sleepFor(begun + before + 13 - now());
    say("the callers of every third conversation pause; the others go on");
    isPaused = true;
    sleepFor(0.5);
    const double lostAt = now();
    if (isTroubled()) {
        loseDisk(1);
    }
    sleepFor(lostAt + 1 + 18 - now());
    say("the callers that paused go on");
    std::vector<std::size_t> recent;
    for (std::size_t i = 0; i < chains.size(); i += 3) {
        const std::lock_guard lock(mutex);
        if (chains[i].turns > 0 && chains[i].answeredAt > lostAt - 5) {
            recent.push_back(i);
        }
    }
    std::atomic<std::size_t> next = 0;
    std::atomic<int> lost = 0;
    std::atomic<int> served = 0;
    std::map<int, int> answers;
    std::atomic<int> firstServed = 0;
    constexpr int firstTurns = 40;
    std::vector<std::thread> triers;
    for (int worker = 0; worker < 48; ++worker) {
        triers.emplace_back([&, worker] {
            std::mt19937_64 fate(static_cast<unsigned>(worker) + 77);
            for (std::size_t at = next++; at < recent.size(); at = next++) {
                Chain &chain = chains[recent[at]];
                std::vector<std::size_t> order{0, 1, 2, 3, 4, 5, 6};
                std::shuffle(order.begin(), order.end(), fate);
                const double endsAt = chain.answeredAt + retain - 0.5;
                int tries = 0;
                int status = 0;
                for (; tries < 6 && status != 200 && now() < endsAt; ++tries) {
                    status = sendNext(
                        fronts[order[static_cast<std::size_t>(tries)]], chain, input);
                    if (status != 200) {
                        const std::lock_guard lock(mutex);
                        ++answers[status];
                    }
                    sleepFor(status == 200 ? 0 : 0.25);
                }
                if (status == 200) {
                    ++served;
                } else if (tries >= 5) {
                    ++lost;
                    record("LOST: " + chain.program + ", " + std::to_string(tries) + " tries");
                }
            }
            for (int i = worker; i < firstTurns; i += 48) {
                Chain chain{"f" + std::to_string(i) + "00aa", "", 0, 0};
                firstServed += sendNext(fronts[static_cast<std::size_t>(i) % 7], chain, input) == 200;
            }
        });
    }
    for (std::thread &trier : triers) {
        trier.join();
    }
    isOver = true;
    for (std::thread &worker : workers) {
        worker.join();
    }
    for (const auto &[status, count] : answers) {
        say("answers " + std::to_string(status) + ": " + std::to_string(count));
    }
    say(std::to_string(recent.size()) + " conversations: " + std::to_string(served.load())
        + " went on, " + std::to_string(lost.load()) + " reached no server in five tries or more; "
        + std::to_string(firstServed.load()) + " of " + std::to_string(firstTurns)
        + " first turns were served");
    if (recent.size() < 50 || firstServed < firstTurns * 9 / 10) {
        finish(deployment, 2);
    }
    finish(deployment, lost > 0 ? 1 : 0);
}
