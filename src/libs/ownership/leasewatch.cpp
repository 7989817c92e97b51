#include "leasewatch.h"

#include <base/visitor.h>

#include <algorithm>

namespace Ownership {

namespace {

// Limit of requests in flight, so that the loss of a zone does not make one daemon read a hundred
// leases at once.
constexpr std::ptrdiff_t requestLimit = 16;

} // namespace

LeaseWatch::LeaseWatch(Base::IncarnationId self,
                       Base::Duration storeRetryDelay,
                       RequestSender &sender)
    : self_(std::move(self))
    , storeRetryDelay_(storeRetryDelay)
    , sender_(&sender)
{}

void LeaseWatch::updateVersion(const Base::IncarnationId &incarnation,
                               Platform::ObjectVersion version,
                               Base::Instant now)
{
    Observation &observation = observations_[incarnation];
    if (version > observation.version) {
        observation.version = version;
        observation.since = now;
        observation.isAbsent = false;
        observation.lease.reset();
    }
}

void LeaseWatch::updateFromStore(const Platform::StoredObject &object, Base::Instant now)
{
    auto lease = decodeLease(object.body);
    if (!lease) {
        return;
    }
    const Base::IncarnationId incarnation(object.key.name);
    updateVersion(incarnation, object.version, now);
    Observation &observation = observations_[incarnation];
    if (object.version == observation.version) {
        observation.lease = std::move(lease.value());
        observation.isReadNeeded = false;
    }
}

void LeaseWatch::markAbsent(Observation &observation)
{
    observation.isAbsent = true;
    observation.lease.reset();
    observation.isReadNeeded = false;
}

void LeaseWatch::fenceWhenExpired(const Base::IncarnationId &incarnation, Base::Duration extraDelay)
{
    Observation &observation = observations_[incarnation];
    observation.fenceDelay = extraDelay;
    observation.isReadNeeded = !observation.lease && !observation.isAbsent;
}

void LeaseWatch::stopFencing(const Base::IncarnationId &incarnation)
{
    const auto found = observations_.find(incarnation);
    if (found != observations_.end()) {
        found->second.fenceDelay.reset();
    }
}

void LeaseWatch::readFencedLease(const Base::IncarnationId &incarnation)
{
    Observation &observation = observations_[incarnation];
    observation.isReadNeeded = !isFenced(incarnation);
}

void LeaseWatch::keepOnly(const std::set<Base::IncarnationId> &incarnations)
{
    std::erase_if(observations_, [&](const auto &item) {
        return !incarnations.contains(item.first) && !item.second.request && !item.second.fence;
    });
}

bool LeaseWatch::isFenced(const Base::IncarnationId &incarnation) const
{
    const DaemonLease *known = lease(incarnation);
    return isAbsent(incarnation) || (known != nullptr && known->fencedBy);
}

bool LeaseWatch::isAbsent(const Base::IncarnationId &incarnation) const
{
    const auto found = observations_.find(incarnation);
    return found != observations_.end() && found->second.isAbsent;
}

const DaemonLease *LeaseWatch::lease(const Base::IncarnationId &incarnation) const
{
    const auto found = observations_.find(incarnation);
    const bool isKnown = found != observations_.end() && found->second.lease;
    return isKnown ? &*found->second.lease : nullptr;
}

bool LeaseWatch::handle(const Platform::StoreReply &reply, Base::Instant now)
{
    const auto found = std::ranges::find_if(
        observations_, [&](const auto &item) { return item.second.request == reply.id; });
    if (found == observations_.end()) {
        return false;
    }
    found->second.request.reset();
    if (found->second.fence) {
        handleFence(found->second, reply.outcome, now);
    } else {
        handleRead(found->second, reply.outcome, now);
    }
    return true;
}

void LeaseWatch::handleRead(Observation &observation,
                            const Platform::StoreOutcome &outcome,
                            Base::Instant now)
{
    std::visit(Base::Visitor{
                   [&](const Platform::ObjectFound &found) { updateFromStore(found.object, now); },
                   [&](const Platform::ObjectAbsent &) { markAbsent(observation); },
                   [](const auto &) {}},
               outcome);
    if (observation.isReadNeeded) {
        observation.retryAt = now + storeRetryDelay_;
    }
}

void LeaseWatch::markFenced(Observation &observation, Platform::ObjectVersion version)
{
    if (auto fenced = decodeLease(observation.fence->put().body)) {
        observation.lease = std::move(fenced.value());
    }
    observation.version = version;
    observation.fence.reset();
}

void LeaseWatch::handleFence(Observation &observation,
                             const Platform::StoreOutcome &outcome,
                             Base::Instant now)
{
    const Platform::WriteProgress progress = observation.fence->handle(outcome);
    std::visit(Base::Visitor{[&](const Platform::WriteConfirmed &confirmed) {
                                 markFenced(observation, confirmed.version);
                             },
                             [&](const Platform::WriteLost &lost) {
                                 observation.fence.reset();
                                 if (lost.current) {
                                     updateFromStore(*lost.current, now);
                                 } else {
                                     markAbsent(observation);
                                 }
                             },
                             [&](const Platform::WriteContinues &continues) {
                                 observation.request = sender_->send(continues.operation);
                             },
                             [&](const Platform::WriteUnresolved &) {
                                 observation.retryAt = now + storeRetryDelay_;
                             }},
               progress);
}

void LeaseWatch::tick(std::optional<Base::Instant> storeHealthySince, Base::Instant now)
{
    auto requests = std::ranges::count_if(
        observations_, [](const auto &item) { return item.second.request.has_value(); });
    for (auto &[incarnation, observation] : observations_) {
        if (requests >= requestLimit) {
            return;
        }
        const bool isPaused = observation.retryAt && now < *observation.retryAt;
        if (observation.request || isPaused) {
            continue;
        }
        observation.retryAt.reset();
        sendNext(incarnation, observation, storeHealthySince, now);
        requests += observation.request ? 1 : 0;
    }
}

void LeaseWatch::sendNext(const Base::IncarnationId &incarnation,
                          Observation &observation,
                          std::optional<Base::Instant> storeHealthySince,
                          Base::Instant now)
{
    if (observation.fence) {
        observation.request = sender_->send(observation.fence->retry());
        return;
    }
    if (observation.isReadNeeded) {
        observation.request = sender_->send(Platform::GetObject{leaseKey(incarnation)});
        return;
    }
    if (!needsFencing(observation) || !storeHealthySince) {
        return;
    }
    // The holder could not renew while the store was unavailable.
    const Base::Instant unchangedSince = std::max(observation.since, *storeHealthySince);
    if (now >= unchangedSince + observation.lease->length + *observation.fenceDelay) {
        sendFence(incarnation, observation);
    }
}

bool LeaseWatch::needsFencing(const Observation &observation)
{
    return observation.fenceDelay && observation.lease && !observation.lease->fencedBy;
}

void LeaseWatch::sendFence(const Base::IncarnationId &incarnation, Observation &observation)
{
    DaemonLease fenced = *observation.lease;
    fenced.fencedBy = self_;
    const Base::WriteId writeId(self_.text() + "/fence/" + std::to_string(++fences_));
    observation.fence.emplace(
        Platform::PutObject{leaseKey(incarnation), observation.version, encode(fenced), writeId});
    observation.request = sender_->send(observation.fence->start());
}

bool LeaseWatch::isBusy() const
{
    return std::ranges::any_of(observations_, [](const auto &item) {
        const Observation &observation = item.second;
        return observation.isReadNeeded || observation.fence || needsFencing(observation);
    });
}

} // namespace Ownership
