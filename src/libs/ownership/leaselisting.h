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
    /// Interval of listings by the daemon of rank 0.
    Base::Duration interval{};
    /// Interval of listings by a daemon without responsive peers.
    Base::Duration soloInterval{};
    Base::Duration storeRetryDelay{};
};

/// Lists all leases periodically: discovers daemons that membership does not know, and deletes
/// leases that are no longer referenced.
class LeaseListing
{
public:
    LeaseListing(LeaseListingSettings settings,
                 PeerTable &peers,
                 LeaseWatch &watch,
                 RequestSender &sender);

    void tick(Base::Instant now);
    /// Lists at the next tick.
    void listSoon() { lastListing_.reset(); }
    /// Whether a listing is requested and its reply has not arrived.
    bool isPending() const { return pendingListing_ || !lastListing_; }
    /// Returns whether the reply was for a listing. Leases of the referenced incarnations are kept.
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
    std::optional<Platform::StoreRequestId> pendingListing_;
    std::optional<Base::Instant> lastListing_;
    std::optional<Base::Instant> retryAt_;
    std::map<Base::IncarnationId, Platform::ObjectVersion> listedVersions_;
    std::vector<OwnershipAction> actions_;
};

} // namespace Ownership
