#include "configuration.h"

#include <algorithm>

namespace Contracts {

namespace {

template<typename Item, typename Id>
const Item *findById(const std::vector<Item> &items, const Id &id)
{
    const auto found = std::find_if(
        items.begin(), items.end(), [&id](const Item &item) { return item.id == id; });
    return found == items.end() ? nullptr : &*found;
}

} // namespace

bool Service::isOpenTo(const std::optional<Base::TeamId> &team) const
{
    if (isOpenToAll) {
        return true;
    }
    return team && (teams.empty() || std::ranges::find(teams, *team) != teams.end());
}

const Team *ConfigurationDocument::findTeam(const Base::TeamId &id) const
{
    return findById(teams, id);
}

const Service *ConfigurationDocument::findService(const Base::ServiceId &id) const
{
    return findById(services, id);
}

bool ConfigurationDocument::isClosed(const Base::ZoneId &zone) const
{
    return std::find(closedZones.begin(), closedZones.end(), zone) != closedZones.end();
}

bool ConfigurationDocument::getsNoWork(const BackendServer &server) const
{
    return server.isLeaving || isClosed(server.zone);
}

const BackendServer *ConfigurationDocument::findServer(const Base::ServerId &id) const
{
    return findById(servers, id);
}

} // namespace Contracts
