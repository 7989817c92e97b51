#pragma once

#include "daemonlease.h"
#include "ownershipactions.h"
#include "requestsender.h"

#include <base/instant.h>
#include <platform/conditionalwriter.h>

#include <optional>
#include <vector>

namespace Ownership {

struct LeaseHolderSettings
{
    Base::Duration minRenewalInterval{};
    Base::Duration maxRenewalInterval{};
    Base::Duration storeRetryDelay{};
};

/// Registers and renews this daemon's lease, and changes its witnesses.
class LeaseHolder
{
public:
    LeaseHolder(const Fleet::Daemon &self, LeaseHolderSettings settings, RequestSender &sender);

    void start(Base::Instant now);
    void setFleetSize(std::size_t size) { fleetSize_ = size; }
    void setConfigVersion(Base::ConfigVersion version) { lease_.configVersion = version; }

    /// Emits WitnessesProposed; the witnesses are written after witnessesReady(). Ignored while an
    /// earlier proposal is unconfirmed, because the store may hold either set.
    void proposeWitnesses(const std::vector<Base::IncarnationId> &witnesses, Base::Instant now);
    /// Call when the proposed witnesses hold every committed record that the store lacks.
    void witnessesReady(Base::Instant now);
    void setLeaving(Base::Instant now);

    /// Returns whether the reply was for this object.
    bool handle(const Platform::StoreReply &reply, Base::Instant now);
    void tick(Base::Instant now);
    std::optional<Base::Instant> nextWakeUp() const;
    std::vector<OwnershipAction> takeActions();

    bool isRegistered() const { return version_.value() != 0 && !isLost_; }
    bool isLost() const { return isLost_; }
    Platform::ObjectVersion version() const { return version_; }
    const std::vector<Base::IncarnationId> &witnesses() const { return lease_.witnesses; }
    bool hasProposal() const { return proposed_.has_value(); }
    /// Confirmed and proposed witnesses.
    std::vector<Base::IncarnationId> witnessesInUse() const;

private:
    void write();
    void handleProgress(const Platform::WriteProgress &progress, Base::Instant now);
    void confirm(Platform::ObjectVersion version, Base::Instant now);
    void markLost(const std::optional<Platform::StoredObject> &current);
    Base::Duration renewalInterval() const;

    LeaseHolderSettings settings_;
    RequestSender *sender_;
    std::size_t fleetSize_ = 1;

    /// Last confirmed state, except for members that the next renewal writes.
    DaemonLease lease_;
    Platform::ObjectVersion version_;
    bool isLost_ = false;
    std::optional<std::vector<Base::IncarnationId>> proposed_;
    bool isProposalReady_ = false;
    std::optional<std::vector<Base::IncarnationId>> writtenWitnesses_;

    std::optional<Platform::ConditionalWriter> writer_;
    std::optional<Platform::StoreRequestId> pendingWrite_;
    std::optional<Base::Instant> retryAt_;
    std::optional<Base::Instant> renewAt_;
    std::vector<OwnershipAction> actions_;
};

} // namespace Ownership
