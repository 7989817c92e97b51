#pragma once

#include "settings.h"
#include "types.h"

#include <deque>
#include <optional>

namespace Dispatch {

/// A dispatcher's state of one backend server: health, slots and load. The calls sent since the
/// last load report are added, because reports are delayed.
class BackendServer
{
public:
    BackendServer(ServerConfig config, const DispatchSettings &settings);

    const ServerConfig &config() const { return config_; }
    const Base::ServerId &id() const { return config_.server; }
    void configured(ServerConfig config) { config_ = std::move(config); }

    ServerHealth health() const;
    bool acceptsCalls() const { return health() == ServerHealth::Healthy; }

    /// Slots in use by this dispatcher.
    std::uint32_t running() const { return running_; }
    bool hasFreeSlot() const { return running_ < config_.slots; }
    /// Calls at the server: the last report plus own calls sent since.
    std::uint32_t load() const;
    /// Expected time until a call that is queued behind `ahead` others gets a slot.
    Base::Duration expectedWait(std::size_t ahead) const;

    void dispatched(Base::Instant now);
    /// A call that was sent at `sentAt` ended, successfully or not.
    void ended(Base::Instant sentAt);
    /// A call succeeded after the given service time.
    void succeeded(Base::Duration serviceTime);
    /// A call failed because of the server; returns whether the server should be ejected.
    bool failed();
    void loadReported(std::uint32_t running, std::uint32_t queued, Base::Instant at);

    void eject(Base::Instant now);
    /// Time of the next probe, or of the timeout of the probe in progress.
    std::optional<Base::Instant> nextProbe() const { return nextProbe_; }
    void probeStarted(Base::Instant now);
    void probed(bool isUp, Base::Instant now);

private:
    Base::Duration ejectionTime() const;

    ServerConfig config_;
    const DispatchSettings *settings_;
    ServerHealth health_ = ServerHealth::Healthy;
    std::uint32_t running_ = 0;
    std::uint32_t reportedLoad_ = 0;
    std::optional<Base::Instant> reportedAt_;
    std::deque<Base::Instant> sentSinceReport_;
    /// Calls counted in the last report that have ended since.
    std::uint32_t endedSinceReport_ = 0;
    double serviceSeconds_;
    std::uint32_t consecutiveFailures_ = 0;
    std::uint32_t ejections_ = 0;
    std::optional<Base::Instant> nextProbe_;
};

} // namespace Dispatch
