// Case 15: programs of two tenants that have the same id share one account of tokens.

#include "deployment.h"

using namespace Stand;

namespace {

constexpr int smallBudget = 2 * turnTokens;
constexpr int largeBudget = 100 * turnTokens;
constexpr const char *otherKey = "m82thhkmgjqnirth5mgj";

std::string turnOfOther(const std::string &id, const std::string &program)
{
    const std::string key = "3fexd9dnn2ctnfzs989a";
    std::string request = turn(id, program, largeBudget);
    return request.replace(request.find(key), key.size(), otherKey);
}

} // namespace

int main(int count, char **arguments)
{
    if (count != 3) {
        return 2;
    }
    Deployment deployment(arguments[1], arguments[2], 60);
    json spec = configuration(60);
    spec["version"] = 8;
    spec["tenants"].push_back({{"name", "bova118"},
                               {"api_keys", {otherKey}},
                               {"priority", 1},
                               {"rate_per_s", 200},
                               {"burst", 200}});
    deployment.platform.put("config", "main", spec);
    Record &record = deployment.record;
    if (!deployment.start()) {
        deployment.stop();
        return 2;
    }
    int broken = 0, usable = 0;
    std::string figures = "tokens of the programs of the first tenant:";
    for (int i = 0; i < 4; ++i) {
        // Six hexadecimal digits, as in the example of PROTOCOL.md.
        const std::string program = newId().substr(0, 6);
        const std::string other = isTroubled() ? program : newId().substr(0, 6);
        int otherServed = 0, tokens = 0;
        for (int k = 0; k < 3; ++k) {
            const std::string id = newId();
            record.write("send    " + id + " program " + other + " of bova118, budget "
                         + std::to_string(largeBudget));
            const Answer answer
                = sendRequest(deployment.ips[0], turnOfOther(id, other), Ms(3000));
            otherServed += answer.status == 200 ? 1 : 0;
            record.write("answer  " + id + " " + std::to_string(answer.status));
            std::this_thread::sleep_for(Ms(700));
        }
        for (int k = 0; k < 12; ++k) {
            const Answer answer = deployment.runTurn(program, 0, smallBudget);
            tokens += answer.events * stride;
            if (answer.status == 402) {
                break;
            }
        }
        broken += tokens > smallBudget + turnTokens ? 1 : 0;
        usable += otherServed == 3 && tokens >= smallBudget ? 1 : 0;
        figures += " " + std::to_string(tokens);
    }
    deployment.stop();
    end(record,
        "BUDGET",
        broken > 0 ? 1 : usable == 4 ? 0 : 2,
        figures + "; budget " + std::to_string(smallBudget) + ", with the most of one turn "
            + std::to_string(smallBudget + turnTokens));
}
