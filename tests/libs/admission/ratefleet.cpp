#include "ratefleet.h"

#include <base/visitor.h>

#include <algorithm>

namespace {

constexpr Base::Duration leaseLength = std::chrono::seconds(1);
constexpr Base::Duration renewInterval = std::chrono::milliseconds(300);

} // namespace

RateFleet::RateFleet(std::size_t daemons, Network network, std::uint64_t seed)
    : network_(network)
    , random_(seed)
    , daemons_(daemons)
{
    for (Daemon &daemon : daemons_) {
        start(daemon);
    }
}

void RateFleet::start(Daemon &daemon)
{
    const auto index = static_cast<std::size_t>(&daemon - daemons_.data());
    daemon.starts++;
    daemon.id = Base::IncarnationId(std::to_string(index) + "." + std::to_string(daemon.starts));
    daemon.borrowers
        = std::make_unique<Admission::RateBorrowerTable>(daemon.id, Admission::BorrowerSettings{});
    daemon.lenders = std::make_unique<Admission::RateLenderTable>(Admission::LenderSettings{});
    daemon.timer.reset();
    for (const auto &[name, team] : teams_) {
        daemon.borrowers->configured(name, team.limit);
    }
}

void RateFleet::addTeam(const Base::TeamId &team, Admission::RateLimit limit, std::size_t owner)
{
    teams_[team] = Team{limit, owner, Base::Epoch(), {}};
    for (Daemon &daemon : daemons_) {
        daemon.borrowers->configured(team, limit);
    }
    replaceOwner(team, owner, now_);
}

void RateFleet::call(const Base::TeamId &team, std::size_t daemon, Base::Instant at)
{
    const Base::RequestId request(++lastRequest_);
    callAt_[request] = at;
    schedule(at, daemon, [this, team, daemon, request] {
        const Base::Instant deadline = now_ + std::chrono::seconds(10);
        daemons_[daemon].borrowers->arrived(team, request, deadline, now_);
    });
}

void RateFleet::pause(std::size_t daemon, Base::Instant at, Base::Duration duration)
{
    schedule(
        at, daemon, [this, daemon, duration] { daemons_[daemon].pausedUntil = now_ + duration; });
}

void RateFleet::restart(std::size_t daemon, Base::Instant at)
{
    schedule(at, daemon, [this, daemon] { start(daemons_[daemon]); });
}

void RateFleet::replaceOwner(const Base::TeamId &team, std::size_t owner, Base::Instant at)
{
    schedule(at, owner, [this, team, owner] {
        Team &entry = teams_.at(team);
        const Admission::LenderSettings settings;
        const Base::Instant waitUntil
            = entry.epoch == Base::Epoch()
                  ? now_
                  : std::max(now_, entry.leaseUntil) + settings.grantLength;
        entry.owner = owner;
        entry.epoch = entry.epoch.next();
        entry.leaseUntil = now_ + leaseLength;
        daemons_[owner].lenders->acquired(
            team, entry.limit, entry.epoch, now_, waitUntil, entry.leaseUntil);
        renew(team, owner, entry.epoch);
        for (std::size_t i = 0; i < daemons_.size(); i++) {
            send(i, [this, i, team] { daemons_[i].borrowers->ownerChanged(team, now_); });
        }
    });
}

// The store extends the lease only for the current owner; an earlier owner is not notified.
void RateFleet::renew(const Base::TeamId &team, std::size_t owner, Base::Epoch epoch)
{
    schedule(now_ + renewInterval, owner, [this, team, owner, epoch] {
        Team &entry = teams_.at(team);
        if (entry.owner != owner || entry.epoch != epoch || now_ >= entry.leaseUntil
            || !daemons_[owner].lenders->owns(team)) {
            return;
        }
        entry.leaseUntil = now_ + leaseLength;
        daemons_[owner].lenders->renewed(entry.leaseUntil);
        renew(team, owner, epoch);
    });
}

void RateFleet::run(Base::Instant until)
{
    while (!events_.empty() && events_.top().at <= until) {
        Event event = events_.top();
        events_.pop();
        now_ = std::max(now_, event.at);
        Daemon &daemon = daemons_[event.daemon];
        if (daemon.pausedUntil > now_) {
            schedule(daemon.pausedUntil, event.daemon, event.run);
            continue;
        }
        event.run();
        drain(event.daemon);
    }
    now_ = until;
}

void RateFleet::schedule(Base::Instant at, std::size_t daemon, std::function<void()> run)
{
    events_.push(Event{at, ++order_, daemon, std::move(run)});
}

void RateFleet::send(std::size_t to, const std::function<void()> &deliver)
{
    messages_++;
    const int copies = random_.chance(network_.duplicateChance) ? 2 : 1;
    for (int i = 0; i < copies; i++) {
        if (random_.chance(network_.lossChance)) {
            continue;
        }
        const auto spread = static_cast<std::uint64_t>(network_.longestDelay.count());
        const Base::Duration extra = random_.chance(network_.slowChance)
                                         ? Base::Duration(random_.below(spread))
                                         : Base::Duration(0);
        schedule(now_ + network_.delay + extra, to, deliver);
    }
}

void RateFleet::drain(std::size_t index)
{
    Daemon &daemon = daemons_[index];
    for (const Admission::BorrowerAction &action : daemon.borrowers->takeActions()) {
        perform(index, action);
    }
    for (const Admission::SendGrant &action : daemon.lenders->takeActions()) {
        for (std::size_t i = 0; i < daemons_.size(); i++) {
            if (daemons_[i].id == action.borrower) {
                send(i, [this, i, grant = action.grant] {
                    daemons_[i].borrowers->granted(grant, now_);
                });
            }
        }
    }
    std::optional<Base::Instant> next = daemon.borrowers->nextWakeUp();
    if (const auto lenderNext = daemon.lenders->nextWakeUp()) {
        next = next ? std::min(*next, *lenderNext) : *lenderNext;
    }
    if (!next || (daemon.timer && *daemon.timer <= *next && *daemon.timer > now_)) {
        return;
    }
    daemon.timer = std::max(*next, now_ + std::chrono::microseconds(1));
    schedule(*daemon.timer, index, [this, index] {
        daemons_[index].timer.reset();
        daemons_[index].lenders->tick(now_);
        daemons_[index].borrowers->tick(now_);
    });
}

void RateFleet::perform(std::size_t, const Admission::BorrowerAction &action)
{
    std::visit(Base::Visitor{[this](const Admission::AdmitCall &admit) {
                                 admitted_[admit.team].push_back(now_);
                                 callAt_.erase(admit.request);
                             },
                             [this](const Admission::RefuseCall &refuse) {
                                 refusedCalls_[refuse.team].push_back(callAt_.at(refuse.request));
                                 callAt_.erase(refuse.request);
                             },
                             [this](const Admission::SendGrantRequest &action) {
                                 const std::size_t owner = teams_.at(action.request.team).owner;
                                 send(owner, [this, owner, request = action.request] {
                                     daemons_[owner].lenders->requested(request, now_);
                                 });
                             },
                             [this](const Admission::SendGrantReturn &back) {
                                 const std::size_t owner = teams_.at(back.grantReturn.team).owner;
                                 send(owner, [this, owner, grantReturn = back.grantReturn] {
                                     daemons_[owner].lenders->returned(grantReturn, now_);
                                 });
                             }},
               action);
}

std::size_t RateFleet::refused(const Base::TeamId &team) const
{
    const auto it = refusedCalls_.find(team);
    return it == refusedCalls_.end() ? 0 : it->second.size();
}

std::size_t RateFleet::refusedBetween(const Base::TeamId &team,
                                      Base::Instant from,
                                      Base::Instant to) const
{
    const auto it = refusedCalls_.find(team);
    if (it == refusedCalls_.end()) {
        return 0;
    }
    return static_cast<std::size_t>(
        std::count_if(it->second.begin(), it->second.end(), [&](Base::Instant at) {
            return at >= from && at < to;
        }));
}

double RateFleet::excess(const std::vector<Base::Instant> &times, Admission::RateLimit limit)
{
    double least = 0;
    double worst = -static_cast<double>(limit.burst.value());
    for (std::size_t i = 0; i < times.size(); i++) {
        const double seconds = Base::toSeconds(times[i].time_since_epoch());
        const double before = static_cast<double>(i) - limit.perSecond * seconds;
        least = i == 0 ? before : std::min(least, before);
        const double inWindow = before + 1 - least;
        worst = std::max(worst, inWindow - static_cast<double>(limit.burst.value()));
    }
    return worst;
}

Base::Instant RateFleet::at(double seconds)
{
    return Base::Instant(Base::Duration(static_cast<std::int64_t>(seconds * 1e6)));
}
