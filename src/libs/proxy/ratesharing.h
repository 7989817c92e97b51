#pragma once

#include "peerlink.h"

#include <admission/permitpool.h>

#include <asio/steady_timer.hpp>

#include <array>
#include <deque>
#include <functional>
#include <memory>
#include <set>
#include <string_view>

namespace Proxy {

/// One permit to be granted by the coordinator of a group.
struct PermitTask
{
    std::size_t group = 0;
    std::function<PeerBody(RequestNumber)> makeRequest;
    /// Grants the permit from a pool of this daemon.
    std::function<Admission::PermitVerdict(Admission::PermitPool &, Base::Instant)> decide;
    std::function<void(const Admission::PermitVerdict &)> callback;
    /// The coordinator did not apply all of the request, so its permit needs another one of this
    /// daemon's own share.
    std::function<bool(const PermitResponse &)> isPartial = [](const auto &) { return false; };
    /// Returns the coordinator's permit if this daemon's own share denies one.
    std::function<void(const Base::VmId &coordinator)> returnPermit = [](const auto &) {};
};

/// What daemons tell each other with the join requests of the pools and the responses to them, so
/// that it reaches all daemons without messages of its own.
struct JoinExchange
{
    std::function<void(PoolJoinRequest &)> fillRequest = [](auto &) {};
    std::function<void(const PoolJoinRequest &, PoolJoinResponse &)> fillResponse
        = [](const auto &, auto &) {};
    std::function<void(const Base::VmId &sender, const PoolJoinResponse &)> onResponse
        = [](const auto &, const auto &) {};
};

/// Enforces the rates of teams over the whole fleet. Teams are divided into groups; the group's
/// coordinator by the roster grants the permits of its teams, one for each request. This class
/// requests permits and grants those of the groups that this daemon coordinates. Backend servers
/// with a limit belong to the same groups and pools, see RequestLimitSharing.
class RateSharing
{
public:
    using PermitCallback = std::function<void(const Admission::PermitVerdict &)>;

    static constexpr std::size_t groupCount = 4;

    RateSharing(asio::io_context &context,
                Base::VmId self,
                PeerLink &peers,
                std::function<Base::Instant()> now);

    void configure(const Admission::TeamLimits &limits);
    /// Sets the number of daemons in the fleet, unresponsive ones included.
    void setDaemonCount(std::size_t count);

    /// Calls back once, either immediately or after the response of the group's coordinator.
    void acquire(const Base::TeamId &team, Admission::Urgency urgency, PermitCallback callback);
    /// Returns a permit that was not used.
    void refund(const Base::TeamId &team);
    /// Has the task's permit granted by the coordinator of its group, or from this daemon's own
    /// share if no coordinator responds. Calls back once.
    void acquire(PermitTask task);
    /// Answers a peer's request for a permit; a retransmission gets the earlier answer again.
    void respond(const Base::VmId &sender,
                 RequestNumber number,
                 std::size_t group,
                 const std::function<Admission::PermitVerdict(Admission::PermitPool &,
                                                              Base::Instant)> &decide,
                 bool isColdApplied = false);
    static std::size_t groupOf(std::string_view name);
    /// The coordinator of the group by the roster.
    Base::VmId rosterCoordinator(std::size_t group) const;
    /// The daemon that grants this one its permits: the coordinator, or itself if it is isolated.
    Base::VmId coordinatorOf(std::size_t group) const;
    Admission::PermitPool &pool(std::size_t group) { return pools_[group]; }
    void addJoinExchange(JoinExchange exchange) { joinExchanges_.push_back(std::move(exchange)); }

    /// Whether this daemon is connected to the majority of the fleet: it receives the join requests
    /// of a majority itself, or a coordinator that it reaches does.
    bool hasMajority() const;

    /// The daemons that grant permits, each once, in the order of their groups. Every daemon
    /// receives a message from each of them twice per second.
    std::vector<Base::VmId> coordinators() const;

    void onPoolJoin(const Base::VmId &sender, const PoolJoinRequest &request);
    void onPermitRequest(const Base::VmId &sender, const PermitRequest &request);
    void onPermitReturn(const PermitReturn &permit);

private:
    /// Kept to be sent again if the request is retransmitted.
    struct SentResponse
    {
        Base::VmId sender;
        PermitResponse response;
        Base::Instant sentAt;
    };

    Admission::PermitVerdict decideLocally(const PermitTask &task);
    void onPermitResponse(const PermitTask &task,
                          const Base::VmId &coordinator,
                          const PermitResponse &response);
    void requestPermit(const std::shared_ptr<const PermitTask> &task, int attempt);
    void joinPools();
    void sendJoinRequest(const Base::VmId &coordinator, std::vector<TeamGroup> groups);
    void onPoolJoinResponse(const Base::VmId &sender,
                            const PoolJoinResponse &response,
                            Base::Instant sentAt);
    void scheduleJoin();
    bool hasLocalMajority() const;

    Base::VmId self_;
    PeerLink &peers_;
    std::function<Base::Instant()> now_;
    asio::steady_timer timer_;
    /// Pools of all groups; members join those of the groups that this daemon coordinates.
    std::array<Admission::PermitPool, groupCount> pools_;
    /// Teams that have a limit.
    std::set<Base::TeamId> limited_;
    std::deque<SentResponse> recentResponses_;
    std::vector<JoinExchange> joinExchanges_;
    /// When the last join request was sent whose response confirmed a majority.
    std::optional<Base::Instant> lastMajorityAt_;
    bool isStarted_ = false;
};

} // namespace Proxy
