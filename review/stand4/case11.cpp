// Case 11: the budget of a program is forgotten while the program runs.

#include "deployment.h"

using namespace Stand;

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
    OtherPrograms others(deployment, 4);

    const std::string program = "a" + newId();
    int tokens = 0, turns = 0, refused = 0, front = 0;
    bool isSpent = false;
    double lastAt = record.seconds(), longestPause = 0;
    const auto runTurn = [&] {
        for (int attempt = 0; attempt < 3; ++attempt) {
            front = deployment.available(front);
            const Answer answer = deployment.runTurn(program, front);
            tokens += answer.events * stride;
            longestPause = std::max(longestPause, record.seconds() - lastAt);
            lastAt = record.seconds();
            if (answer.status == 200) {
                ++turns;
                return;
            }
            if (answer.status == 402) {
                isSpent = true;
                return;
            }
            ++refused;
            front = (front + 1) % Deployment::frontCount;
            std::this_thread::sleep_for(Ms(300));
        }
    };

    // Eight turns of the twenty that the budget holds, in more than twice retain_s.
    for (int i = 0; i < 8; ++i) {
        runTurn();
        std::this_thread::sleep_for(Ms(retainSeconds * 300));
    }
    if (isTroubled()) {
        for (int i = 0; i < Deployment::frontCount; ++i) {
            if (!deployment.restart(i)) {
                deployment.stop();
                return 2;
            }
            std::this_thread::sleep_for(Ms(500));
            runTurn();
        }
    }
    for (int i = 0; i < 30 && !isSpent; ++i) {
        runTurn();
        std::this_thread::sleep_for(Ms(200));
    }
    others.end();
    deployment.stop();
    const int most = budget + turnTokens;
    const bool isUsable = turns >= 15 && longestPause < retainSeconds;
    end(record,
        "BUDGET",
        tokens > most ? 1 : isUsable ? 0 : 2,
        std::to_string(tokens) + " tokens in " + std::to_string(turns) + " turns of a program with a budget of "
            + std::to_string(budget) + ", with the most of one turn " + std::to_string(most)
            + "; longest pause " + std::to_string(longestPause) + " s, " + std::to_string(refused)
            + " tries refused, other programs served " + std::to_string(others.served) + " of "
            + std::to_string(others.sent));
}
