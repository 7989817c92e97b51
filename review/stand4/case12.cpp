// Case 12: a turn on a route that was added while its front stood still is answered 404.

#include "deployment.h"

using namespace Stand;

namespace {

std::string keptTurn(const std::string &id, const std::string &program, const std::string &previous)
{
    std::string request = turn(id, program);
    const std::string route = "/lohu930/";
    request.replace(request.find(route), route.size(), "/vemi415/");
    if (!previous.empty()) {
        const std::string field = "X-Model: m\r\n";
        request.insert(request.find(field), "X-Previous-Turn: " + previous + "\r\n");
    }
    return request;
}

} // namespace

int main(int count, char **arguments)
{
    if (count != 3) {
        return 2;
    }
    const std::filesystem::path folder = arguments[1];
    Deployment deployment(folder, arguments[2], 60);
    Record &record = deployment.record;
    std::vector<std::unique_ptr<Node>> stores;
    for (int i = 0; i < 3; ++i) {
        const std::string name = "store-" + std::string(deployment.zones[i]) + "-1";
        stores.push_back(std::make_unique<Node>(
            name,
            "store",
            nodeSettings(name,
                         "store",
                         address(21 + i),
                         deployment.zones[i],
                         deployment.ips,
                         address(2) + ":" + std::to_string(deployment.platform.port()),
                         folder),
            folder));
        stores.back()->start(true);
    }
    if (!deployment.start()) {
        deployment.stop();
        return 2;
    }
    OtherPrograms others(deployment, 4);
    Node &front = *deployment.fronts[2];
    // Clients whose connections are kept.
    std::vector<std::unique_ptr<Connection>> kept;
    for (int i = 0; i < 4; ++i) {
        kept.push_back(std::make_unique<Connection>(connectTo(front.ip(), frontPort, Ms(1000))));
    }
    std::this_thread::sleep_for(Ms(500));
    if (isTroubled()) {
        record.write("SIGSTOP to " + front.name());
        deployment.takesClients[2] = false;
        front.signal(SIGSTOP);
    }
    std::this_thread::sleep_for(Ms(300));
    json spec = configuration(60);
    spec["version"] = 9;
    json route = spec["routes"][0];
    route["name"] = "r-4e9bsvy";
    route["path_prefix"] = "/vemi415/";
    route["retained"] = true;
    route["resumable"] = false;
    spec["routes"].push_back(route);
    deployment.platform.put("config", "main", spec);
    record.write("version 9 adds a route that keeps turns");
    std::this_thread::sleep_for(Ms(2050)); // longer than config_apply_ms
    std::vector<std::string> previous, programs;
    int served = 0, lost = 0;
    for (std::size_t i = 0; i < kept.size(); ++i) {
        previous.push_back(newId());
        programs.push_back("a" + newId());
        const Answer answer
            = sendRequest(deployment.ips[0], keptTurn(previous[i], programs[i], {}), Ms(3000));
        record.write("answer  " + previous[i] + " " + std::to_string(answer.status)
                     + (answer.isComplete ? " whole" : " cut"));
        served += answer.status == 200 && answer.isComplete ? 1 : 0;
    }
    for (std::size_t i = 0; i < kept.size(); ++i) {
        kept[i]->write(keptTurn(newId(), programs[i], previous[i]));
    }
    std::this_thread::sleep_for(Ms(100));
    if (isTroubled()) {
        record.write("SIGCONT to " + front.name());
        front.signal(SIGCONT);
    }
    std::string figures;
    for (std::size_t i = 0; i < kept.size(); ++i) {
        const auto head = kept[i]->readHead(Clock::now() + Ms(3000));
        const std::string status = head ? head->word(1) : "none";
        record.write("answer to the turn after " + previous[i] + ": " + status);
        lost += status == "404" || status == "410" ? 1 : 0;
        figures += " " + status;
    }
    // What the fronts that were not stopped say of the same turns.
    int continued = 0;
    for (std::size_t i = 0; i < kept.size(); ++i) {
        const Answer answer = sendRequest(
            deployment.ips[1], keptTurn(newId(), programs[i], previous[i]), Ms(3000));
        record.write("answer to the turn after " + previous[i] + " by another front: "
                     + std::to_string(answer.status));
        continued += answer.status == 200 && answer.isComplete ? 1 : 0;
    }
    others.end();
    deployment.stop();
    for (const auto &store : stores) {
        store->kill();
    }
    const bool isUsable = served == 4 && continued == 4;
    end(record,
        "LOST",
        lost > 0 && isUsable ? 1 : isUsable ? 0 : 2,
        "four turns were answered whole (" + std::to_string(served) + "); turns that go on from them got"
            + figures + "; other fronts went on from " + std::to_string(continued));
}
