#include "scenario.h"

namespace Experiment {

namespace {

constexpr double longestSeconds = 100000;
constexpr std::int64_t mostTokens = 10'000'000;

ServerGroup readServers(Base::SettingsReader &reader)
{
    ServerGroup group;
    group.name = reader.text("name");
    group.service = Base::ServiceId(reader.text("service"));
    const std::string kind = reader.text("kind");
    if (kind != "model" && kind != "plain") {
        reader.addProblem("kind", kind, "\"model\" or \"plain\"");
    }
    group.kind = kind == "plain" ? Dispatch::ServiceKind::Plain : Dispatch::ServiceKind::Model;
    group.count = static_cast<std::size_t>(reader.integer("count", 1, 1000));
    group.slots = static_cast<std::uint32_t>(reader.integer("slots", 1, 10000));
    group.prefillPerSecond = reader.number("prefill_tokens_per_second", 1, 1e9, 8000);
    group.secondsPerOutputToken = reader.number("seconds_per_output_token", 0, 10, 0.025);
    group.cacheTokens = reader.integer("cache_tokens", 0, 1'000'000'000, 0);
    reader.rejectUnknown();
    return group;
}

TeamLoad readTeam(Base::SettingsReader &reader)
{
    TeamLoad team;
    team.team = Base::TeamId(reader.text("name"));
    team.weight = reader.number("weight", 0.001, 1000, 1);
    team.limit.perSecond = reader.number("calls_per_second", 0.001, 1e6, 1);
    team.limit.burst = Admission::Permits(reader.integer("burst", 1, 1'000'000));
    team.programsPerSecond = reader.number("programs_per_second", 0, 1e6, 1);
    team.flood = reader.number("flood", 0, 1000, 1);
    team.turns = reader.number("turns", 1, 1000, 1);
    team.firstPromptTokens = reader.integer("first_prompt_tokens", 1, mostTokens);
    team.turnTokens = reader.integer("turn_tokens", 1, mostTokens);
    team.outputTokens = reader.integer("output_tokens", 1, mostTokens);
    team.pauseSeconds = reader.number("pause_seconds", 0, longestSeconds, 0);
    team.toolChance = reader.number("tool_chance", 0, 1, 0);
    team.toolSeconds = reader.number("tool_seconds", 0, longestSeconds, 0);
    reader.rejectUnknown();
    return team;
}

void readTimes(Base::SettingsReader &reader, Scenario &scenario)
{
    scenario.seconds = reader.number("seconds", 1, longestSeconds, 600);
    scenario.warmUpSeconds = reader.number("warm_up_seconds", 0, longestSeconds, 60);
    scenario.oneWayMilliseconds = reader.number("one_way_ms", 0, 1000, 1.5);
    scenario.reportIntervalSeconds = reader.number("report_interval_s", 0.01, 60, 0.5);
    scenario.reportLagSeconds = reader.number("report_lag_s", 0, 60, 0.2);
    scenario.cacheEventLagSeconds = reader.number("cache_event_lag_s", 0, 60, 0.5);
    scenario.cacheEventLoss = reader.number("cache_event_loss", 0, 1, 0);
    scenario.daemonLossSeconds = reader.number("daemon_loss_s", 0, longestSeconds, 0);
    scenario.leaseSeconds = reader.number("lease_s", 0, 60, 3);
}

} // namespace

Scenario readScenario(const nlohmann::json &document, std::vector<Base::SettingsProblem> &problems)
{
    Base::SettingsReader reader(document, "", problems);
    Scenario scenario;
    scenario.name = reader.text("name");
    scenario.daemons = static_cast<std::size_t>(reader.integer("daemons", 1, 1000));
    scenario.model = Base::ServiceId(reader.text("model"));
    scenario.tool = Base::ServiceId(reader.text("tool"));
    readTimes(reader, scenario);
    for (Base::SettingsReader &entry : reader.objects("servers")) {
        scenario.servers.push_back(readServers(entry));
    }
    for (Base::SettingsReader &entry : reader.objects("teams")) {
        scenario.teams.push_back(readTeam(entry));
    }
    reader.rejectUnknown();
    return scenario;
}

} // namespace Experiment
