// Case 13: two coordinators are lost in an outage of the platform's store, and what a program used
// meanwhile is forgotten.

#include "deployment.h"

using namespace Stand;

int main(int count, char **arguments)
{
    if (count != 3) {
        return 2;
    }
    Deployment deployment(arguments[1], arguments[2], 60);
    Record &record = deployment.record;
    if (!deployment.start()) {
        deployment.stop();
        return 2;
    }
    OtherPrograms others(deployment, 4);
    const std::string program = "a" + newId();
    int tokens = 0, turns = 0, refused = 0, front = 0;
    bool isSpent = false;
    const auto runTurn = [&] {
        front = deployment.available(front);
        const Answer answer = deployment.runTurn(program, front);
        tokens += answer.events * stride;
        if (answer.status == 200) {
            ++turns;
        } else if (answer.status == 402) {
            isSpent = true;
        } else {
            ++refused;
        }
        return answer.status;
    };
    const auto pause = [](int milliseconds) { std::this_thread::sleep_for(Ms(milliseconds)); };

    for (int i = 0; i < 3; ++i) {
        runTurn();
        pause(300);
    }
    pause(1000);
    if (isTroubled()) {
        record.write("the platform's store is down");
        deployment.platform.setState(PlatformStore::State::Busy);
        const auto end = Clock::now() + Ms(4000);
        int refusedInRow = 0;
        while (Clock::now() < end && !isSpent) {
            // A refused turn is sent again, as clients do.
            refusedInRow = runTurn() == 200 ? 0 : refusedInRow + 1;
            pause(refusedInRow > 0 ? 200 : 20);
        }
        record.write("the program has " + std::to_string(tokens) + " tokens");
        record.write("all fronts are killed");
        for (auto &each : deployment.takesClients) {
            each = false;
        }
        for (const auto &each : deployment.fronts) {
            each->signal(SIGKILL);
        }
        for (const auto &each : deployment.fronts) {
            each->kill();
        }
        pause(500);
        record.write("the platform's store is up");
        deployment.platform.setState(PlatformStore::State::Up);
        for (const auto &each : deployment.fronts) {
            each->start(false);
        }
        for (const auto &each : deployment.fronts) {
            if (!each->awaitReady(Ms(10000))) {
                record.write("a front does not become ready again");
                deployment.stop();
                return 2;
            }
        }
        record.write("all fronts are ready again");
        for (auto &each : deployment.takesClients) {
            each = true;
        }
        pause(4000);
    }
    for (int i = 0; i < 40 && !isSpent; ++i) {
        runTurn();
        pause(200);
    }
    others.end();
    deployment.stop();
    const int most = budget + turnTokens;
    end(record,
        "BUDGET",
        tokens > most ? 1 : turns >= 12 ? 0 : 2,
        std::to_string(tokens) + " tokens in " + std::to_string(turns) + " turns of a program with a budget of "
            + std::to_string(budget) + ", with the most of one turn " + std::to_string(most) + "; "
            + std::to_string(refused) + " tries refused, other programs served "
            + std::to_string(others.served) + " of " + std::to_string(others.sent));
}
