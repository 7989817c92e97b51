#pragma once

#include "peerlink.h"

#include <admission/permitpool.h>

#include <asio/steady_timer.hpp>

#include <array>
#include <deque>
#include <set>

namespace Proxy {

/// Keeps the rates of teams over the whole fleet. Teams fall into groups; one daemon, on that duty
/// by the roster, gives the permits of a group's teams, one for each request. This class asks for
/// permits and gives those of the groups that this daemon is on duty for.
class RateSharing
{
public:
    using PermitCallback = std::function<void(const Admission::PermitVerdict &)>;

    RateSharing(asio::io_context &context,
                Base::VmId self,
                PeerLink &peers,
                std::function<Base::Instant()> now);

    void configure(const Admission::TeamLimits &limits);
    /// Daemons of the fleet, whether they answer or not.
    void setDaemonCount(std::size_t count);

    /// Calls back once, at once or after the answer of the daemon on duty.
    void acquire(const Base::TeamId &team, Admission::Urgency urgency, PermitCallback callback);
    /// The permit was not used.
    void giveBack(const Base::TeamId &team);
    /// Whether this daemon is in one part with more than half of the fleet: it hears most daemons,
    /// or one that it hears says so.
    bool hasMajority() const;

    /// The daemons that give permits, each once, in the order of their groups; every daemon hears
    /// from them twice a second.
    std::vector<Base::VmId> coordinators() const;

    void onPoolStatement(const Base::VmId &sender, const PoolStatement &statement);
    void onPermitRequest(const Base::VmId &sender, const PermitRequest &request);
    void onPermitReturn(const PermitReturn &back);

private:
    static constexpr std::size_t groupCount = 4;

    /// An answer that is given again if the question is repeated.
    struct GivenAnswer
    {
        Base::VmId sender;
        PermitAnswer answer;
        Base::Instant givenAt;
    };

    static std::size_t groupOf(const Base::TeamId &team);
    Base::VmId dutyOf(std::size_t group) const;
    Base::VmId coordinatorOf(std::size_t group) const;
    void ask(const Base::TeamId &team,
             Admission::Urgency urgency,
             PermitCallback callback,
             int attempt);
    void state();
    void stateTo(const Base::VmId &coordinator, std::vector<TeamGroup> groups);
    void stateLater();
    bool hearsMost() const;

    Base::VmId self_;
    PeerLink &peers_;
    std::function<Base::Instant()> now_;
    asio::steady_timer timer_;
    /// Pools of the groups; members turn to those of groups that this daemon is on duty for.
    std::array<Admission::PermitPool, groupCount> pools_;
    /// Teams that have a limit.
    std::set<Base::TeamId> limited_;
    std::deque<GivenAnswer> given_;
    /// When the statement was sent that was last answered with the word that most are heard.
    std::optional<Base::Instant> lastMajorityAt_;
    bool isStarted_ = false;
};

} // namespace Proxy
