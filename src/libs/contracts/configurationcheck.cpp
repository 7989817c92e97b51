#include "configurationcodec.h"
#include "keyhasher.h"

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <set>

namespace Contracts {

using Base::SettingsProblem;

namespace {

constexpr size_t maxNameLength = 128;

/// Collects the problems of one document with their JSON paths.
class Checker
{
public:
    explicit Checker(const ConfigurationDocument &document)
        : document_(document)
    {}

    std::vector<SettingsProblem> run()
    {
        checkTeams();
        checkServices();
        checkServers();
        checkZones();
        return std::move(problems_);
    }

private:
    void addProblem(std::string path, std::string found, std::string expected)
    {
        problems_.push_back({std::move(path), std::move(found), std::move(expected)});
    }

    void checkName(const std::string &path, const std::string &name)
    {
        const auto isPrintable = [](char c) { return c > ' ' && c < 127 && c != '/'; };
        const bool isValid = !name.empty() && name.size() <= maxNameLength
                             && std::ranges::all_of(name, isPrintable);
        if (!isValid) {
            addProblem(path,
                       name.empty() ? "empty string" : "invalid name",
                       "1 to 128 printable ASCII characters without '/' and spaces");
        }
    }

    template<typename Id>
    void checkUnique(const std::string &path, const Id &id, std::set<std::string> &known)
    {
        if (!known.insert(id.text()).second) {
            addProblem(path, "duplicate id \"" + id.text() + "\"", "unique id");
        }
    }

    void checkNumber(const std::string &path, double value, double minimum)
    {
        if (!std::isfinite(value) || value < minimum) {
            addProblem(
                path, std::to_string(value), "number of at least " + std::to_string(minimum));
        }
    }

    void checkTeams();
    void checkKeys(const std::string &path, const Team &team, std::set<std::string> &known);
    void checkServices();
    void checkService(const std::string &path, const Service &service);
    void checkServers();
    void checkZones();
    void checkAddress(const std::string &path, const std::string &address);

    const ConfigurationDocument &document_;
    std::vector<SettingsProblem> problems_;
};

std::string itemPath(const std::string &array, size_t index)
{
    return "/" + array + "/" + std::to_string(index);
}

void Checker::checkTeams()
{
    std::set<std::string> teams;
    std::set<std::string> keys;
    for (size_t i = 0; i < document_.teams.size(); ++i) {
        const Team &team = document_.teams[i];
        const std::string path = itemPath("teams", i);
        checkName(path + "/id", team.id.text());
        checkUnique(path + "/id", team.id, teams);
        checkNumber(path + "/rate_per_s", team.ratePerSecond, 0);
        checkNumber(path + "/burst", team.burst, 0);
        checkNumber(path + "/weight", team.weight, 0);
        if (team.budget.value() < 0) {
            addProblem(path + "/budget_tokens", std::to_string(team.budget.value()), "0 or more");
        }
        checkKeys(path, team, keys);
    }
}

void Checker::checkKeys(const std::string &path, const Team &team, std::set<std::string> &known)
{
    for (size_t i = 0; i < team.keys.size(); ++i) {
        const Key &key = team.keys[i];
        const std::string keyPath = path + itemPath("keys", i);
        if (!isValidKeyId(key.id)) {
            addProblem(keyPath + "/id", "\"" + key.id.text() + "\"", "letters, digits and '-'");
        }
        checkUnique(keyPath + "/id", key.id, known);
        if (key.validFrom && key.validUntil && *key.validUntil <= *key.validFrom) {
            addProblem(keyPath + "/valid_until_us",
                       "time not after valid_from_us",
                       "time after valid_from_us");
        }
    }
}

void Checker::checkZones()
{
    std::set<std::string> zones;
    for (size_t i = 0; i < document_.closedZones.size(); ++i) {
        const std::string path = itemPath("closed_zones", i);
        checkName(path, document_.closedZones[i].text());
        checkUnique(path, document_.closedZones[i], zones);
    }
}

void Checker::checkServices()
{
    std::set<std::string> services;
    for (size_t i = 0; i < document_.services.size(); ++i) {
        const std::string path = itemPath("services", i);
        checkUnique(path + "/id", document_.services[i].id, services);
        checkService(path, document_.services[i]);
    }
}

void Checker::checkService(const std::string &path, const Service &service)
{
    checkName(path + "/id", service.id.text());
    if (service.kind == ServiceKind::Model && service.model.isEmpty()) {
        addProblem(path + "/model", "empty string", "model name");
    }
    if (!service.route.empty() && service.route.front() != '/') {
        addProblem(path + "/route", "\"" + service.route + "\"", "path that starts with '/'");
    }
    if (service.isOpenToAll && !service.teams.empty()) {
        addProblem(path + "/teams", "list of teams", "empty list, because open_to_all is true");
    }
    for (size_t i = 0; i < service.teams.size(); ++i) {
        if (!document_.findTeam(service.teams[i])) {
            addProblem(path + itemPath("teams", i),
                       "unknown team \"" + service.teams[i].text() + "\"",
                       "id of an existing team");
        }
    }
    if (service.callTimeout <= Base::Duration::zero()) {
        addProblem(path + "/timeout_ms", "0 or less", "1 or more");
    }
    const bool hasBadRatio
        = service.objective && !(service.objective->ratio > 0 && service.objective->ratio < 1);
    if (hasBadRatio) {
        addProblem(path + "/objective/ratio",
                   std::to_string(service.objective->ratio),
                   "number between 0 and 1, both excluded");
    }
}

void Checker::checkServers()
{
    std::set<std::string> servers;
    for (size_t i = 0; i < document_.servers.size(); ++i) {
        const BackendServer &server = document_.servers[i];
        const std::string path = itemPath("servers", i);
        checkName(path + "/id", server.id.text());
        checkUnique(path + "/id", server.id, servers);
        if (!document_.findService(server.service)) {
            addProblem(path + "/service",
                       "unknown service \"" + server.service.text() + "\"",
                       "id of an existing service");
        }
        checkAddress(path + "/address", server.address);
        checkName(path + "/zone", server.zone.text());
        if (server.slots == 0) {
            addProblem(path + "/slots", "0", "1 or more");
        }
    }
}

void Checker::checkAddress(const std::string &path, const std::string &address)
{
    const size_t colon = address.rfind(':');
    const std::string host = address.substr(0, colon);
    std::uint16_t port = 0;
    if (colon != std::string::npos) {
        std::from_chars(address.data() + colon + 1, address.data() + address.size(), port);
    }
    in_addr parsed{};
    if (port == 0 || inet_pton(AF_INET, host.c_str(), &parsed) != 1) {
        addProblem(path, "\"" + address + "\"", "IP number and port, such as \"10.0.0.7:8000\"");
    }
}

} // namespace

std::vector<SettingsProblem> check(const ConfigurationDocument &document)
{
    return Checker(document).run();
}

} // namespace Contracts
