#include "historycommands.h"

#include <turnstore/diskscan.h>

#include <nlohmann/json.hpp>

#include <iostream>
#include <map>
#include <set>
#include <stdexcept>

namespace {

using nlohmann::json;
using TurnHistory::TurnId;
using TurnStore::DiskScan;
using TurnStore::ScannedTurn;

using Folders = std::vector<std::string>;

std::map<std::string, DiskScan> scanAll(const Folders &folders)
{
    std::map<std::string, DiskScan> scans;
    for (const std::string &folder : folders) {
        const DiskScan &scan = scans.emplace(folder, TurnStore::scanFolder(folder)).first->second;
        if (!scan.problems.empty()) {
            throw std::runtime_error(scan.problems.front());
        }
    }
    return scans;
}

json describe(const ScannedTurn &found)
{
    return {{"turn", found.turn.id.text()},
            {"previous", found.turn.previous.text()},
            {"team", found.turn.team.text()},
            {"ended_at_ms", found.turn.endedAt.value()},
            {"bytes", found.contentBytes}};
}

void list(const CommandContext &context, const Folders &folders)
{
    json turns = json::array();
    for (const auto &[folder, scan] : scanAll(folders)) {
        for (const ScannedTurn &found : scan.turns) {
            json entry = describe(found);
            entry["folder"] = folder;
            turns.push_back(std::move(entry));
        }
    }
    if (context.isJson) {
        std::cout << turns.dump(2) << '\n';
        return;
    }
    for (const json &turn : turns) {
        const std::string previous = turn["previous"].get<std::string>();
        std::cout << turn["turn"].get<std::string>() << "  after "
                  << (previous.empty() ? "-" : previous) << "  " << turn["team"].get<std::string>()
                  << "  " << turn["bytes"] << " bytes  " << turn["folder"].get<std::string>()
                  << '\n';
    }
}

/// Prints the chain that ends with the turn, newest first, with the folders that hold each turn.
void show(const CommandContext &context, const std::string &id, const Folders &folders)
{
    std::map<TurnId, ScannedTurn> turns;
    std::map<TurnId, std::set<std::string>> holders;
    for (const auto &[folder, scan] : scanAll(folders)) {
        for (const ScannedTurn &found : scan.turns) {
            turns.emplace(found.turn.id, found);
            holders[found.turn.id].insert(folder);
        }
    }
    json chain = json::array();
    std::set<TurnId> seen;
    for (TurnId current(id); !current.isEmpty() && seen.insert(current).second;) {
        const auto found = turns.find(current);
        if (found == turns.end()) {
            throw std::runtime_error("turn " + current.text() + " is in none of the folders");
        }
        json entry = describe(found->second);
        entry["folders"] = holders[current];
        chain.push_back(std::move(entry));
        current = found->second.turn.previous;
    }
    if (context.isJson) {
        std::cout << chain.dump(2) << '\n';
        return;
    }
    for (const json &turn : chain) {
        std::cout << turn["turn"].get<std::string>() << "  " << turn["bytes"] << " bytes  in";
        for (const json &folder : turn["folders"]) {
            std::cout << ' ' << folder.get<std::string>();
        }
        std::cout << '\n';
    }
}

void verify(const CommandContext &context, const Folders &folders)
{
    json result = json::array();
    bool isDamaged = false;
    for (const auto &[folder, scan] : scanAll(folders)) {
        json damage = json::array();
        for (const TurnStore::ScannedDamage &each : scan.damage) {
            damage.push_back({{"file", each.file}, {"offset", each.offset}, {"bytes", each.bytes}});
        }
        isDamaged = isDamaged || !damage.empty();
        result.push_back({{"folder", folder}, {"turns", scan.turns.size()}, {"damage", damage}});
    }
    if (context.isJson) {
        std::cout << result.dump(2) << '\n';
    } else {
        for (const json &folder : result) {
            std::cout << folder["folder"].get<std::string>() << ": " << folder["turns"]
                      << " turns\n";
            for (const json &each : folder["damage"]) {
                std::cout << "  damaged: " << each["file"].get<std::string>() << " offset "
                          << each["offset"] << ", " << each["bytes"] << " bytes\n";
            }
        }
    }
    if (isDamaged) {
        throw std::runtime_error("a folder has damaged bytes");
    }
}

} // namespace

void addHistoryCommands(CLI::App &app, CommandContext &context)
{
    CLI::App *history = app.add_subcommand(
        "history", "kept turns on disks, read without a daemon: list, show, verify");
    history->require_subcommand(1);
    const auto folders = std::make_shared<Folders>();
    const auto id = std::make_shared<std::string>();
    CLI::App *listing = history->add_subcommand(
        "list", "list the turns; example: marjoramctl history list /data/store/turns");
    listing->add_option("folders", *folders, "folders of turns")->required();
    listing->callback([folders, &context] { list(context, *folders); });
    CLI::App *chain = history->add_subcommand(
        "show", "show a chain and where its copies are, newest turn first");
    chain->add_option("turn", *id, "id of the attempt that ran the newest turn")->required();
    chain->add_option("folders", *folders, "folders of turns")->required();
    chain->callback([folders, id, &context] { show(context, *id, *folders); });
    CLI::App *check = history->add_subcommand("verify", "check every record");
    check->add_option("folders", *folders, "folders of turns")->required();
    check->callback([folders, &context] { verify(context, *folders); });
}
