#pragma once

#include "peerlink.h"

#include <admission/rateshares.h>

#include <asio/steady_timer.hpp>

namespace Proxy {

using TeamLimits = std::vector<std::pair<Base::TeamId, Admission::RateLimit>>;

/// Keeps the rates of teams over the whole fleet: admits by this daemon's shares, states its demand
/// to the daemon that divides the rates, and divides them while this daemon is on that duty.
class RateSharing
{
public:
    RateSharing(asio::io_context &context,
                Base::VmId self,
                PeerLink &peers,
                std::function<Base::Instant()> now);

    void configure(const TeamLimits &limits);
    /// Daemons of the fleet, whether they answer or not.
    void setDaemonCount(std::size_t count);

    Admission::ShareVerdict admit(const Base::TeamId &team, Admission::Urgency urgency);
    void refund(const Base::TeamId &team);
    /// Whether this daemon is in one part with more than half of the fleet, as far as the first
    /// choice for dividing the rates tells: every daemon states its demand there. While that daemon
    /// is lost nobody is known to be.
    bool isWithMost() const;

    void onRateStatement(const Base::VmId &sender, const RateStatement &statement);

private:
    void stateDemand();
    void stateLater();

    Base::VmId self_;
    PeerLink &peers_;
    std::function<Base::Instant()> now_;
    asio::steady_timer timer_;
    Admission::RateShares shares_;
    Admission::RatePool pool_;
    /// When the statement was sent that the first choice last answered so.
    std::optional<Base::Instant> wasWithMostAt_;
    bool isStarted_ = false;
};

} // namespace Proxy
