#include "leaseclock.h"

#include <ownership/daemonlease.h>

namespace Scheduler {

LeaseClock::LeaseClock(Base::IncarnationId self)
    : self_(std::move(self))
{}

void LeaseClock::sent(const Platform::StoreRequest &request, Base::Instant now)
{
    const auto *put = std::get_if<Platform::PutObject>(&request.operation);
    if (!put || put->key != Ownership::leaseKey(self_)) {
        return;
    }
    const Base::Result<Ownership::DaemonLease> lease = Ownership::decodeLease(put->body);
    if (lease) {
        renewals_[request.id] = now + lease.value().length;
    }
}

bool LeaseClock::replied(const Platform::StoreReply &reply)
{
    const auto entry = renewals_.find(reply.id);
    if (entry == renewals_.end()) {
        return false;
    }
    const Base::Instant end = entry->second;
    renewals_.erase(entry);
    const bool isConfirmed = std::holds_alternative<Platform::ObjectWritten>(reply.outcome);
    if (!isConfirmed || end <= until_) {
        return false;
    }
    until_ = end;
    return true;
}

} // namespace Scheduler
