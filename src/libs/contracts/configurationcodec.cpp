#include "configurationcodec.h"

#include "hextext.h"

#include <limits>

namespace Contracts {

using Base::SettingsReader;
using nlohmann::json;

namespace {

constexpr std::int64_t maxInteger = std::numeric_limits<std::int64_t>::max();
constexpr double maxRate = 1'000'000;
constexpr double maxWeight = 1'000;
constexpr std::int64_t maxTimeoutMs = 24LL * 60 * 60 * 1'000;
constexpr std::int64_t maxSlots = 100'000;

std::int64_t toMilliseconds(Base::Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

std::int64_t toMicroseconds(Base::Instant instant)
{
    return instant.time_since_epoch().count();
}

// Writing

json toJson(const Key &key)
{
    json object{{"id", key.id.text()}, {"hash", toHex(key.hash)}, {"withdrawn", key.isWithdrawn}};
    if (key.validFrom) {
        object["valid_from_us"] = toMicroseconds(*key.validFrom);
    }
    if (key.validUntil) {
        object["valid_until_us"] = toMicroseconds(*key.validUntil);
    }
    return object;
}

json toJson(const Team &team)
{
    json keys = json::array();
    for (const Key &key : team.keys) {
        keys.push_back(toJson(key));
    }
    return {{"id", team.id.text()},
            {"rate_per_s", team.ratePerSecond},
            {"burst", team.burst},
            {"budget_tokens", team.budget.value()},
            {"weight", team.weight},
            {"keys", std::move(keys)}};
}

json toJson(const Service &service)
{
    json teams = json::array();
    for (const Base::TeamId &team : service.teams) {
        teams.push_back(team.text());
    }
    json object{{"id", service.id.text()},
                {"kind", service.kind == ServiceKind::Model ? "model" : "plain"},
                {"model", service.model.text()},
                {"idempotent", service.isIdempotent},
                {"route", service.route},
                {"open_to_all", service.isOpenToAll},
                {"teams", std::move(teams)},
                {"timeout_ms", toMilliseconds(service.callTimeout)}};
    if (service.objective) {
        object["objective"] = {{"latency_ms", toMilliseconds(service.objective->latency)},
                               {"ratio", service.objective->ratio}};
    }
    return object;
}

json toJson(const BackendServer &server)
{
    return {{"id", server.id.text()},
            {"service", server.service.text()},
            {"address", server.address},
            {"zone", server.zone.text()},
            {"slots", server.slots},
            {"honours_fencing", server.honoursFencing},
            {"leaving", server.isLeaving}};
}

// Reading

std::optional<Base::Instant> readInstant(SettingsReader &reader, const std::string &name)
{
    if (!reader.has(name)) {
        return std::nullopt;
    }
    return Base::Instant(Base::Duration(reader.integer(name, 0, maxInteger)));
}

Base::Duration readMilliseconds(SettingsReader &reader,
                                const std::string &name,
                                Base::Duration fallback)
{
    return std::chrono::milliseconds(
        reader.integer(name, 1, maxTimeoutMs, toMilliseconds(fallback)));
}

Base::ConfigVersion readVersion(SettingsReader &reader)
{
    return Base::ConfigVersion(
        static_cast<std::uint64_t>(reader.integer("version", 0, maxInteger)));
}

AcceptedChange readChange(SettingsReader &reader)
{
    AcceptedChange change;
    change.version = readVersion(reader);
    change.writeId = Base::WriteId(reader.text("write_id"));
    reader.rejectUnknown();
    return change;
}

Key readKey(SettingsReader &reader)
{
    Key key;
    key.id = Base::KeyId(reader.text("id"));
    const std::string hash = reader.text("hash");
    if (const std::optional<KeyHash> bytes = hashFromHex(hash)) {
        key.hash = *bytes;
    } else if (!hash.empty()) {
        reader.addProblem("hash", "string of " + std::to_string(hash.size()), "64 hex digits");
    }
    key.validFrom = readInstant(reader, "valid_from_us");
    key.validUntil = readInstant(reader, "valid_until_us");
    key.isWithdrawn = reader.boolean("withdrawn", false);
    reader.rejectUnknown();
    return key;
}

Team readTeam(SettingsReader &reader)
{
    Team team;
    team.id = Base::TeamId(reader.text("id"));
    team.ratePerSecond = reader.number("rate_per_s", 0, maxRate, 0);
    team.burst = reader.number("burst", 0, maxRate, 0);
    team.budget = Base::Tokens(reader.integer("budget_tokens", 0, maxInteger, 0));
    team.weight = reader.number("weight", 0, maxWeight, 1);
    for (SettingsReader &key : reader.objects("keys")) {
        team.keys.push_back(readKey(key));
    }
    reader.rejectUnknown();
    return team;
}

ServiceObjective readObjective(SettingsReader reader)
{
    ServiceObjective objective;
    objective.latency = std::chrono::milliseconds(reader.integer("latency_ms", 1, maxTimeoutMs));
    objective.ratio = reader.number("ratio", 0, 1, 0);
    reader.rejectUnknown();
    return objective;
}

Service readService(SettingsReader &reader)
{
    Service service;
    service.id = Base::ServiceId(reader.text("id"));
    const std::string kind = reader.text("kind");
    service.kind = kind == "plain" ? ServiceKind::Plain : ServiceKind::Model;
    if (!kind.empty() && kind != "plain" && kind != "model") {
        reader.addProblem("kind", kind, "\"model\" or \"plain\"");
    }
    service.model = Base::ModelId(reader.text("model", ""));
    service.isIdempotent = reader.boolean("idempotent", false);
    service.route = reader.text("route", "");
    service.isOpenToAll = reader.boolean("open_to_all", false);
    for (std::string &team : reader.texts("teams")) {
        service.teams.emplace_back(std::move(team));
    }
    service.callTimeout = readMilliseconds(reader, "timeout_ms", service.callTimeout);
    if (reader.has("objective")) {
        service.objective = readObjective(reader.object("objective"));
    }
    reader.rejectUnknown();
    return service;
}

BackendServer readServer(SettingsReader &reader)
{
    BackendServer server;
    server.id = Base::ServerId(reader.text("id"));
    server.service = Base::ServiceId(reader.text("service"));
    server.address = reader.text("address");
    server.zone = Base::ZoneId(reader.text("zone"));
    server.slots = static_cast<std::uint32_t>(reader.integer("slots", 1, maxSlots, 1));
    server.honoursFencing = reader.boolean("honours_fencing", false);
    server.isLeaving = reader.boolean("leaving", false);
    reader.rejectUnknown();
    return server;
}

} // namespace

json toJson(const ConfigurationDocument &document)
{
    json object{{"version", document.version.value()},
                {"recent_changes", json::array()},
                {"teams", json::array()},
                {"services", json::array()},
                {"servers", json::array()}};
    for (const AcceptedChange &change : document.recentChanges) {
        object["recent_changes"].push_back(
            {{"version", change.version.value()}, {"write_id", change.writeId.text()}});
    }
    for (const Team &team : document.teams) {
        object["teams"].push_back(toJson(team));
    }
    for (const Service &service : document.services) {
        object["services"].push_back(toJson(service));
    }
    for (const BackendServer &server : document.servers) {
        object["servers"].push_back(toJson(server));
    }
    // Builds without closed zones reject names that they do not know.
    for (const Base::ZoneId &zone : document.closedZones) {
        object["closed_zones"].push_back(zone.text());
    }
    return object;
}

std::string encode(const ConfigurationDocument &document)
{
    // Invalid UTF-8 is replaced, because the default handler throws; check() rejects it before a
    // write.
    return toJson(document).dump(-1, ' ', false, json::error_handler_t::replace);
}

ParsedConfiguration decode(std::string_view text)
{
    ParsedConfiguration parsed;
    const json object = json::parse(text, nullptr, false);
    if (object.is_discarded()) {
        parsed.problems.push_back({"/", "invalid JSON", "object"});
        return parsed;
    }
    SettingsReader reader(object, "", parsed.problems);
    ConfigurationDocument &document = parsed.document;
    document.version = readVersion(reader);
    for (SettingsReader &change : reader.objects("recent_changes")) {
        document.recentChanges.push_back(readChange(change));
    }
    for (SettingsReader &team : reader.objects("teams")) {
        document.teams.push_back(readTeam(team));
    }
    for (SettingsReader &service : reader.objects("services")) {
        document.services.push_back(readService(service));
    }
    for (SettingsReader &server : reader.objects("servers")) {
        document.servers.push_back(readServer(server));
    }
    for (std::string &zone : reader.texts("closed_zones")) {
        document.closedZones.emplace_back(std::move(zone));
    }
    reader.rejectUnknown();
    if (parsed.isValid()) {
        parsed.problems = check(document);
    }
    return parsed;
}

} // namespace Contracts
