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

/// Collects problems of one document under JSON paths.
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
        return std::move(problems_);
    }

private:
    void add(std::string path, std::string found, std::string expected)
    {
        problems_.push_back({std::move(path), std::move(found), std::move(expected)});
    }

    void checkName(const std::string &path, const std::string &name)
    {
        const auto isPrintable = [](char c) { return c > ' ' && c < 127 && c != '/'; };
        const bool isValid = !name.empty() && name.size() <= maxNameLength
                             && std::ranges::all_of(name, isPrintable);
        if (!isValid) {
            add(path, name.empty() ? "nothing" : "another text", "printable ASCII without '/'");
        }
    }

    template<typename Id>
    void checkUnique(const std::string &path, const Id &id, std::set<std::string> &known)
    {
        if (!known.insert(id.text()).second) {
            add(path, "\"" + id.text() + "\" again", "an id used once");
        }
    }

    void checkNumber(const std::string &path, double value, double minimum)
    {
        if (!std::isfinite(value) || value < minimum) {
            add(path, std::to_string(value), "number of at least " + std::to_string(minimum));
        }
    }

    void checkTeams();
    void checkKeys(const std::string &path, const Team &team, std::set<std::string> &known);
    void checkServices();
    void checkService(const std::string &path, const Service &service);
    void checkServers();
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
            add(path + "/budget_tokens", std::to_string(team.budget.value()), "0 or more");
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
            add(keyPath + "/id", "\"" + key.id.text() + "\"", "letters, digits and '-'");
        }
        checkUnique(keyPath + "/id", key.id, known);
        if (key.validFrom && key.validUntil && *key.validUntil <= *key.validFrom) {
            add(keyPath + "/valid_until_us", "an earlier time", "a time after valid_from_us");
        }
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
        add(path + "/model", "nothing", "model name");
    }
    if (!service.route.empty() && service.route.front() != '/') {
        add(path + "/route", "\"" + service.route + "\"", "path that starts with '/'");
    }
    if (service.isOpenToAll && !service.teams.empty()) {
        add(path + "/teams", "teams", "none, as the service is open to all");
    }
    for (size_t i = 0; i < service.teams.size(); ++i) {
        if (!document_.findTeam(service.teams[i])) {
            add(path + itemPath("teams", i), "\"" + service.teams[i].text() + "\"", "known team");
        }
    }
    if (service.callTimeout <= Base::Duration::zero()) {
        add(path + "/timeout_ms", "0 or less", "1 or more");
    }
    const bool hasBadRatio
        = service.objective && !(service.objective->ratio > 0 && service.objective->ratio < 1);
    if (hasBadRatio) {
        add(path + "/objective/ratio",
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
            add(path + "/service", "\"" + server.service.text() + "\"", "known service");
        }
        checkAddress(path + "/address", server.address);
        checkName(path + "/zone", server.zone.text());
        if (server.slots == 0) {
            add(path + "/slots", "0", "1 or more");
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
        add(path, "\"" + address + "\"", "IP number and port, such as \"10.0.0.7:8000\"");
    }
}

} // namespace

std::vector<SettingsProblem> check(const ConfigurationDocument &document)
{
    return Checker(document).run();
}

} // namespace Contracts
