#pragma once

#include "daemonlease.h"
#include "requestsender.h"

#include <base/instant.h>
#include <platform/conditionalwriter.h>

#include <map>
#include <optional>
#include <set>

namespace Ownership {

/// Watches the leases of other daemons, and fences those that lapsed.
/// A lease has lapsed if its version has not changed for the lease's length, on the own clock and
/// while the store answered. Fencing is a conditional write against just that version, so that
/// a renewal and a fence cannot both succeed.
class LeaseWatch
{
public:
    LeaseWatch(Base::IncarnationId self, Base::Duration storeRetry, RequestSender &sender);

    /// The holder itself reported its lease's version.
    void noteVersion(const Base::IncarnationId &incarnation,
                     Platform::ObjectVersion version,
                     Base::Instant now);
    /// A lease as read from the store; malformed ones are skipped.
    void noteRead(const Platform::StoredObject &object, Base::Instant now);

    /// Reads the lease and fences it as soon as it has lapsed for the extra pause.
    void fenceWhenExpired(const Base::IncarnationId &incarnation, Base::Duration extraPause);
    /// The holder answers again; a fence that is under way is finished all the same.
    void stopFencing(const Base::IncarnationId &incarnation);
    /// Reads the lease of a former owner, which is fenced already.
    void readFenced(const Base::IncarnationId &incarnation);
    /// Forgets all leases but these.
    void keepOnly(const std::set<Base::IncarnationId> &incarnations);

    /// The lease cannot be renewed any more: it is fenced, or not in the store.
    bool isFenced(const Base::IncarnationId &incarnation) const;
    bool isAbsent(const Base::IncarnationId &incarnation) const;
    /// Null unless the lease was read.
    const DaemonLease *lease(const Base::IncarnationId &incarnation) const;

    /// True if the reply was for this object.
    bool handle(const Platform::StoreReply &reply, Base::Instant now);
    /// The store answers without interruption since this time; empty if the last request failed.
    void tick(std::optional<Base::Instant> storeHealthySince, Base::Instant now);
    /// Whether anything is to be read or fenced.
    bool isBusy() const;

private:
    struct Observation
    {
        Platform::ObjectVersion version;
        /// When the version was seen first.
        Base::Instant since;
        std::optional<DaemonLease> lease;
        bool isAbsent = false;
        bool isReadWanted = false;
        /// Pause beyond the lease's length; empty if it is not to be fenced.
        std::optional<Base::Duration> fenceAfter;
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
    static void noteAbsent(Observation &observation);
    static void noteFence(Observation &observation, Platform::ObjectVersion version);
    static bool isToBeFenced(const Observation &observation);
    void sendNext(const Base::IncarnationId &incarnation,
                  Observation &observation,
                  std::optional<Base::Instant> storeHealthySince,
                  Base::Instant now);
    void sendFence(const Base::IncarnationId &incarnation, Observation &observation);

    Base::IncarnationId self_;
    Base::Duration storeRetry_;
    RequestSender *sender_;
    std::uint64_t fences_ = 0;
    std::map<Base::IncarnationId, Observation> observations_;
};

} // namespace Ownership
