#include "leaseexpirytracker.h"

#include <ownership/daemonlease.h>

namespace Scheduler {

LeaseExpiryTracker::LeaseExpiryTracker(Base::IncarnationId self)
    : self_(std::move(self))
{}

void LeaseExpiryTracker::requestSent(const Platform::StoreRequest &request, Base::Instant now)
{
    const auto *put = std::get_if<Platform::PutObject>(&request.operation);
    if (!put || put->key != Ownership::leaseKey(self_)) {
        return;
    }
    const Base::Result<Ownership::DaemonLease> lease = Ownership::decodeLease(put->body);
    if (lease) {
        pendingRenewals_[request.id] = now + lease.value().length;
    }
}

bool LeaseExpiryTracker::replyReceived(const Platform::StoreReply &reply)
{
    const auto entry = pendingRenewals_.find(reply.id);
    if (entry == pendingRenewals_.end()) {
        return false;
    }
    const Base::Instant expiry = entry->second;
    pendingRenewals_.erase(entry);
    const bool isConfirmed = std::holds_alternative<Platform::ObjectWritten>(reply.outcome);
    if (!isConfirmed || expiry <= expiry_) {
        return false;
    }
    expiry_ = expiry;
    return true;
}

} // namespace Scheduler
