#pragma once

#include "requestplacer.h"

#include <map>

namespace Dispatch {

/// The servers that may get requests, from lists that the store gives. While the store is away its
/// entries may lapse though their servers live; they are kept until those had time to come back.
class ServerDirectory
{
public:
    /// Entries that lapsed are back within about this time of the store's return.
    explicit ServerDirectory(Base::Duration expiryGrace)
        : expiryGrace_(expiryGrace)
    {}

    /// No list could be read.
    void storeLost(Base::Instant now);
    /// The list is known to be as it is in the store at the given time.
    void confirmed(Base::Instant asOf, Base::Instant now);
    /// The complete list. Returns whether the servers have changed.
    bool listed(std::vector<ListedServer> list, Base::Instant now);
    /// Drops entries whose time to come back is over. Returns whether the servers have changed.
    bool expire(Base::Instant now);
    std::optional<Base::Instant> nextExpiry() const;

    const std::vector<ListedServer> &servers() const { return servers_; }
    bool isKnown() const { return isKnown_; }

private:
    Base::Duration expiryGrace_;
    std::vector<ListedServer> servers_;
    /// Servers that the last list no longer had, and until when they are kept.
    std::map<Base::ServerId, Base::Instant> expired_;
    std::optional<Base::Instant> graceUntil_;
    /// When the last read failed, until the store has answered since.
    std::optional<Base::Instant> storeLostAt_;
    bool isKnown_ = false;
};

} // namespace Dispatch
