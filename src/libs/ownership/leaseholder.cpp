#include "leaseholder.h"

#include <base/visitor.h>

#include <algorithm>

namespace Ownership {

namespace {

// Limits the lease writes to the store: 340 daemons at the maximum interval write 68 per second.
constexpr Base::Duration renewalIntervalPerDaemon = std::chrono::milliseconds(15);

// A lease survives one failed renewal.
constexpr int renewalsPerLease = 2;

} // namespace

LeaseHolder::LeaseHolder(const Fleet::Daemon &self,
                         LeaseHolderSettings settings,
                         RequestSender &sender)
    : settings_(settings)
    , sender_(&sender)
{
    lease_.incarnation = self.incarnation;
    lease_.vm = self.vm;
    lease_.zone = self.zone;
    lease_.address = self.address;
}

void LeaseHolder::start(Base::Instant now)
{
    renewAt_ = now;
    tick(now);
}

void LeaseHolder::proposeWitnesses(const std::vector<Base::IncarnationId> &witnesses,
                                   Base::Instant /*now*/)
{
    if (proposed_ || isLost_) {
        return;
    }
    proposed_ = witnesses;
    isProposalReady_ = false;
    actions_.emplace_back(WitnessesProposed{lease_.witnesses, witnesses});
}

void LeaseHolder::witnessesReady(Base::Instant now)
{
    if (proposed_) {
        isProposalReady_ = true;
        renewAt_ = now;
    }
}

void LeaseHolder::setLeaving(Base::Instant now)
{
    lease_.isLeaving = true;
    renewAt_ = now;
}

std::vector<Base::IncarnationId> LeaseHolder::witnessesInUse() const
{
    std::vector<Base::IncarnationId> inUse = lease_.witnesses;
    if (!proposed_) {
        return inUse;
    }
    for (const Base::IncarnationId &witness : *proposed_) {
        if (std::ranges::find(inUse, witness) == inUse.end()) {
            inUse.push_back(witness);
        }
    }
    return inUse;
}

void LeaseHolder::tick(Base::Instant now)
{
    if (isLost_) {
        return;
    }
    if (retryAt_ && now >= *retryAt_) {
        retryAt_.reset();
        pendingWrite_ = sender_->send(writer_->retry());
    }
    if (!writer_ && renewAt_ && now >= *renewAt_) {
        renewAt_.reset();
        write();
    }
}

void LeaseHolder::write()
{
    DaemonLease lease = lease_;
    lease.renewals = ++lease_.renewals;
    lease.length = renewalsPerLease * renewalInterval();
    // A lease must not name witnesses that lack records committed during an outage of the store.
    writtenWitnesses_.reset();
    if (proposed_ && isProposalReady_) {
        writtenWitnesses_ = proposed_;
        lease.witnesses = *proposed_;
    }
    const Base::WriteId writeId(lease.incarnation.text() + "/lease/"
                                + std::to_string(lease.renewals));
    writer_.emplace(
        Platform::PutObject{leaseKey(lease.incarnation), version_, encode(lease), writeId});
    pendingWrite_ = sender_->send(writer_->start());
}

bool LeaseHolder::handle(const Platform::StoreReply &reply, Base::Instant now)
{
    if (pendingWrite_ != reply.id) {
        return false;
    }
    pendingWrite_.reset();
    handleProgress(writer_->handle(reply.outcome), now);
    return true;
}

void LeaseHolder::handleProgress(const Platform::WriteProgress &progress, Base::Instant now)
{
    std::visit(
        Base::Visitor{
            [&](const Platform::WriteConfirmed &confirmed) { confirm(confirmed.version, now); },
            [&](const Platform::WriteLost &lost) { markLost(lost.current); },
            [&](const Platform::WriteContinues &continues) {
                pendingWrite_ = sender_->send(continues.operation);
            },
            [&](const Platform::WriteUnresolved &) { retryAt_ = now + settings_.storeRetryDelay; }},
        progress);
}

void LeaseHolder::confirm(Platform::ObjectVersion version, Base::Instant now)
{
    writer_.reset();
    const bool isFirst = version_.value() == 0;
    version_ = version;
    // A change that was requested during the write is written without delay.
    if (!renewAt_) {
        renewAt_ = now + renewalInterval();
    }
    if (isFirst) {
        actions_.emplace_back(LeaseRegistered{});
    }
    if (writtenWitnesses_) {
        lease_.witnesses = *writtenWitnesses_;
        writtenWitnesses_.reset();
        proposed_.reset();
        actions_.emplace_back(WitnessesConfirmed{lease_.witnesses});
    }
}

void LeaseHolder::markLost(const std::optional<Platform::StoredObject> &current)
{
    writer_.reset();
    isLost_ = true;
    LeaseLost lost;
    if (current) {
        if (const auto lease = decodeLease(current->body)) {
            lost.fencedBy = lease.value().fencedBy;
        }
    }
    actions_.emplace_back(lost);
}

Base::Duration LeaseHolder::renewalInterval() const
{
    const Base::Duration scaled = renewalIntervalPerDaemon * static_cast<std::int64_t>(fleetSize_);
    return std::clamp(scaled, settings_.minRenewalInterval, settings_.maxRenewalInterval);
}

std::optional<Base::Instant> LeaseHolder::nextWakeUp() const
{
    if (isLost_) {
        return std::nullopt;
    }
    if (retryAt_) {
        return retryAt_;
    }
    return writer_ ? std::nullopt : renewAt_;
}

std::vector<OwnershipAction> LeaseHolder::takeActions()
{
    return std::exchange(actions_, {});
}

} // namespace Ownership
