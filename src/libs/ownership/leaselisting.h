#pragma once

#include "leasewatch.h"
#include "ownershipactions.h"
#include "peertable.h"
#include "requestsender.h"

#include <base/instant.h>

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Ownership {

struct LeaseListingSettings
{
    /// Pause between two listings by the first contender.
    Base::Duration pause{};
    /// Pause between two listings by a daemon without peers.
    Base::Duration lonelyPause{};
    Base::Duration storeRetry{};
};

/// Lists all leases now and then: finds daemons that were never heard of, and deletes leases that
/// nobody needs.
class LeaseListing
{
public:
    LeaseListing(LeaseListingSettings settings,
                 PeerTable &peers,
                 LeaseWatch &watch,
                 RequestSender &sender);

    void tick(Base::Instant now);
    /// Lists with the next tick.
    void listSoon() { lastListing_.reset(); }
    /// Whether a listing was asked for and is not answered yet.
    bool isPending() const { return listing_ || !lastListing_; }
    /// True if the reply was for a listing. Leases of the referenced incarnations are kept.
    bool handle(const Platform::StoreReply &reply,
                const std::set<Base::IncarnationId> &referenced,
                Base::Instant now);
    std::vector<OwnershipAction> takeActions();

private:
    void discover(const Platform::StoredObject &object);
    void collectGarbage(const std::vector<Platform::StoredObject> &leases,
                        const std::set<Base::IncarnationId> &referenced);

    LeaseListingSettings settings_;
    PeerTable *peers_;
    LeaseWatch *watch_;
    RequestSender *sender_;
    std::optional<Platform::StoreRequestId> listing_;
    std::optional<Base::Instant> lastListing_;
    std::optional<Base::Instant> retryAt_;
    std::map<Base::IncarnationId, Platform::ObjectVersion> listedVersions_;
    std::vector<OwnershipAction> actions_;
};

} // namespace Ownership
