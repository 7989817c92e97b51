#include "backendserver.h"

#include <algorithm>
#include <cmath>

namespace Dispatch {

namespace {

// Weight of the newest call in the moving average of the service time.
constexpr double serviceTimeGain = 0.1;

} // namespace

BackendServer::BackendServer(ServerConfig config, const DispatchSettings &settings)
    : config_(std::move(config))
    , settings_(&settings)
    , serviceSeconds_(Base::toSeconds(settings.initialServiceTime))
{}

ServerHealth BackendServer::health() const
{
    return config_.isLeaving ? ServerHealth::Leaving : health_;
}

std::uint32_t BackendServer::load() const
{
    if (!reportedAt_) {
        return running_;
    }
    const auto sent = static_cast<std::uint32_t>(sentSinceReport_.size());
    const std::uint32_t remaining = reportedLoad_ - std::min(reportedLoad_, endedSinceReport_);
    return std::max(running_, remaining + sent);
}

Base::Duration BackendServer::expectedWait(std::size_t ahead) const
{
    const double before = static_cast<double>(load()) + static_cast<double>(ahead);
    const double excess = before + 1 - config_.slots;
    if (excess <= 0) {
        return Base::Duration(0);
    }
    const double seconds = excess * serviceSeconds_ / config_.slots;
    return Base::Duration(static_cast<std::int64_t>(seconds * 1e6));
}

void BackendServer::dispatched(Base::Instant now)
{
    running_++;
    sentSinceReport_.push_back(now);
}

void BackendServer::ended(Base::Instant sentAt)
{
    running_ -= std::min(running_, 1U);
    const auto it = std::lower_bound(sentSinceReport_.begin(), sentSinceReport_.end(), sentAt);
    if (it != sentSinceReport_.end() && *it == sentAt) {
        sentSinceReport_.erase(it);
    } else {
        endedSinceReport_++;
    }
}

void BackendServer::succeeded(Base::Duration serviceTime)
{
    consecutiveFailures_ = 0;
    ejections_ = 0;
    serviceSeconds_ += serviceTimeGain * (Base::toSeconds(serviceTime) - serviceSeconds_);
}

bool BackendServer::failed()
{
    consecutiveFailures_++;
    return health_ == ServerHealth::Healthy && consecutiveFailures_ >= settings_->failuresToEject;
}

void BackendServer::loadReported(std::uint32_t running, std::uint32_t queued, Base::Instant at)
{
    if (reportedAt_ && at <= *reportedAt_) {
        return;
    }
    reportedAt_ = at;
    reportedLoad_ = running + queued;
    endedSinceReport_ = 0;
    while (!sentSinceReport_.empty() && sentSinceReport_.front() <= at) {
        sentSinceReport_.pop_front();
    }
}

void BackendServer::eject(Base::Instant now)
{
    health_ = ServerHealth::Ejected;
    nextProbe_ = now + ejectionTime();
    ejections_++;
}

void BackendServer::probeStarted(Base::Instant now)
{
    health_ = ServerHealth::Probing;
    nextProbe_ = now + settings_->probeTimeout;
}

void BackendServer::probed(bool isUp, Base::Instant now)
{
    if (health_ != ServerHealth::Probing) {
        return;
    }
    if (!isUp) {
        eject(now);
        return;
    }
    health_ = ServerHealth::Healthy;
    nextProbe_.reset();
    // One more failure ejects the server again; only a successful call resets the count.
    consecutiveFailures_ = settings_->failuresToEject - 1;
}

Base::Duration BackendServer::ejectionTime() const
{
    const std::uint32_t doublings = std::min(ejections_, 10U);
    return std::min(settings_->firstEjection * (1U << doublings), settings_->longestEjection);
}

} // namespace Dispatch
