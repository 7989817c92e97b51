#pragma once

#include "daemonlease.h"
#include "requestsender.h"

#include <base/instant.h>
#include <platform/conditionalwriter.h>

#include <map>
#include <optional>
#include <set>

namespace Ownership {

/// Observes the leases of other daemons, and fences expired ones.
/// A lease has expired if its version has not changed for the lease's length, measured on the local
/// clock while the store was available. Fencing is a conditional write against exactly that
/// version, so that a renewal and a fence cannot both succeed.
class LeaseWatch
{
public:
    LeaseWatch(Base::IncarnationId self, Base::Duration storeRetryDelay, RequestSender &sender);

    /// The holder reported the version of its lease.
    void updateVersion(const Base::IncarnationId &incarnation,
                       Platform::ObjectVersion version,
                       Base::Instant now);
    /// The lease was read from the store; a malformed one is ignored.
    void updateFromStore(const Platform::StoredObject &object, Base::Instant now);

    /// Reads the lease and fences it once the extra delay has passed since its expiry.
    void fenceWhenExpired(const Base::IncarnationId &incarnation, Base::Duration extraDelay);
    /// The holder is responsive again; a fence write that is in flight is still completed.
    void stopFencing(const Base::IncarnationId &incarnation);
    /// Reads the lease of a former owner, which is already fenced.
    void readFencedLease(const Base::IncarnationId &incarnation);
    /// Drops all leases but these.
    void keepOnly(const std::set<Base::IncarnationId> &incarnations);

    /// Whether the lease can no longer be renewed: it is fenced, or absent from the store.
    bool isFenced(const Base::IncarnationId &incarnation) const;
    bool isAbsent(const Base::IncarnationId &incarnation) const;
    /// Null unless the lease was read.
    const DaemonLease *lease(const Base::IncarnationId &incarnation) const;

    /// Returns whether the reply was for this object.
    bool handle(const Platform::StoreReply &reply, Base::Instant now);
    /// The store has been available without interruption since `storeHealthySince`; empty if the
    /// last request failed.
    void tick(std::optional<Base::Instant> storeHealthySince, Base::Instant now);
    /// Whether a read or a fence is pending.
    bool isBusy() const;

private:
    struct Observation
    {
        Platform::ObjectVersion version;
        /// When this version was first observed.
        Base::Instant since;
        std::optional<DaemonLease> lease;
        bool isAbsent = false;
        bool isReadNeeded = false;
        /// Delay after the expiry; empty if the lease is not to be fenced.
        std::optional<Base::Duration> fenceDelay;
        std::optional<Platform::StoreRequestId> request;
        std::optional<Platform::ConditionalWriter> fence;
        std::optional<Base::Instant> retryAt;
    };

    void handleRead(Observation &observation,
                    const Platform::StoreOutcome &outcome,
                    Base::Instant now);
    void handleFence(Observation &observation,
                     const Platform::StoreOutcome &outcome,
                     Base::Instant now);
    static void markAbsent(Observation &observation);
    static void markFenced(Observation &observation, Platform::ObjectVersion version);
    static bool needsFencing(const Observation &observation);
    void sendNext(const Base::IncarnationId &incarnation,
                  Observation &observation,
                  std::optional<Base::Instant> storeHealthySince,
                  Base::Instant now);
    void sendFence(const Base::IncarnationId &incarnation, Observation &observation);

    Base::IncarnationId self_;
    Base::Duration storeRetryDelay_;
    RequestSender *sender_;
    std::uint64_t fences_ = 0;
    std::map<Base::IncarnationId, Observation> observations_;
};

} // namespace Ownership
