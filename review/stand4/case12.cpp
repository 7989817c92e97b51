// Case 12: programs whose turns come through another zone get their budgets once more. Nothing
// fails.

#include "deployment.h"

using namespace Stand;

namespace {

constexpr int budgetTurns = 100;
constexpr int largeBudget = budgetTurns * turnTokens;

struct Program
{
    std::string id = "a" + newId();
    int tokens = 0, turns = 0, refused = 0;
    bool isSpent = false;
    double lastAt = -1, longestPause = 0;
};

void runTurn(Deployment &deployment, Program &program, int front)
{
    for (int attempt = 0; attempt < 3; ++attempt) {
        const Answer answer = deployment.runTurn(program.id, front, largeBudget);
        program.tokens += answer.events * stride;
        const double now = deployment.record.seconds();
        if (program.lastAt >= 0) {
            program.longestPause = std::max(program.longestPause, now - program.lastAt);
        }
        program.lastAt = now;
        program.isSpent = answer.status == 402;
        if (answer.status == 200 || program.isSpent) {
            program.turns += program.isSpent ? 0 : 1;
            return;
        }
        ++program.refused;
        std::this_thread::sleep_for(Ms(200));
    }
}

} // namespace

int main(int count, char **arguments)
{
    if (count != 3) {
        return 2;
    }
    const char *text = std::getenv("RETAIN_S"); // for a run by hand with the time of the site
    const int retainSeconds = text ? std::stoi(text) : 20;
    Deployment deployment(arguments[1], arguments[2], retainSeconds);
    Record &record = deployment.record;
    if (!deployment.start()) {
        deployment.stop();
        return 2;
    }
    OtherPrograms others(deployment, 6);
    std::vector<Program> programs(6);

    // Twelve turns of the hundred, in more than twice retain_s, all through the first zone.
    std::vector<std::thread> threads;
    for (Program &program : programs) {
        threads.emplace_back([&] {
            for (int i = 0; i < 12; ++i) {
                runTurn(deployment, program, 0);
                std::this_thread::sleep_for(Ms(retainSeconds * 220));
            }
        });
        std::this_thread::sleep_for(Ms(300));
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    const int next = isTroubled() ? 1 : 0;
    record.write("from now on the turns come through " + deployment.fronts[next]->name());
    threads.clear();
    for (Program &program : programs) {
        threads.emplace_back([&] {
            for (int i = 0; i < budgetTurns + 30 && !program.isSpent; ++i) {
                runTurn(deployment, program, next);
                std::this_thread::sleep_for(Ms(20));
            }
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    others.end();
    deployment.stop();
    const int most = largeBudget + turnTokens;
    int broken = 0, usable = 0;
    std::string figures = "tokens of the programs:";
    for (const Program &program : programs) {
        broken += program.tokens > most ? 1 : 0;
        usable += program.turns >= 15 && program.longestPause < retainSeconds ? 1 : 0;
        figures += " " + std::to_string(program.tokens) + " (" + std::to_string(program.turns)
                   + " turns, longest pause " + std::to_string(program.longestPause) + " s)";
    }
    end(record,
        "BUDGET",
        broken > 0 ? 1 : usable > 3 ? 0 : 2,
        figures + "; budget " + std::to_string(largeBudget) + ", with the most of one turn "
            + std::to_string(most) + "; " + std::to_string(broken) + " programs beyond; others served "
            + std::to_string(others.served) + " of " + std::to_string(others.sent));
}
