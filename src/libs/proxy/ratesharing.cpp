#include "ratesharing.h"

#include <base/random.h>

#include <map>

namespace Proxy {

namespace {

/// A coordinator answers the join requests of the whole fleet: 128 per second with 64 daemons.
constexpr Base::Duration joinInterval = std::chrono::milliseconds(500);

/// Covers two join requests. Short compared to the windows of 5 s over which limits are counted, as
/// a daemon whose coordinator changes is a member of two pools for that long.
constexpr Base::Duration membership = std::chrono::milliseconds(1100);

/// Covers one join request and its response. Failed allocations take longer to show that the store
/// cannot be reached.
constexpr Base::Duration majorityTimeout = std::chrono::milliseconds(600);

/// Requests for one permit before this daemon grants it from its own share.
constexpr int maxPermitAttempts = 3;

/// A request is retransmitted after 30 ms, and its response may take as long.
constexpr Base::Duration responseRetention = std::chrono::milliseconds(200);

std::string coordinatorKey(std::size_t group)
{
    return "rates/" + std::to_string(group);
}

} // namespace

RateSharing::RateSharing(asio::io_context &context,
                         Base::VmId self,
                         PeerLink &peers,
                         std::function<Base::Instant()> now)
    : self_(std::move(self))
    , peers_(peers)
    , now_(std::move(now))
    , timer_(context)
    , pools_{Admission::PermitPool(membership),
             Admission::PermitPool(membership),
             Admission::PermitPool(membership),
             Admission::PermitPool(membership)}
{}

std::size_t RateSharing::groupOf(std::string_view name)
{
    return Base::hash64(name) % groupCount;
}

Base::VmId RateSharing::rosterCoordinator(std::size_t group) const
{
    return peers_.roster().coordinatorFor(coordinatorKey(group), now_());
}

/// An isolated daemon grants permits from its own share only.
Base::VmId RateSharing::coordinatorOf(std::size_t group) const
{
    return peers_.isIsolated() ? self_ : rosterCoordinator(group);
}

std::vector<Base::VmId> RateSharing::coordinators() const
{
    std::vector<Base::VmId> result;
    for (std::size_t group = 0; group < groupCount; ++group) {
        const Base::VmId coordinator = rosterCoordinator(group);
        if (std::find(result.begin(), result.end(), coordinator) == result.end()) {
            result.push_back(coordinator);
        }
    }
    return result;
}

void RateSharing::configure(const Admission::TeamLimits &limits)
{
    std::array<Admission::TeamLimits, groupCount> parts;
    limited_.clear();
    for (const auto &[team, limit] : limits) {
        limited_.insert(team);
        parts[groupOf(team.text())].emplace_back(team, limit);
    }
    for (std::size_t group = 0; group < groupCount; ++group) {
        pools_[group].configure(parts[group], now_());
    }
}

void RateSharing::setDaemonCount(std::size_t count)
{
    for (Admission::PermitPool &pool : pools_) {
        pool.setDaemonCount(count, now_());
    }
    if (!isStarted_) {
        isStarted_ = true;
        joinPools();
    }
}

void RateSharing::acquire(const Base::TeamId &team,
                          Admission::Urgency urgency,
                          PermitCallback callback)
{
    if (!limited_.contains(team)) {
        callback({});
        return;
    }
    acquire({groupOf(team.text()),
             [team, urgency](RequestNumber number) {
                 return PermitRequest{number, team, urgency};
             },
             [team, urgency](Admission::PermitPool &pool, Base::Instant now) {
                 return pool.admit(team, urgency, now);
             },
             std::move(callback)});
}

void RateSharing::acquire(PermitTask task)
{
    requestPermit(std::make_shared<const PermitTask>(std::move(task)), 1);
}

Admission::PermitVerdict RateSharing::decideLocally(const PermitTask &task)
{
    const Base::Instant now = now_();
    Admission::PermitPool &pool = pools_[task.group];
    pool.renewMembership(self_, now);
    return task.decide(pool, now);
}

void RateSharing::onPermitResponse(const PermitTask &task,
                                   const Base::VmId &coordinator,
                                   const PermitResponse &response)
{
    if (!response.verdict.isAdmitted || !task.isPartial(response)) {
        task.callback(response.verdict);
        return;
    }
    Admission::PermitVerdict verdict = decideLocally(task);
    if (verdict.isAdmitted) {
        verdict.wait = std::max(verdict.wait, response.verdict.wait);
    } else {
        task.returnPermit(coordinator);
    }
    task.callback(verdict);
}

void RateSharing::requestPermit(const std::shared_ptr<const PermitTask> &task, int attempt)
{
    const Base::VmId coordinator = coordinatorOf(task->group);
    if (coordinator == self_ || attempt > maxPermitAttempts) {
        task->callback(decideLocally(*task));
        return;
    }
    const RequestNumber number = peers_.nextRequestNumber();
    peers_.sendRequest(coordinator,
                       number,
                       task->makeRequest(number),
                       [this, task, attempt, coordinator](const PeerBody *body) {
                           if (const auto *response
                               = body ? std::get_if<PermitResponse>(body) : nullptr) {
                               onPermitResponse(*task, coordinator, *response);
                           } else {
                               requestPermit(task, attempt + 1);
                           }
                       });
}

void RateSharing::refund(const Base::TeamId &team)
{
    const Base::VmId coordinator = coordinatorOf(groupOf(team.text()));
    if (coordinator == self_) {
        onPermitReturn({team});
    } else {
        peers_.send(coordinator, PermitReturn{team});
    }
}

void RateSharing::onPermitReturn(const PermitReturn &permit)
{
    pools_[groupOf(permit.team.text())].refund(permit.team, now_());
}

void RateSharing::onPermitRequest(const Base::VmId &sender, const PermitRequest &request)
{
    respond(sender,
            request.number,
            groupOf(request.team.text()),
            [&request](Admission::PermitPool &pool, Base::Instant now) {
                return pool.admit(request.team, request.urgency, now);
            });
}

void RateSharing::respond(
    const Base::VmId &sender,
    RequestNumber number,
    std::size_t group,
    const std::function<Admission::PermitVerdict(Admission::PermitPool &, Base::Instant)> &decide,
    bool isColdApplied)
{
    const Base::Instant now = now_();
    while (!recentResponses_.empty()
           && now - recentResponses_.front().sentAt >= responseRetention) {
        recentResponses_.pop_front();
    }
    for (const SentResponse &sent : recentResponses_) {
        if (sent.sender == sender && sent.response.number == number) {
            peers_.send(sender, sent.response);
            return;
        }
    }
    Admission::PermitPool &pool = pools_[group];
    pool.renewMembership(sender, now);
    const PermitResponse response{number, decide(pool, now), isColdApplied};
    recentResponses_.push_back({sender, response, now});
    peers_.send(sender, response);
}

void RateSharing::onPoolJoin(const Base::VmId &sender, const PoolJoinRequest &request)
{
    for (const TeamGroup group : request.groups) {
        if (group.value() >= 0 && static_cast<std::size_t>(group.value()) < groupCount) {
            pools_[static_cast<std::size_t>(group.value())].renewMembership(sender, now_());
        }
    }
    PoolJoinResponse response;
    response.number = request.number;
    response.hasMajority = hasLocalMajority();
    for (const JoinExchange &exchange : joinExchanges_) {
        exchange.fillResponse(request, response);
    }
    peers_.send(sender, std::move(response));
}

bool RateSharing::hasLocalMajority() const
{
    const Base::Instant since = now_() - majorityTimeout;
    return std::any_of(pools_.begin(), pools_.end(), [&](const Admission::PermitPool &pool) {
        return pool.hasMajoritySince(since);
    });
}

bool RateSharing::hasMajority() const
{
    return hasLocalMajority() || (lastMajorityAt_ && *lastMajorityAt_ >= now_() - majorityTimeout);
}

/// Adds this daemon's share of the rates to the pool of every group, with one datagram for each
/// coordinator.
void RateSharing::joinPools()
{
    std::map<Base::VmId, std::vector<TeamGroup>> coordinators;
    for (std::size_t group = 0; group < groupCount; ++group) {
        const Base::VmId coordinator = rosterCoordinator(group);
        if (coordinator == self_ || peers_.isIsolated()) {
            pools_[group].renewMembership(self_, now_());
        }
        coordinators[coordinator].emplace_back(static_cast<std::int32_t>(group));
    }
    for (auto &[coordinator, groups] : coordinators) {
        if (coordinator != self_) {
            sendJoinRequest(coordinator, std::move(groups));
        }
    }
    scheduleJoin();
}

void RateSharing::sendJoinRequest(const Base::VmId &coordinator, std::vector<TeamGroup> groups)
{
    const RequestNumber number = peers_.nextRequestNumber();
    PoolJoinRequest request;
    request.number = number;
    request.groups = std::move(groups);
    for (const JoinExchange &exchange : joinExchanges_) {
        exchange.fillRequest(request);
    }
    peers_.sendRequest(coordinator,
                       number,
                       std::move(request),
                       [this, coordinator, sentAt = now_()](const PeerBody *body) {
                           if (const auto *response
                               = body ? std::get_if<PoolJoinResponse>(body) : nullptr) {
                               onPoolJoinResponse(coordinator, *response, sentAt);
                           }
                       });
}

void RateSharing::onPoolJoinResponse(const Base::VmId &sender,
                                     const PoolJoinResponse &response,
                                     Base::Instant sentAt)
{
    if (response.hasMajority) {
        lastMajorityAt_ = sentAt;
    }
    for (const JoinExchange &exchange : joinExchanges_) {
        exchange.onResponse(sender, response);
    }
}

void RateSharing::scheduleJoin()
{
    timer_.expires_after(joinInterval);
    timer_.async_wait([this](const std::error_code &error) {
        if (!error) {
            joinPools();
        }
    });
}

} // namespace Proxy
