#include "configurationindex.h"

namespace Contracts {

namespace {

template<typename Map, typename Id>
typename Map::mapped_type findIn(const Map &map, const Id &id)
{
    const auto found = map.find(id);
    return found == map.end() ? nullptr : found->second;
}

} // namespace

ConfigurationIndex::ConfigurationIndex()
    : ConfigurationIndex(std::make_shared<const ConfigurationDocument>())
{}

ConfigurationIndex::ConfigurationIndex(std::shared_ptr<const ConfigurationDocument> document)
    : document_(std::move(document))
{
    for (const Team &team : document_->teams) {
        teams_.emplace(team.id, &team);
    }
    for (const Service &service : document_->services) {
        services_.emplace(service.id, &service);
    }
    for (const BackendServer &server : document_->servers) {
        servers_.emplace(server.id, &server);
        serversOf_[server.service].push_back(&server);
    }
}

const Team *ConfigurationIndex::team(const Base::TeamId &id) const
{
    return findIn(teams_, id);
}

const Service *ConfigurationIndex::service(const Base::ServiceId &id) const
{
    return findIn(services_, id);
}

const BackendServer *ConfigurationIndex::server(const Base::ServerId &id) const
{
    return findIn(servers_, id);
}

const std::vector<const BackendServer *> &ConfigurationIndex::serversOf(
    const Base::ServiceId &id) const
{
    static const std::vector<const BackendServer *> none;
    const auto found = serversOf_.find(id);
    return found == serversOf_.end() ? none : found->second;
}

} // namespace Contracts
