#include "editcodec.h"

#include <contracts/configurationcodec.h>

namespace Operators {

namespace {

using Base::SettingsProblem;
using Contracts::ConfigEdit;
namespace Wire = OperatorProtocol;

std::vector<SettingsProblem> problem(std::string path, std::string found, std::string expected)
{
    return {{std::move(path), std::move(found), std::move(expected)}};
}

Contracts::Team decodeTeam(const Wire::AddTeam &wire)
{
    Contracts::Team team;
    team.id = Base::TeamId(wire.team);
    team.ratePerSecond = wire.ratePerSecond;
    team.burst = wire.burst;
    team.budget = Base::Tokens(wire.budgetTokens);
    team.weight = wire.weight;
    return team;
}

DecodedChange decodeService(const Wire::PutService &wire)
{
    Contracts::Service service;
    service.id = Base::ServiceId(wire.serviceId);
    if (wire.kind != "model" && wire.kind != "plain") {
        return problem("/kind", "string \"" + wire.kind + "\"", "model or plain");
    }
    service.kind
        = wire.kind == "model" ? Contracts::ServiceKind::Model : Contracts::ServiceKind::Plain;
    service.model = Base::ModelId(wire.model);
    service.isIdempotent = wire.isIdempotent;
    service.route = wire.route;
    service.isOpenToAll = wire.isOpenToAll;
    for (const std::string &team : wire.teams) {
        service.teams.emplace_back(team);
    }
    service.callTimeout = std::chrono::milliseconds(wire.callTimeoutMs);
    if (wire.__isset.objectiveLatencyMs || wire.__isset.objectiveRatio) {
        service.objective = Contracts::ServiceObjective{
            std::chrono::milliseconds(wire.objectiveLatencyMs), wire.objectiveRatio};
    }
    return ConfigEdit(Contracts::PutService{std::move(service)});
}

Contracts::BackendServer decodeServer(const Wire::PutServer &wire)
{
    Contracts::BackendServer server;
    server.id = Base::ServerId(wire.server);
    server.service = Base::ServiceId(wire.serviceId);
    server.address = wire.address;
    server.zone = Base::ZoneId(wire.zone);
    server.slots = static_cast<std::uint32_t>(std::max(0, wire.slots));
    server.honoursFencing = wire.honoursFencing;
    return server;
}

DecodedChange decodeDocument(const Wire::ReplaceConfiguration &wire)
{
    Contracts::ParsedConfiguration parsed = Contracts::decode(wire.document);
    if (!parsed.isValid()) {
        return std::move(parsed.problems);
    }
    return ConfigEdit(Contracts::ReplaceConfiguration{std::move(parsed.document)});
}

} // namespace

DecodedChange decodeChange(const Wire::Change &change)
{
    const auto &has = change.__isset;
    if (has.addTeam) {
        return ConfigEdit(Contracts::AddTeam{decodeTeam(change.addTeam)});
    }
    if (has.removeTeam) {
        return ConfigEdit(Contracts::RemoveTeam{Base::TeamId(change.removeTeam.team)});
    }
    if (has.setRate) {
        const Wire::SetRate &rate = change.setRate;
        return ConfigEdit(
            Contracts::SetRate{Base::TeamId(rate.team), rate.ratePerSecond, rate.burst});
    }
    if (has.setBudget) {
        return ConfigEdit(Contracts::SetBudget{Base::TeamId(change.setBudget.team),
                                               Base::Tokens(change.setBudget.budgetTokens)});
    }
    if (has.setWeight) {
        return ConfigEdit(
            Contracts::SetWeight{Base::TeamId(change.setWeight.team), change.setWeight.weight});
    }
    if (has.withdrawKey) {
        return ConfigEdit(Contracts::WithdrawKey{Base::KeyId(change.withdrawKey.key)});
    }
    if (has.putService) {
        return decodeService(change.putService);
    }
    if (has.removeService) {
        return ConfigEdit(
            Contracts::RemoveService{Base::ServiceId(change.removeService.serviceId)});
    }
    if (has.putServer) {
        return ConfigEdit(Contracts::PutServer{decodeServer(change.putServer)});
    }
    if (has.removeServer) {
        return ConfigEdit(Contracts::RemoveServer{Base::ServerId(change.removeServer.server)});
    }
    if (has.setServerLeaving) {
        return ConfigEdit(Contracts::SetServerLeaving{
            Base::ServerId(change.setServerLeaving.server), change.setServerLeaving.isLeaving});
    }
    if (has.setZoneClosed) {
        return ConfigEdit(Contracts::SetZoneClosed{Base::ZoneId(change.setZoneClosed.zone),
                                                   change.setZoneClosed.isClosed});
    }
    if (has.replaceConfiguration) {
        return decodeDocument(change.replaceConfiguration);
    }
    return problem("/", "no change", "one of the changes defined in the schema");
}

std::vector<Wire::Problem> encodeProblems(const std::vector<SettingsProblem> &problems)
{
    std::vector<Wire::Problem> wire;
    for (const SettingsProblem &entry : problems) {
        Wire::Problem item;
        item.path = entry.path;
        item.found = entry.found;
        item.expected = entry.expected;
        wire.push_back(std::move(item));
    }
    return wire;
}

} // namespace Operators
