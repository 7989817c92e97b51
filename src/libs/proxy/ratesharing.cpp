#include "ratesharing.h"

namespace Proxy {

namespace {

/// Demand moves between daemons within about a second; the bounds count in windows of 5 s.
constexpr Base::Duration statementInterval = std::chrono::milliseconds(250);

/// Longer than some lost statements, and short against the windows in which limits are counted.
constexpr Base::Duration shareValidity = std::chrono::milliseconds(1000);

/// Two statements; a claim that fails tells later that the store is away.
constexpr Base::Duration contactTime = std::chrono::milliseconds(600);

/// All rates are divided by one daemon at a time.
constexpr const char *dutyName = "rates";

} // namespace

RateSharing::RateSharing(asio::io_context &context,
                         Base::VmId self,
                         PeerLink &peers,
                         std::function<Base::Instant()> now)
    : self_(std::move(self))
    , peers_(peers)
    , now_(std::move(now))
    , timer_(context)
    , pool_(shareValidity)
{}

void RateSharing::configure(const TeamLimits &limits)
{
    shares_.configure(limits, now_());
    pool_.configure(limits);
}

void RateSharing::setDaemonCount(std::size_t count)
{
    pool_.setDaemonCount(count);
    shares_.setShare(1.0 / static_cast<double>(std::max<std::size_t>(1, count)), now_());
    if (!isStarted_) {
        isStarted_ = true;
        stateDemand();
    }
}

Admission::ShareVerdict RateSharing::admit(const Base::TeamId &team, Admission::Urgency urgency)
{
    return shares_.admit(team, urgency, now_());
}

void RateSharing::refund(const Base::TeamId &team)
{
    shares_.refund(team, now_());
}

void RateSharing::onRateStatement(const Base::VmId &sender, const RateStatement &statement)
{
    const Base::Instant now = now_();
    RateAnswer answer{statement.number, pool_.stated(sender, statement.demands, now)};
    answer.hearsMost = pool_.hearsMostSince(now - contactTime);
    peers_.answer(sender, std::move(answer));
}

bool RateSharing::isWithMost() const
{
    const Base::Instant since = now_() - contactTime;
    if (peers_.roster().isFirstChoice(dutyName)) {
        return pool_.hearsMostSince(since);
    }
    return wasWithMostAt_ && *wasWithMostAt_ >= since;
}

void RateSharing::stateDemand()
{
    const Base::Instant askedAt = now_();
    const Base::VmId divider = peers_.roster().onDuty(dutyName, askedAt);
    const std::vector<Admission::TeamDemand> demands = shares_.demands(askedAt);
    if (divider == self_) {
        shares_.setTeamShares(
            pool_.stated(self_, demands, askedAt), askedAt + shareValidity, askedAt);
        stateLater();
        return;
    }
    const QuestionNumber number = peers_.nextNumber();
    peers_.ask(
        divider, number, RateStatement{number, demands}, [this, askedAt](const PeerBody *body) {
            const auto *answer = body ? std::get_if<RateAnswer>(body) : nullptr;
            if (answer) {
                shares_.setTeamShares(answer->shares, askedAt + shareValidity, now_());
            }
        });
    stateLater();
}

void RateSharing::stateLater()
{
    timer_.expires_after(statementInterval);
    timer_.async_wait([this](const std::error_code &error) {
        if (!error) {
            stateDemand();
        }
    });
}

} // namespace Proxy
