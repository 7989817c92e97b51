// Draft: two tenants whose programs have the same id.

#include "deployment.h"

using namespace Stand;

int main(int count, char **arguments)
{
    if (count != 3) {
        return 2;
    }
    Deployment deployment(arguments[1], arguments[2], 60);
    json spec = configuration(60);
    spec["version"] = 8;
    spec["tenants"].push_back({{"name", "bova118"},
                               {"api_keys", {"m82thhkmgjqnirth5mgj"}},
                               {"priority", 1},
                               {"rate_per_s", 200},
                               {"burst", 200}});
    deployment.platform.put("config", "main", spec);
    Record &record = deployment.record;
    if (!deployment.start()) {
        deployment.stop();
        return 2;
    }
    int broken = 0;
    std::string figures;
    for (int i = 0; i < 4; ++i) {
        const std::string id = newId().substr(0, 6);
        const std::string other = isTroubled() ? id : newId().substr(0, 6);
        int tokens = 0, status = 0, otherStatus = 0;
        for (int k = 0; k < 3; ++k) {
            std::string request = turn(newId(), other, 100 * turnTokens);
            const std::string key = "3fexd9dnn2ctnfzs989a";
            request.replace(request.find(key), key.size(), "m82thhkmgjqnirth5mgj");
            otherStatus = sendRequest(deployment.ips[0], request, Ms(3000)).status;
            std::this_thread::sleep_for(Ms(700));
        }
        for (int k = 0; k < 12; ++k) {
            const Answer answer = deployment.runTurn(id, 0, 2 * turnTokens);
            tokens += answer.events * stride;
            status = answer.status;
            if (status == 402) {
                break;
            }
        }
        broken += tokens > 3 * turnTokens ? 1 : 0;
        figures += " " + std::to_string(tokens) + "/" + std::to_string(2 * turnTokens) + " last "
                   + std::to_string(status) + " other " + std::to_string(otherStatus);
    }
    deployment.stop();
    end(record, "BUDGET", broken > 0 ? 1 : 0, figures);
}
