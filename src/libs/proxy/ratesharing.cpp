#include "ratesharing.h"

#include <base/random.h>

#include <map>

namespace Proxy {

namespace {

/// A home of a group answers the statements of the whole fleet: 128 a second with 64 daemons.
constexpr Base::Duration statementInterval = std::chrono::milliseconds(500);

/// Two statements, and short against the windows of 5 s in which limits are counted, as a daemon
/// that changes sides is a member of two pools for that long.
constexpr Base::Duration membership = std::chrono::milliseconds(1100);

/// A statement and its answer; a claim that fails tells later that the store is away.
constexpr Base::Duration contactTime = std::chrono::milliseconds(600);

/// Questions for one permit before this daemon gives it from its own part.
constexpr int permitAttempts = 3;

/// A question is repeated after 30 ms, and its answer may take as long.
constexpr Base::Duration repeatTime = std::chrono::milliseconds(200);

std::string dutyName(std::size_t group)
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

std::size_t RateSharing::groupOf(const Base::TeamId &team)
{
    return Base::hash64(team.text()) % groupCount;
}

Base::VmId RateSharing::dutyOf(std::size_t group) const
{
    return peers_.roster().coordinatorFor(dutyName(group), now_());
}

/// A daemon that hears nobody gives permits from its own part only.
Base::VmId RateSharing::coordinatorOf(std::size_t group) const
{
    return peers_.isAlone() ? self_ : dutyOf(group);
}

std::vector<Base::VmId> RateSharing::coordinators() const
{
    std::vector<Base::VmId> result;
    for (std::size_t group = 0; group < groupCount; ++group) {
        const Base::VmId coordinator = dutyOf(group);
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
        parts[groupOf(team)].emplace_back(team, limit);
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
        state();
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
    ask(team, urgency, std::move(callback), 1);
}

void RateSharing::ask(const Base::TeamId &team,
                      Admission::Urgency urgency,
                      PermitCallback callback,
                      int attempt)
{
    const std::size_t index = groupOf(team);
    const Base::Instant askedAt = now_();
    const Base::VmId coordinator = coordinatorOf(index);
    if (coordinator == self_ || attempt > permitAttempts) {
        Admission::PermitPool &pool = pools_[index];
        pool.renewMembership(self_, askedAt);
        callback(pool.admit(team, urgency, askedAt));
        return;
    }
    const QuestionNumber number = peers_.nextNumber();
    auto answered
        = [this, team, urgency, callback = std::move(callback), attempt](const PeerBody *body) {
              if (const auto *answer = body ? std::get_if<PermitAnswer>(body) : nullptr) {
                  callback(answer->verdict);
              } else {
                  ask(team, urgency, callback, attempt + 1);
              }
          };
    peers_.ask(coordinator, number, PermitRequest{number, team, urgency}, std::move(answered));
}

void RateSharing::giveBack(const Base::TeamId &team)
{
    const Base::VmId coordinator = coordinatorOf(groupOf(team));
    if (coordinator == self_) {
        onPermitReturn({team});
    } else {
        peers_.answer(coordinator, PermitReturn{team});
    }
}

void RateSharing::onPermitReturn(const PermitReturn &back)
{
    pools_[groupOf(back.team)].refund(back.team, now_());
}

void RateSharing::onPermitRequest(const Base::VmId &sender, const PermitRequest &request)
{
    const Base::Instant now = now_();
    while (!given_.empty() && now - given_.front().givenAt >= repeatTime) {
        given_.pop_front();
    }
    for (const GivenAnswer &given : given_) {
        if (given.sender == sender && given.answer.number == request.number) {
            peers_.answer(sender, given.answer);
            return;
        }
    }
    Admission::PermitPool &pool = pools_[groupOf(request.team)];
    pool.renewMembership(sender, now);
    const PermitAnswer answer{request.number, pool.admit(request.team, request.urgency, now)};
    given_.push_back({sender, answer, now});
    peers_.answer(sender, answer);
}

void RateSharing::onPoolStatement(const Base::VmId &sender, const PoolStatement &statement)
{
    for (const TeamGroup group : statement.groups) {
        if (group.value() >= 0 && static_cast<std::size_t>(group.value()) < groupCount) {
            pools_[static_cast<std::size_t>(group.value())].renewMembership(sender, now_());
        }
    }
    peers_.answer(sender, PoolAnswer{statement.number, hearsMost()});
}

bool RateSharing::hearsMost() const
{
    const Base::Instant since = now_() - contactTime;
    return std::any_of(pools_.begin(), pools_.end(), [&](const Admission::PermitPool &pool) {
        return pool.hasMajoritySince(since);
    });
}

bool RateSharing::hasMajority() const
{
    return hearsMost() || (lastMajorityAt_ && *lastMajorityAt_ >= now_() - contactTime);
}

/// Every group's home is told of this daemon's part, one datagram for each home.
void RateSharing::state()
{
    std::map<Base::VmId, std::vector<TeamGroup>> coordinators;
    for (std::size_t group = 0; group < groupCount; ++group) {
        const Base::VmId coordinator = dutyOf(group);
        if (coordinator == self_ || peers_.isAlone()) {
            pools_[group].renewMembership(self_, now_());
        }
        coordinators[coordinator].emplace_back(static_cast<std::int32_t>(group));
    }
    for (auto &[coordinator, groups] : coordinators) {
        if (coordinator != self_) {
            stateTo(coordinator, std::move(groups));
        }
    }
    stateLater();
}

void RateSharing::stateTo(const Base::VmId &coordinator, std::vector<TeamGroup> groups)
{
    const QuestionNumber number = peers_.nextNumber();
    peers_.ask(coordinator,
               number,
               PoolStatement{number, std::move(groups)},
               [this, statedAt = now_()](const PeerBody *body) {
                   const auto *answer = body ? std::get_if<PoolAnswer>(body) : nullptr;
                   if (answer && answer->hearsMost) {
                       lastMajorityAt_ = statedAt;
                   }
               });
}

void RateSharing::stateLater()
{
    timer_.expires_after(statementInterval);
    timer_.async_wait([this](const std::error_code &error) {
        if (!error) {
            state();
        }
    });
}

} // namespace Proxy
