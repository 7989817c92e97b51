#include "leaselisting.h"

#include <utility>

namespace Ownership {

LeaseListing::LeaseListing(LeaseListingSettings settings,
                           PeerTable &peers,
                           LeaseWatch &watch,
                           RequestSender &sender)
    : settings_(settings)
    , peers_(&peers)
    , watch_(&watch)
    , sender_(&sender)
{}

void LeaseListing::tick(Base::Instant now)
{
    if (pendingListing_) {
        return;
    }
    const bool isSolo = peers_->fleetSize() == 1;
    const bool mayList = isSolo || peers_->rank() == 0U;
    const Base::Duration interval = isSolo ? settings_.soloInterval : settings_.interval;
    const bool isDue = !lastListing_ || (mayList && now >= *lastListing_ + interval);
    if (!isDue || (retryAt_ && now < *retryAt_)) {
        return;
    }
    lastListing_ = now;
    pendingListing_ = sender_->send(Platform::ListObjects{Platform::ObjectKind::DaemonLease, {}});
}

bool LeaseListing::handle(const Platform::StoreReply &reply,
                          const std::set<Base::IncarnationId> &referenced,
                          Base::Instant now)
{
    if (pendingListing_ != reply.id) {
        return false;
    }
    pendingListing_.reset();
    const auto *listed = std::get_if<Platform::ObjectsListed>(&reply.outcome);
    if (listed == nullptr) {
        lastListing_.reset();
        retryAt_ = now + settings_.storeRetryDelay;
        return true;
    }
    for (const Platform::StoredObject &object : listed->objects) {
        watch_->updateFromStore(object, now);
        discover(object);
    }
    collectGarbage(listed->objects, referenced);
    return true;
}

void LeaseListing::discover(const Platform::StoredObject &object)
{
    const auto lease = decodeLease(object.body);
    if (!lease || lease.value().incarnation == peers_->self().incarnation) {
        return;
    }
    const DaemonLease &found = lease.value();
    const Fleet::Daemon daemon{found.incarnation, found.vm, found.zone, found.address};
    peers_->setAddress(daemon);
    if (found.fencedBy) {
        return;
    }
    peers_->markRegistered(found.incarnation);
    if (!peers_->isResponsive(found.incarnation)) {
        actions_.emplace_back(DaemonDiscovered{daemon});
    }
}

void LeaseListing::collectGarbage(const std::vector<Platform::StoredObject> &leases,
                                  const std::set<Base::IncarnationId> &referenced)
{
    // Without an assignment it is unknown which leases are still referenced.
    const bool isCollector = peers_->rank() == 0U && !referenced.empty();
    const std::map<Base::IncarnationId, Platform::ObjectVersion> previous
        = std::exchange(listedVersions_, {});
    for (const Platform::StoredObject &object : leases) {
        const Base::IncarnationId incarnation(object.key.name);
        listedVersions_[incarnation] = object.version;
        const auto before = previous.find(incarnation);
        const bool isUnchanged = before != previous.end() && before->second == object.version;
        const bool isNeeded = peers_->isResponsive(incarnation) || referenced.contains(incarnation);
        if (isCollector && isUnchanged && !isNeeded) {
            sender_->send(Platform::DeleteObject{object.key});
        }
    }
}

std::vector<OwnershipAction> LeaseListing::takeActions()
{
    return std::exchange(actions_, {});
}

} // namespace Ownership
