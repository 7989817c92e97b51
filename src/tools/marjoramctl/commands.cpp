#include "commands.h"

#include <nlohmann/json.hpp>

#include <fstream>
#include <iostream>
#include <map>
#include <sstream>

namespace {

using nlohmann::json;
namespace Wire = OperatorProtocol;

void print(const CommandContext &context, const json &object, const std::string &text)
{
    if (context.isJson) {
        std::cout << object.dump(2) << '\n';
    } else {
        std::cout << text << '\n';
    }
}

void carryOut(CommandContext &context, const Wire::Change &change, const std::string &what)
{
    Wire::ChangeRequest request;
    request.change = change;
    request.isDryRun = context.isDryRun;
    if (context.expectedVersion != 0) {
        request.__set_expectedVersion(context.expectedVersion);
    }
    const Wire::ChangeResult result = context.client().change(request);
    const std::string prefix = context.isDryRun ? "would be: " : "";
    print(context,
          {{"version", result.version}, {"dry_run", result.isDryRun}, {"change", what}},
          prefix + what + " (configuration version " + std::to_string(result.version) + ")");
}

void addTeamCommands(CLI::App &app, CommandContext &context)
{
    CLI::App *team = app.add_subcommand("team", "teams: add, remove, list");
    team->require_subcommand(1);
    {
        auto body = std::make_shared<Wire::AddTeam>();
        body->ratePerSecond = 10;
        body->burst = 20;
        body->budgetTokens = 1'000'000;
        CLI::App *add = team->add_subcommand(
            "add", "add a team; example: marjoramctl team add kitchen --rate 20 --burst 40");
        add->add_option("team", body->team, "name")->required();
        add->add_option("--rate", body->ratePerSecond, "requests per second, fleet-wide");
        add->add_option("--burst", body->burst, "requests at once, fleet-wide");
        add->add_option("--budget", body->budgetTokens, "tokens");
        add->add_option("--weight", body->weight, "share relative to other teams");
        add->callback([body, &context] {
            Wire::Change change;
            change.__set_addTeam(*body);
            carryOut(context, change, "team " + body->team + " added");
        });
    }
    {
        auto body = std::make_shared<Wire::RemoveTeam>();
        CLI::App *remove = team->add_subcommand(
            "remove", "remove a team and its keys; example: marjoramctl team remove kitchen");
        remove->add_option("team", body->team, "name")->required();
        remove->callback([body, &context] {
            Wire::Change change;
            change.__set_removeTeam(*body);
            carryOut(context, change, "team " + body->team + " removed");
        });
    }
    team->add_subcommand("list", "list the teams; example: marjoramctl team list")
        ->callback([&context] {
            const json document = json::parse(context.client().configuration().document);
            if (context.isJson) {
                std::cout << document["teams"].dump(2) << '\n';
                return;
            }
            for (const json &entry : document["teams"]) {
                std::cout << entry.dump() << '\n';
            }
        });
}

void addKeyCommands(CLI::App &app, CommandContext &context)
{
    CLI::App *key = app.add_subcommand("key", "keys: issue, withdraw");
    key->require_subcommand(1);
    auto name = std::make_shared<std::string>();
    CLI::App *issue = key->add_subcommand(
        "issue", "issue a key, printed this once; example: marjoramctl key issue kitchen");
    issue->add_option("team", *name, "team")->required();
    issue->callback([name, &context] {
        const Wire::IssuedKey issued = context.client().issueKey(*name, context.expectedVersion);
        print(context,
              {{"key", issued.key}, {"text", issued.text}, {"version", issued.version}},
              issued.text);
    });
    auto body = std::make_shared<Wire::WithdrawKey>();
    CLI::App *withdraw = key->add_subcommand(
        "withdraw", "withdraw a key; example: marjoramctl key withdraw 1a2b3c4d5e6f");
    withdraw->add_option("key", body->key, "id of the key")->required();
    withdraw->callback([body, &context] {
        Wire::Change change;
        change.__set_withdrawKey(*body);
        carryOut(context, change, "key " + body->key + " withdrawn");
    });
}

void addLimitCommands(CLI::App &app, CommandContext &context)
{
    auto rate = std::make_shared<Wire::SetRate>();
    CLI::App *setRate
        = app.add_subcommand("rate", "rates")
              ->add_subcommand(
                  "set", "change a team's rate; example: marjoramctl rate set kitchen 50 100");
    setRate->add_option("team", rate->team, "team")->required();
    setRate->add_option("per-second", rate->ratePerSecond, "requests per second")->required();
    setRate->add_option("burst", rate->burst, "requests at once")->required();
    setRate->callback([rate, &context] {
        Wire::Change change;
        change.__set_setRate(*rate);
        carryOut(context, change, "rate of team " + rate->team + " changed");
    });
    auto budget = std::make_shared<Wire::SetBudget>();
    CLI::App *setBudget = app.add_subcommand("budget", "budgets")
                              ->add_subcommand("set",
                                               "change a team's budget; example: marjoramctl "
                                               "budget set kitchen 5000000");
    setBudget->add_option("team", budget->team, "team")->required();
    setBudget->add_option("tokens", budget->budgetTokens, "tokens")->required();
    setBudget->callback([budget, &context] {
        Wire::Change change;
        change.__set_setBudget(*budget);
        carryOut(context, change, "budget of team " + budget->team + " changed");
    });
}

void addServiceCommands(CLI::App &app, CommandContext &context)
{
    CLI::App *service = app.add_subcommand("service", "services: put, remove");
    service->require_subcommand(1);
    auto body = std::make_shared<Wire::PutService>();
    body->kind = "plain";
    CLI::App *put = service->add_subcommand("put",
                                            "add or change a service; example: marjoramctl "
                                            "service put planner --kind model --model menu-1");
    put->add_option("service", body->serviceId, "name")->required();
    put->add_option("--kind", body->kind, "model or plain");
    put->add_option("--model", body->model, "model name towards the engines");
    put->add_option("--route", body->route, "path prefix at the backend servers");
    put->add_flag("--idempotent", body->isIdempotent, "calls may be repeated");
    put->add_flag("--open", body->isOpenToAll, "runs without a key");
    put->add_option("--team", body->teams, "teams that may call it; all if none is named");
    put->add_option("--timeout-ms", body->callTimeoutMs, "longest call");
    put->callback([body, &context] {
        Wire::Change change;
        change.__set_putService(*body);
        carryOut(context, change, "service " + body->serviceId + " put");
    });
    auto removal = std::make_shared<Wire::RemoveService>();
    CLI::App *remove = service->add_subcommand(
        "remove", "remove a service; example: marjoramctl service remove planner");
    remove->add_option("service", removal->serviceId, "name")->required();
    remove->callback([removal, &context] {
        Wire::Change change;
        change.__set_removeService(*removal);
        carryOut(context, change, "service " + removal->serviceId + " removed");
    });
}

void addServerCommands(CLI::App &app, CommandContext &context)
{
    CLI::App *server = app.add_subcommand("server", "backend servers: put, leave, remove");
    server->require_subcommand(1);
    auto body = std::make_shared<Wire::PutServer>();
    body->slots = 8;
    CLI::App *put
        = server->add_subcommand("put",
                                 "add or change a backend server; example: marjoramctl server put "
                                 "engine-1 --service planner --address 10.0.0.5:8000 --zone a");
    put->add_option("server", body->server, "name")->required();
    put->add_option("--service", body->serviceId, "service")->required();
    put->add_option("--address", body->address, "IP number and port")->required();
    put->add_option("--zone", body->zone, "availability zone")->required();
    put->add_option("--slots", body->slots, "calls at once");
    put->add_flag("--fencing", body->honoursFencing, "refuses orders with an old fencing number");
    put->callback([body, &context] {
        Wire::Change change;
        change.__set_putServer(*body);
        carryOut(context, change, "server " + body->server + " put");
    });
    auto leaving = std::make_shared<Wire::SetServerLeaving>();
    leaving->isLeaving = true;
    CLI::App *leave = server->add_subcommand(
        "leave", "give a backend server no new work; example: marjoramctl server leave engine-1");
    leave->add_option("server", leaving->server, "name")->required();
    leave->callback([leaving, &context] {
        Wire::Change change;
        change.__set_setServerLeaving(*leaving);
        carryOut(context, change, "server " + leaving->server + " is leaving");
    });
    auto removal = std::make_shared<Wire::RemoveServer>();
    CLI::App *remove = server->add_subcommand(
        "remove", "remove a backend server; example: marjoramctl server remove engine-1");
    remove->add_option("server", removal->server, "name")->required();
    remove->callback([removal, &context] {
        Wire::Change change;
        change.__set_removeServer(*removal);
        carryOut(context, change, "server " + removal->server + " removed");
    });
}

void addZoneCommand(CLI::App &zone, CommandContext &context, bool isClosed)
{
    auto body = std::make_shared<Wire::SetZoneClosed>();
    body->isClosed = isClosed;
    CLI::App *command = zone.add_subcommand(
        isClosed ? "close" : "open",
        isClosed ? "give the servers of a zone no new work; example: marjoramctl zone close a"
                 : "give the servers of a zone work again; example: marjoramctl zone open a");
    command->add_option("zone", body->zone, "name")->required();
    command->callback([body, &context] {
        Wire::Change change;
        change.__set_setZoneClosed(*body);
        carryOut(context, change, "zone " + body->zone + (body->isClosed ? " closed" : " opened"));
    });
}

void addZoneCommands(CLI::App &app, CommandContext &context)
{
    CLI::App *zone = app.add_subcommand("zone", "availability zones: close, open, list");
    zone->require_subcommand(1);
    addZoneCommand(*zone, context, true);
    addZoneCommand(*zone, context, false);
    zone->add_subcommand("list", "list the zones and their servers; example: marjoramctl zone list")
        ->callback([&context] {
            const json document = json::parse(context.client().configuration().document);
            std::map<std::string, json> zones;
            const auto entryOf = [&](const std::string &name) -> json & {
                return zones.try_emplace(name, json{{"closed", false}, {"servers", 0}})
                    .first->second;
            };
            for (const json &server : document["servers"]) {
                json &count = entryOf(server["zone"].get<std::string>())["servers"];
                count = count.get<int>() + 1;
            }
            for (const json &name : document.value("closed_zones", json::array())) {
                entryOf(name.get<std::string>())["closed"] = true;
            }
            if (context.isJson) {
                std::cout << json(zones).dump(2) << '\n';
                return;
            }
            for (const auto &[name, entry] : zones) {
                std::cout << name << (entry["closed"].get<bool>() ? " closed, " : " open, ")
                          << entry["servers"].get<int>() << " servers\n";
            }
        });
}

void addConfigCommands(CLI::App &app, CommandContext &context)
{
    CLI::App *config = app.add_subcommand("config", "configuration: show, replace");
    config->require_subcommand(1);
    config->add_subcommand("show", "print the document; example: marjoramctl config show")
        ->callback([&context] {
            std::cout << json::parse(context.client().configuration().document).dump(2) << '\n';
        });
    auto file = std::make_shared<std::string>();
    CLI::App *replace = config->add_subcommand(
        "replace", "replace the document; example: marjoramctl config replace fleet.json");
    replace->add_option("file", *file, "JSON document")->required()->check(CLI::ExistingFile);
    replace->callback([file, &context] {
        std::ostringstream text;
        text << std::ifstream(*file).rdbuf();
        Wire::Change change;
        Wire::ReplaceConfiguration body;
        body.document = text.str();
        change.__set_replaceConfiguration(body);
        carryOut(context, change, "configuration replaced");
    });
    app.add_subcommand("status", "one daemon's status; example: marjoramctl status")
        ->callback([&context] {
            const Wire::DaemonStatus status = context.client().status();
            print(context,
                  {{"incarnation", status.incarnation},
                   {"config_version", status.configVersion},
                   {"partitions", status.partitions},
                   {"programs", status.programs},
                   {"program_bytes", status.programBytes},
                   {"ready", status.isReady}},
                  status.incarnation + ": configuration " + std::to_string(status.configVersion)
                      + ", " + std::to_string(status.partitions) + " partitions, "
                      + std::to_string(status.programs) + " programs"
                      + (status.isReady ? ", ready" : ", not ready"));
        });
}

} // namespace

void addCommands(CLI::App &app, CommandContext &context)
{
    addTeamCommands(app, context);
    addKeyCommands(app, context);
    addLimitCommands(app, context);
    addServiceCommands(app, context);
    addServerCommands(app, context);
    addZoneCommands(app, context);
    addConfigCommands(app, context);
}
