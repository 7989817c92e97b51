#pragma once

#include "requestplacer.h"
#include "streamversions.h"

#include <map>
#include <set>

namespace Dispatch {

/// Time in milliseconds since the Unix epoch, as in the start times of servers.
using UnixMs = Base::StrongNumber<struct UnixMsTag, std::int64_t>;

/// How this daemon knows that its list of servers was the current one.
enum class ConfirmedBy {
    /// Another daemon's message, which may have waited unread, or a read of the usual schedule.
    Report,
    /// A read that this daemon began in order to know.
    Read
};

struct ListConfirmation
{
    /// Time since the list was current.
    Base::Duration age{};
    ConfirmedBy by = ConfirmedBy::Report;
};

/// The software versions of the listed servers of each service, leaving ones included. All times
/// are of a clock that goes on while the VM is suspended.
class ServiceVersions
{
public:
    struct Settings
    {
        /// A daemon whose list was not confirmed for longer is out of step. The list is read every
        /// 0.7 s, and by each daemon at most 1.3 s after that. A server that joins stays listed for
        /// longer, even if it crashes at once.
        Base::Duration maxUnconfirmed = std::chrono::seconds(2);
        /// Messages that have waited while the daemon stood still are read within this time.
        Base::Duration backlogTime = std::chrono::seconds(1);
        /// Streams may be resumed for this time, also after their server has left the list.
        Base::Duration retention = std::chrono::seconds(60);
        /// Difference between the clocks of a server and of a daemon.
        Base::Duration clockMargin = std::chrono::seconds(1);
    };

    explicit ServiceVersions(Settings settings)
        : settings_(settings)
    {}

    /// The whole system starts for the first time, so that no stream is older than this process.
    void setFleetStart() { isAliveSinceFleetStart_ = true; }
    void serversChanged(const std::vector<ListedServer> &servers, Base::Instant now);
    /// The last list was the current one at the given time.
    void listConfirmed(Base::Instant asOf, Base::Instant now);
    /// This daemon has read the list in a call that began at the given time.
    void listRead(const std::vector<ListedServer> &servers,
                  Base::Instant begunAt,
                  Base::Instant now);

    /// The last confirmation; nothing if there was none.
    std::optional<ListConfirmation> confirmation(Base::Instant now) const;
    /// Time since the servers of the last list have renewed their entries at least, if the store
    /// removes entries that were not renewed for \a lifetime; nothing if it may not have been able
    /// to, as the list was not confirmed without a gap for so long.
    std::optional<Base::Duration> entryAge(Base::Instant now, Base::Duration lifetime) const;
    /// Whether the list was confirmed recently.
    bool isInStep(Base::Instant now) const;

    /// The version of all servers of the service, if confirmed lists have named no other one for
    /// the given time, or since the fleet's first start. Servers that joined since the last
    /// confirmation are not known.
    std::optional<Base::SoftwareVersion> soleVersion(const Base::ServiceId &service,
                                                     Base::Duration period,
                                                     Base::Instant now) const;

    /// Whether all servers of the service in the last list have this version.
    bool isOnlyVersion(const Base::ServiceId &service, const Base::SoftwareVersion &version) const;

    /// Whether the server of the record was last listed with another version, and may have been
    /// restarted with it before the stream began.
    bool isUncertain(const StreamRecord &record, UnixMs now) const;

private:
    struct Entry
    {
        std::set<Base::SoftwareVersion> versions;
        Base::Instant changedAt;
    };

    struct Listed
    {
        std::uint64_t startedAt = 0;
        Base::SoftwareVersion version;
        /// The time of the first list without the server; unset while it is listed.
        std::optional<Base::Instant> leftAt;
    };

    /// Versions of a service since the start of this process.
    struct History
    {
        Base::SoftwareVersion first;
        bool hasOther = false;
    };

    void detectGap(Base::Instant now);
    void confirm(Base::Instant asOf, ConfirmedBy by);
    void setListed(const std::vector<ListedServer> &servers, Base::Instant now);
    void recordHistory(const Base::ServiceId &service,
                       const std::set<Base::SoftwareVersion> &versions);
    bool isSoleSinceFleetStart(const Base::ServiceId &service) const;

    Settings settings_;
    std::map<Base::ServiceId, Entry> services_;
    /// Those of the last list, also if the regular one has not followed it yet.
    std::map<Base::ServiceId, std::set<Base::SoftwareVersion>> lastVersions_;
    std::map<Base::ServiceId, History> histories_;
    /// The listed servers, and those that left within the retention time.
    std::unordered_map<Base::ServerId, Listed> servers_;
    std::optional<Base::Instant> confirmedAt_;
    ConfirmedBy confirmedBy_ = ConfirmedBy::Report;
    /// The first confirmation after which there was no gap.
    std::optional<Base::Instant> continuousSince_;
    /// Time of the last confirmation, even if it may have waited unread.
    std::optional<Base::Instant> reportedAt_;
    /// Reports that arrive before this time may have waited unread.
    Base::Instant backlogUntil_;
    bool isAliveSinceFleetStart_ = false;
};

} // namespace Dispatch
