#pragma once

#include "configuration.h"

#include <memory>
#include <unordered_map>

namespace Contracts {

/// Constant-time lookup in one configuration version, for the handling of requests.
class ConfigurationIndex
{
public:
    ConfigurationIndex();
    explicit ConfigurationIndex(std::shared_ptr<const ConfigurationDocument> document);

    const ConfigurationDocument &document() const { return *document_; }
    Base::ConfigVersion version() const { return document_->version; }

    /// Null if the id is unknown; valid for the lifetime of the index.
    const Team *team(const Base::TeamId &id) const;
    const Service *service(const Base::ServiceId &id) const;
    const BackendServer *server(const Base::ServerId &id) const;
    /// Servers of a service, including leaving ones.
    const std::vector<const BackendServer *> &serversOf(const Base::ServiceId &id) const;

private:
    std::shared_ptr<const ConfigurationDocument> document_;
    std::unordered_map<Base::TeamId, const Team *> teams_;
    std::unordered_map<Base::ServiceId, const Service *> services_;
    std::unordered_map<Base::ServerId, const BackendServer *> servers_;
    std::unordered_map<Base::ServiceId, std::vector<const BackendServer *>> serversOf_;
};

} // namespace Contracts
