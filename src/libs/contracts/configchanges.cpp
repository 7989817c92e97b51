#include "configchanges.h"

#include <algorithm>
#include <unordered_map>

namespace Contracts {

namespace {

template<typename Item>
auto indexById(const std::vector<Item> &items)
{
    std::unordered_map<decltype(Item::id), const Item *> index;
    for (const Item &item : items) {
        index.emplace(item.id, &item);
    }
    return index;
}

bool isUsable(const Key &key)
{
    return !key.isWithdrawn;
}

/// Adds keys that were withdrawn or removed, including withdrawn keys that are new to this daemon.
void addWithdrawnKeys(const ConfigurationDocument &before,
                      const ConfigurationDocument &after,
                      std::vector<ConfigChange> &changes)
{
    std::unordered_map<Base::KeyId, const Key *> keysBefore;
    std::unordered_map<Base::KeyId, const Key *> keysAfter;
    for (const Team &team : before.teams) {
        for (const Key &key : team.keys) {
            keysBefore.emplace(key.id, &key);
        }
    }
    for (const Team &team : after.teams) {
        for (const Key &key : team.keys) {
            keysAfter.emplace(key.id, &key);
            const auto known = keysBefore.find(key.id);
            const bool wasWithdrawn = known != keysBefore.end() && known->second->isWithdrawn;
            if (key.isWithdrawn && !wasWithdrawn) {
                changes.emplace_back(KeyWithdrawn{team.id, key.id});
            }
        }
    }
    for (const Team &team : before.teams) {
        for (const Key &key : team.keys) {
            if (isUsable(key) && !keysAfter.contains(key.id)) {
                changes.emplace_back(KeyWithdrawn{team.id, key.id});
            }
        }
    }
}

void addServers(const ConfigurationDocument &before,
                const ConfigurationDocument &after,
                std::vector<ConfigChange> &changes)
{
    const auto serversBefore = indexById(before.servers);
    const auto serversAfter = indexById(after.servers);
    for (const BackendServer &server : after.servers) {
        const auto known = serversBefore.find(server.id);
        const bool isSame = known != serversBefore.end() && *known->second == server
                            && before.getsNoWork(server) == after.getsNoWork(server);
        if (isSame) {
            continue;
        }
        if (after.getsNoWork(server)) {
            changes.emplace_back(ServerLeaving{server.id});
        }
        changes.emplace_back(ServerChanged{server});
    }
    for (const BackendServer &server : before.servers) {
        if (!serversAfter.contains(server.id)) {
            changes.emplace_back(ServerRemoved{server.id});
        }
    }
}

bool hasSameSettings(Team a, Team b)
{
    a.keys.clear();
    b.keys.clear();
    return a == b;
}

void addTeams(const ConfigurationDocument &before,
              const ConfigurationDocument &after,
              std::vector<ConfigChange> &changes)
{
    const auto teamsBefore = indexById(before.teams);
    const auto teamsAfter = indexById(after.teams);
    for (const Team &team : after.teams) {
        const auto known = teamsBefore.find(team.id);
        if (known == teamsBefore.end() || !hasSameSettings(*known->second, team)) {
            changes.emplace_back(TeamChanged{team.id});
        }
    }
    for (const Team &team : before.teams) {
        if (!teamsAfter.contains(team.id)) {
            changes.emplace_back(TeamRemoved{team.id});
        }
    }
}

void addServices(const ConfigurationDocument &before,
                 const ConfigurationDocument &after,
                 std::vector<ConfigChange> &changes)
{
    const auto servicesBefore = indexById(before.services);
    const auto servicesAfter = indexById(after.services);
    for (const Service &service : after.services) {
        const auto known = servicesBefore.find(service.id);
        if (known == servicesBefore.end() || *known->second != service) {
            changes.emplace_back(ServiceChanged{service.id});
        }
    }
    for (const Service &service : before.services) {
        if (!servicesAfter.contains(service.id)) {
            changes.emplace_back(ServiceRemoved{service.id});
        }
    }
}

} // namespace

std::vector<ConfigChange> changesBetween(const ConfigurationDocument &before,
                                         const ConfigurationDocument &after)
{
    std::vector<ConfigChange> changes;
    addWithdrawnKeys(before, after, changes);
    addServers(before, after, changes);
    addTeams(before, after, changes);
    addServices(before, after, changes);
    return changes;
}

} // namespace Contracts
