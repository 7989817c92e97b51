#pragma once

#include "requestplacer.h"

#include <map>

namespace Dispatch {

/// Whether the lists differ in more than the countdown of cold servers: their time left counts as
/// changed only if it begins, ends or increases.
bool hasChanged(const std::vector<ListedServer> &before, const std::vector<ListedServer> &after);

/// Backend servers that may get requests, from the lists read from the store. During an outage of
/// the store, entries may expire although their servers are alive. Such entries are kept until the
/// servers have had time to register again.
class ServerDirectory
{
public:
    /// `expiryGrace` is the time that servers need to register again after an outage of the store.
    explicit ServerDirectory(Base::Duration expiryGrace)
        : expiryGrace_(expiryGrace)
    {}

    /// The list could not be read from the store.
    void storeReadFailed(Base::Instant now);
    /// The current list was equal to the list in the store at time `asOf`.
    void listConfirmed(Base::Instant asOf, Base::Instant now);
    /// Sets the complete list. Returns whether the servers have changed.
    bool applyList(std::vector<ListedServer> list, Base::Instant now);
    /// Removes missing entries whose grace period is over. Returns whether the servers have
    /// changed.
    bool removeExpired(Base::Instant now);
    std::optional<Base::Instant> nextExpiry() const;

    const std::vector<ListedServer> &servers() const { return servers_; }
    bool isKnown() const { return isKnown_; }

private:
    Base::Duration expiryGrace_;
    std::vector<ListedServer> servers_;
    /// Servers missing from the last list, with the end of their grace period.
    std::map<Base::ServerId, Base::Instant> keptUntil_;
    std::optional<Base::Instant> graceUntil_;
    /// Time of the last failed read; reset after the next successful read.
    std::optional<Base::Instant> storeReadFailedAt_;
    bool isKnown_ = false;
};

} // namespace Dispatch
