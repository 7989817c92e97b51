#include "requestplacer.h"

#include <algorithm>
#include <cmath>

namespace Dispatch {

struct RequestPlacer::Server
{
    ListedServer listed;
    std::uint32_t running = 0;
    /// Requests of other daemons at the last report.
    double othersLoad = 0;
    Base::Instant reportedAt;
    /// Percent of the usual time that work takes, at slownessAt.
    std::uint32_t slowness = 100;
    Base::Instant slownessAt;
    /// Mean latency in milliseconds; negative before the first response.
    double meanLatencyMs = -1;
    std::uint32_t failures = 0;
    /// Share of failed requests among the recent ones, at ratedAt.
    double failureRate = 0;
    Base::Instant ratedAt;
    std::optional<Base::Instant> ejectedUntil;
    /// End and length of the last ejection for a violation of the protocol.
    std::optional<Base::Instant> violatorUntil;
    Base::Duration violatorTime{};
    bool hasAnnouncedLeaving = false;
    bool isZoneClosed = false;
    /// End of the last period without permits of the server's request limit.
    Base::Instant exhaustedUntil;
    Base::Duration nextEjection{};
    /// Parts of prompts that this daemon sent to the server, most recent first.
    std::list<std::uint64_t> recentParts;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> cachedParts;

    void addCachedPart(std::uint64_t part, std::size_t limit);
    bool isLeaving() const { return listed.server.isLeaving || hasAnnouncedLeaving; }
    bool mayGetRequests() const { return !isLeaving() && !isZoneClosed; }
};

void RequestPlacer::Server::addCachedPart(std::uint64_t part, std::size_t limit)
{
    if (const auto known = cachedParts.find(part); known != cachedParts.end()) {
        recentParts.splice(recentParts.begin(), recentParts, known->second);
        return;
    }
    recentParts.push_front(part);
    cachedParts.emplace(part, recentParts.begin());
    if (cachedParts.size() > limit) {
        cachedParts.erase(recentParts.back());
        recentParts.pop_back();
    }
}

RequestPlacer::RequestPlacer(Base::ZoneId zone, PlacementSettings settings, std::uint64_t seed)
    : zone_(std::move(zone))
    , settings_(settings)
    , random_(seed)
{}

RequestPlacer::~RequestPlacer() = default;

void RequestPlacer::serversChanged(const std::vector<ListedServer> &servers)
{
    std::unordered_map<Base::ServerId, std::unique_ptr<Server>> next;
    for (const ListedServer &listed : servers) {
        const auto known = servers_.find(listed.server.id);
        const bool isSameInstance = known != servers_.end() && known->second
                                    && known->second->listed.startedAt == listed.startedAt;
        std::unique_ptr<Server> server
            = isSameInstance ? std::move(known->second) : std::make_unique<Server>();
        server->listed = listed;
        server->isZoneClosed = closures_.isClosed(listed.server.zone);
        if (!isSameInstance) {
            server->nextEjection = settings_.firstEjection;
        }
        next[listed.server.id] = std::move(server);
    }
    servers_ = std::move(next);
    updateAffinity();
}

/// Servers that get no requests keep no prompt parts for others.
void RequestPlacer::updateAffinity()
{
    for (auto &[service, costs] : costs_) {
        std::vector<Base::ServerId> ids;
        for (const auto &[id, server] : servers_) {
            if (server->listed.server.service == service && server->mayGetRequests()) {
                ids.push_back(id);
            }
        }
        std::sort(ids.begin(), ids.end());
        costs.affinity.serversChanged(std::move(ids));
    }
}

void RequestPlacer::placeByCost(const Base::ServiceId &service)
{
    if (costs_.try_emplace(service).second) {
        updateAffinity();
    }
}

ClosureChanges RequestPlacer::applyClosures(const std::vector<ClosedZone> &closed,
                                            std::uint64_t revision,
                                            Base::Instant now)
{
    ClosureChanges changes = closures_.apply(closed, revision, now);
    for (auto &[id, server] : servers_) {
        server->isZoneClosed = closures_.isClosed(server->listed.server.zone);
    }
    updateAffinity();
    return changes;
}

RequestPlacer::Server *RequestPlacer::find(const ServerInstance &instance)
{
    const auto server = servers_.find(instance.id);
    const bool isSameInstance
        = server != servers_.end() && server->second->listed.startedAt == instance.startedAt;
    return isSameInstance ? server->second.get() : nullptr;
}

const RequestPlacer::Server *RequestPlacer::find(const ServerInstance &instance) const
{
    return isListed(instance) ? servers_.at(instance.id).get() : nullptr;
}

bool RequestPlacer::isListed(const ServerInstance &instance) const
{
    const auto server = servers_.find(instance.id);
    return server != servers_.end() && server->second->listed.startedAt == instance.startedAt;
}

std::optional<std::string> RequestPlacer::addressOf(const ServerInstance &instance) const
{
    return isListed(instance) ? std::optional(servers_.at(instance.id)->listed.server.address)
                              : std::nullopt;
}

bool RequestPlacer::isAvailable(const ServerInstance &instance) const
{
    const Server *server = find(instance);
    return server && server->mayGetRequests();
}

bool RequestPlacer::isInClosedZone(const ServerInstance &instance) const
{
    const Server *server = find(instance);
    return server && server->isZoneClosed;
}

bool RequestPlacer::hasOnlyClosedServers(const Base::ServiceId &service,
                                         const std::optional<Base::SoftwareVersion> &version) const
{
    bool hasClosed = false;
    for (const auto &[id, server] : servers_) {
        const bool isOtherVersion = version && server->listed.version != *version;
        if (server->listed.server.service != service || server->isLeaving() || isOtherVersion) {
            continue;
        }
        if (!server->isZoneClosed) {
            return false;
        }
        hasClosed = true;
    }
    return hasClosed;
}

bool RequestPlacer::hasServer(const Base::ServiceId &service) const
{
    return std::any_of(servers_.begin(), servers_.end(), [&](const auto &entry) {
        return entry.second->listed.server.service == service && entry.second->mayGetRequests();
    });
}

double RequestPlacer::loadOf(const Server &server, Base::Instant now) const
{
    const double age = Base::toSeconds(now - server.reportedAt);
    const double decay = std::exp(-age / Base::toSeconds(settings_.reportDecayTime));
    const auto costs = costs_.find(server.listed.server.service);
    // A server without a recent report is as busy as the others, not idle.
    const double mean = costs == costs_.end() ? 0 : costs->second.meanOthersLoad;
    return server.running + mean + (server.othersLoad - mean) * decay;
}

/// Without the decay, a server that is avoided would never show that it works again.
double RequestPlacer::failureRateOf(const Server &server, Base::Instant now) const
{
    const double age = Base::toSeconds(now - server.ratedAt);
    return server.failureRate * std::exp(-age / Base::toSeconds(settings_.failureDecayTime));
}

void RequestPlacer::recordOutcome(Server &server, bool isFailure, Base::Instant now)
{
    const double rate = failureRateOf(server, now);
    server.failureRate = rate + settings_.failureWeight * ((isFailure ? 1 : 0) - rate);
    server.ratedAt = now;
}

Base::Tokens RequestPlacer::cachedAt(const Server &server,
                                     const std::vector<PromptPart> &prompt) const
{
    Base::Tokens cached;
    for (const PromptPart &part : prompt) {
        if (!server.cachedParts.contains(part.key)) {
            break;
        }
        cached += part.tokens;
    }
    return cached;
}

Base::Tokens RequestPlacer::missingAt(const Server &server,
                                      const std::vector<PromptPart> &prompt) const
{
    Base::Tokens missing;
    bool isMissing = false;
    for (const PromptPart &part : prompt) {
        // Other daemons send the part to the same servers; elsewhere it is evicted soon.
        const bool isKept = homes_ && &part == &prompt.front()
                                ? homes_->contains(server.listed.server.id)
                                : server.cachedParts.contains(part.key);
        isMissing = isMissing || !isKept;
        missing += isMissing ? part.tokens : Base::Tokens();
    }
    return missing;
}

std::optional<Base::Duration> RequestPlacer::expectedTimeAt(const Server &server,
                                                            const std::vector<PromptPart> &prompt,
                                                            Base::Instant now) const
{
    if (!current_) {
        return std::nullopt;
    }
    const double slots = std::max(1U, server.listed.server.slots);
    const double running = std::min(loadOf(server, now), slots);
    const double milliseconds
        = current_->model.baseMs() + current_->model.readingMs(missingAt(server, prompt), running);
    return std::chrono::duration_cast<Base::Duration>(
        std::chrono::duration<double, std::milli>(milliseconds));
}

double RequestPlacer::estimatedCostOf(Server &server,
                                      const std::vector<PromptPart> &prompt,
                                      Base::Instant now)
{
    const double load = loadOf(server, now);
    const double slots = std::max(1U, server.listed.server.slots);
    const double waiting = std::max(0.0, load + 1 - slots);
    const bool isSlownessKnown = now - server.slownessAt < settings_.slownessTime;
    const double slowness = isSlownessKnown ? server.slowness / 100.0 : 1;
    const double latency
        = server.meanLatencyMs >= 0 ? server.meanLatencyMs : current_->model.baseMs();
    const double work
        = load * settings_.costPerRunningMs + latency * (1 + waiting / slots)
          + current_->model.readingMs(missingAt(server, prompt), std::min(load, slots));
    const double zone = server.listed.server.zone == zone_ ? 0 : settings_.crossZoneCostMs;
    const double cost
        = zone + work * slowness + failureRateOf(server, now) * settings_.failureCostMs;
    return cost * (1 + settings_.jitter * random_.unit());
}

double RequestPlacer::costOf(Server &server,
                             const std::vector<PromptPart> &prompt,
                             Base::Instant now)
{
    if (current_) {
        return estimatedCostOf(server, prompt, now);
    }
    const double load = loadOf(server, now);
    const double slots = std::max(1U, server.listed.server.slots);
    double cost = server.listed.server.zone == zone_ ? 0 : settings_.crossZoneCostMs;
    cost += load * settings_.costPerRunningMs;
    if (server.meanLatencyMs >= 0) {
        // A request in excess of the slots waits until an earlier one ends.
        const double waiting = std::max(0.0, load + 1 - slots);
        cost += server.meanLatencyMs * (1 + waiting / slots);
    }
    std::int64_t missing = 0;
    bool isMissing = false;
    for (const PromptPart &part : prompt) {
        isMissing = isMissing || !server.cachedParts.contains(part.key);
        missing += isMissing ? part.tokens.value() : 0;
    }
    cost += static_cast<double>(missing) / settings_.prefillTokensPerMs;
    cost += failureRateOf(server, now) * settings_.failureCostMs;
    return cost * (1 + settings_.jitter * random_.unit());
}

std::optional<Placement> RequestPlacer::choose(const Base::ServiceId &service,
                                               const std::vector<PromptPart> &prompt,
                                               const std::vector<Base::ServerId> &excluded,
                                               Base::Instant now,
                                               const std::optional<Base::SoftwareVersion> &version)
{
    const std::vector<Base::ZoneId> spared = zonesToSpare(now);
    Server *best = nullptr;
    Rank bestRank;
    const auto costs = costs_.find(service);
    current_ = costs == costs_.end() ? nullptr : &costs->second;
    homes_ = nullptr;
    if (current_ && prompt.size() > 1) {
        current_->affinity.observe(prompt.front().key, now);
        homes_ = current_->affinity.homesOf(prompt.front().key, now);
    }
    for (auto &[id, server] : servers_) {
        const bool isExcluded = std::find(excluded.begin(), excluded.end(), id) != excluded.end();
        const bool isOtherVersion = version && server->listed.version != *version;
        if (server->listed.server.service != service || !server->mayGetRequests() || isExcluded
            || isOtherVersion) {
            continue;
        }
        Rank rank = rankOf(*server, prompt, now);
        rank.isSpared
            = std::find(spared.begin(), spared.end(), server->listed.server.zone) != spared.end();
        if (!best || rank < bestRank) {
            best = server.get();
            bestRank = rank;
        }
    }
    if (!best) {
        return std::nullopt;
    }
    return Placement{best->listed.instance(),
                     best->listed.server.address,
                     loadOf(*best, now),
                     best->listed.server.slots,
                     cachedAt(*best, prompt),
                     missingAt(*best, prompt),
                     expectedTimeAt(*best, prompt, now),
                     best->listed.version,
                     hasRoomForNewWork(*best, now),
                     bestRank.isExhausted};
}

/// Drawn once for each placement: drawn for each server, a zone with many would hardly be left out.
std::vector<Base::ZoneId> RequestPlacer::zonesToSpare(Base::Instant now)
{
    std::vector<Base::ZoneId> zones = closures_.returningZones(now);
    std::erase_if(zones, [&](const Base::ZoneId &zone) {
        return random_.unit() < closures_.returnShare(zone, now);
    });
    return zones;
}

bool RequestPlacer::hasRoomForNewWork(const Server &server, Base::Instant now) const
{
    const double slots = std::max(1U, server.listed.server.slots);
    return loadOf(server, now) < (1 - settings_.newWorkReserve) * slots;
}

RequestPlacer::Rank RequestPlacer::rankOf(Server &server,
                                          const std::vector<PromptPart> &prompt,
                                          Base::Instant now)
{
    Rank rank;
    rank.isEjected = (server.ejectedUntil && now < *server.ejectedUntil)
                     || (server.violatorUntil && now < *server.violatorUntil);
    rank.isExhausted = now < server.exhaustedUntil;
    rank.cost = rank.isExhausted ? Base::toSeconds(server.exhaustedUntil - now)
                                 : costOf(server, prompt, now);
    return rank;
}

void RequestPlacer::requestSent(const ServerInstance &instance,
                                const std::vector<PromptPart> &prompt)
{
    Server *server = find(instance);
    if (!server) {
        return;
    }
    ++server->running;
    for (const PromptPart &part : prompt) {
        server->addCachedPart(part.key, settings_.maxCachedParts);
    }
}

void RequestPlacer::requestEnded(const ServerInstance &instance)
{
    if (Server *server = find(instance); server && server->running > 0) {
        --server->running;
    }
}

void RequestPlacer::responseReceived(const ServerInstance &instance,
                                     Base::Duration latency,
                                     Base::Instant now)
{
    Server *server = find(instance);
    if (!server) {
        return;
    }
    recordOutcome(*server, false, now);
    const double milliseconds = Base::toSeconds(latency) * 1000;
    server->meanLatencyMs
        = server->meanLatencyMs < 0
              ? milliseconds
              : server->meanLatencyMs
                    + settings_.latencyWeight * (milliseconds - server->meanLatencyMs);
    server->failures = 0;
    server->nextEjection = settings_.firstEjection;
    server->ejectedUntil.reset();
}

void RequestPlacer::requestFailed(const ServerInstance &instance, Base::Instant now)
{
    Server *server = find(instance);
    if (!server) {
        return;
    }
    recordOutcome(*server, true, now);
    ++server->failures;
    if (server->failures < settings_.failuresToEject) {
        return;
    }
    server->ejectedUntil = now + server->nextEjection;
    server->nextEjection = std::min(settings_.longestEjection, 2 * server->nextEjection);
    server->failures = 0;
}

/// A response begins with a valid head before it breaks, so the heads of other responses do not end
/// the ejection.
void RequestPlacer::protocolViolated(const ServerInstance &instance, Base::Instant now)
{
    Server *server = find(instance);
    if (!server) {
        return;
    }
    recordOutcome(*server, true, now);
    if (server->violatorUntil && now < *server->violatorUntil) {
        return; // the request was sent before the ejection
    }
    const bool isRepeated
        = server->violatorUntil && now - *server->violatorUntil < settings_.longestEjection;
    server->violatorTime = isRepeated
                               ? std::min(settings_.longestEjection, 2 * server->violatorTime)
                               : settings_.firstEjection;
    server->violatorUntil = now + server->violatorTime;
}

void RequestPlacer::permitDenied(const ServerInstance &instance, Base::Instant until)
{
    if (Server *server = find(instance)) {
        server->exhaustedUntil = until;
    }
}

void RequestPlacer::leavingAnnounced(const ServerInstance &instance)
{
    if (Server *server = find(instance)) {
        server->hasAnnouncedLeaving = true;
    }
}

void RequestPlacer::loadReported(const ServerInstance &instance,
                                 std::uint32_t running,
                                 std::uint32_t waiting,
                                 Base::Instant now)
{
    Server *server = find(instance);
    if (!server) {
        return;
    }
    server->othersLoad = std::max(0.0, double(running) + waiting - server->running);
    server->reportedAt = now;
    if (const auto costs = costs_.find(server->listed.server.service); costs != costs_.end()) {
        double &mean = costs->second.meanOthersLoad;
        mean += settings_.reportWeight * (server->othersLoad - mean);
    }
}

void RequestPlacer::slownessReported(const ServerInstance &instance,
                                     std::uint32_t percent,
                                     Base::Instant now)
{
    Server *server = find(instance);
    if (server && percent >= settings_.minSlowness && percent <= settings_.maxSlowness) {
        server->slowness = percent;
        server->slownessAt = now;
    }
}

void RequestPlacer::costObserved(const Base::ServiceId &service,
                                 Base::Tokens missing,
                                 Base::Duration time)
{
    if (const auto costs = costs_.find(service); costs != costs_.end()) {
        costs->second.model.responded(missing, time);
    }
}

} // namespace Dispatch
