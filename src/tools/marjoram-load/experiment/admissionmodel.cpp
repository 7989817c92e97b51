#include "admissionmodel.h"

#include <base/visitor.h>

#include <algorithm>

namespace Experiment {

namespace {

/// Calls of a scenario wait for the borrower's own limit, never for a shorter deadline.
constexpr Base::Duration callDeadline = std::chrono::hours(1);

double windowExcess(const std::vector<Base::Instant> &times, const Admission::RateLimit &limit)
{
    double least = 0;
    double worst = -static_cast<double>(limit.burst.value());
    for (std::size_t i = 0; i < times.size(); i++) {
        const double seconds = Base::toSeconds(times[i].time_since_epoch());
        const double before = static_cast<double>(i) - limit.perSecond * seconds;
        least = i == 0 ? before : std::min(least, before);
        worst = std::max(worst, before + 1 - least - static_cast<double>(limit.burst.value()));
    }
    return worst;
}

} // namespace

AdmissionModel::AdmissionModel(EventLoop &loop,
                               const Scenario &scenario,
                               AdmissionMode mode,
                               Admitted admitted,
                               Refused refused)
    : loop_(&loop)
    , scenario_(&scenario)
    , mode_(mode)
    , admitted_(std::move(admitted))
    , refused_(std::move(refused))
    , oneWay_(fromSeconds(scenario.oneWayMilliseconds / 1000))
    , counts_(scenario.teams.size())
    , pendingOfTeam_(scenario.teams.size())
    , admissions_(scenario.teams.size())
{
    const auto daemons = static_cast<double>(scenario.daemons);
    for (std::size_t team = 0; team < scenario.teams.size(); team++) {
        const Admission::RateLimit &limit = scenario.teams[team].limit;
        const auto burst = static_cast<double>(limit.burst.value());
        teamIndex_[scenario.teams[team].team] = team;
        contracts_.emplace_back(limit.perSecond, burst);
        single_.emplace_back(limit.perSecond, burst);
        // A bucket below one permit would never admit anything.
        const FluidBucket part(limit.perSecond / daemons, std::max(1.0, burst / daemons));
        split_.emplace_back(scenario.daemons, part);
        owners_.push_back(team % scenario.daemons);
    }
    startDaemons();
    if (scenario.daemonLossSeconds > 0) {
        loop_->at(instantAt(scenario.daemonLossSeconds), [this] { loseDaemon(); });
    }
}

void AdmissionModel::startDaemons()
{
    for (std::size_t i = 0; i < scenario_->daemons; i++) {
        Daemon daemon;
        daemon.id = Base::IncarnationId(std::to_string(i) + ".1");
        daemon.borrowers = std::make_unique<Admission::RateBorrowerTable>(
            daemon.id, Admission::BorrowerSettings{});
        daemon.lenders = std::make_unique<Admission::RateLenderTable>(Admission::LenderSettings{});
        for (const TeamLoad &team : scenario_->teams) {
            daemon.borrowers->configured(team.team, team.limit);
        }
        daemons_.push_back(std::move(daemon));
    }
    for (std::size_t team = 0; team < owners_.size(); team++) {
        const TeamLoad &load = scenario_->teams[team];
        daemons_[owners_[team]].lenders->acquired(load.team,
                                                  load.limit,
                                                  Base::Epoch(1),
                                                  loop_->now(),
                                                  loop_->now(),
                                                  Base::Instant::max());
    }
}

// The daemon's calls come again at another; its teams wait for the lease to end.
void AdmissionModel::loseDaemon()
{
    daemons_[0].isLost = true;
    std::vector<Base::RequestId> cut;
    for (const auto &[request, call] : pending_) {
        if (call.daemon == 0) {
            cut.push_back(request);
        }
    }
    std::sort(cut.begin(), cut.end());
    for (const Base::RequestId request : cut) {
        arriveAtBorrower(1 % daemons_.size(), request);
    }
    for (std::size_t team = 0; team < owners_.size(); team++) {
        if (owners_[team] == 0) {
            loop_->after(fromSeconds(scenario_->leaseSeconds), [this, team] { takeOver(team); });
        }
    }
}

void AdmissionModel::takeOver(std::size_t team)
{
    const TeamLoad &load = scenario_->teams[team];
    const Base::Instant now = loop_->now();
    owners_[team] = 1 % daemons_.size();
    const Base::Instant waitUntil = now + Admission::LenderSettings{}.grantLength;
    daemons_[owners_[team]].lenders->acquired(
        load.team, load.limit, Base::Epoch(2), now, waitUntil, Base::Instant::max());
    drain(owners_[team]);
    for (std::size_t i = 0; i < daemons_.size(); i++) {
        if (!daemons_[i].isLost) {
            daemons_[i].borrowers->ownerChanged(load.team, now);
            drain(i);
        }
    }
}

void AdmissionModel::arrive(std::size_t team, std::size_t daemon, Base::RequestId request)
{
    counts_[team].asked++;
    pendingOfTeam_[team]++;
    while (daemons_[daemon].isLost) {
        daemon = (daemon + 1) % daemons_.size();
    }
    pending_[request] = PendingCall{team, daemon, loop_->now()};
    switch (mode_) {
    case AdmissionMode::Grants:
        arriveAtBorrower(daemon, request);
        return;
    case AdmissionMode::StaticSplit:
        arriveAtBucket(split_[team][daemon], request);
        return;
    case AdmissionMode::SingleBucket:
        arriveAtBucket(single_[team], request);
        return;
    }
}

void AdmissionModel::arriveAtBucket(FluidBucket &bucket, Base::RequestId request)
{
    const std::optional<Base::Duration> wait = bucket.arrive(loop_->now(), longestWait_);
    if (!wait) {
        refuse(request);
        return;
    }
    loop_->after(*wait, [this, request] { admit(request); });
}

void AdmissionModel::arriveAtBorrower(std::size_t daemon, Base::RequestId request)
{
    PendingCall &call = pending_.at(request);
    call.daemon = daemon;
    const Base::TeamId &team = scenario_->teams[call.team].team;
    daemons_[daemon].borrowers->arrived(team, request, loop_->now() + callDeadline, loop_->now());
    drain(daemon);
}

void AdmissionModel::drain(std::size_t index)
{
    Daemon &daemon = daemons_[index];
    for (const Admission::BorrowerAction &action : daemon.borrowers->takeActions()) {
        perform(action);
    }
    for (const Admission::SendGrant &action : daemon.lenders->takeActions()) {
        messages_++;
        const auto to = static_cast<std::size_t>(
            std::find_if(daemons_.begin(),
                         daemons_.end(),
                         [&](const Daemon &other) { return other.id == action.borrower; })
            - daemons_.begin());
        loop_->after(oneWay_, [this, to, grant = action.grant] {
            if (!daemons_[to].isLost) {
                daemons_[to].borrowers->granted(grant, loop_->now());
                drain(to);
            }
        });
    }
    arm(index);
}

void AdmissionModel::perform(const Admission::BorrowerAction &action)
{
    std::visit(Base::Visitor{[this](const Admission::AdmitCall &one) { admit(one.request); },
                             [this](const Admission::RefuseCall &one) { refuse(one.request); },
                             [this](const Admission::SendGrantRequest &one) {
                                 toOwner(one.request.team,
                                         [this, one](Admission::RateLenderTable &table) {
                                             table.requested(one.request, loop_->now());
                                         });
                             },
                             [this](const Admission::SendGrantReturn &one) {
                                 toOwner(one.grantReturn.team,
                                         [this, one](Admission::RateLenderTable &table) {
                                             table.returned(one.grantReturn, loop_->now());
                                         });
                             }},
               action);
}

void AdmissionModel::toOwner(const Base::TeamId &team,
                             std::function<void(Admission::RateLenderTable &)> deliver)
{
    messages_++;
    const std::size_t owner = owners_[teamIndex_.at(team)];
    loop_->after(oneWay_, [this, owner, deliver = std::move(deliver)] {
        if (!daemons_[owner].isLost) {
            deliver(*daemons_[owner].lenders);
            drain(owner);
        }
    });
}

void AdmissionModel::arm(std::size_t index)
{
    Daemon &daemon = daemons_[index];
    std::optional<Base::Instant> next = daemon.borrowers->nextWakeUp();
    if (const auto lender = daemon.lenders->nextWakeUp()) {
        next = next ? std::min(*next, *lender) : *lender;
    }
    if (!next || (daemon.timer && *daemon.timer <= *next)) {
        return;
    }
    const Base::Instant due = std::max(*next, loop_->now() + Base::Duration(1));
    daemon.timer = due;
    loop_->at(due, [this, index, due] {
        Daemon &woken = daemons_[index];
        if (woken.isLost || woken.timer != due) {
            return;
        }
        woken.timer.reset();
        woken.lenders->tick(loop_->now());
        woken.borrowers->tick(loop_->now());
        drain(index);
    });
}

void AdmissionModel::admit(Base::RequestId request)
{
    const std::size_t team = pending_.at(request).team;
    pending_.erase(request);
    pendingOfTeam_[team]--;
    contracts_[team].take(loop_->now());
    admissions_[team].push_back(loop_->now());
    admitted_(request);
}

void AdmissionModel::refuse(Base::RequestId request)
{
    const PendingCall call = pending_.at(request);
    pending_.erase(request);
    pendingOfTeam_[call.team]--;
    counts_[call.team].refused++;
    counts_[call.team].refusedWithinRate += isWithinRate(call) ? 1 : 0;
    refused_(request);
}

bool AdmissionModel::isWithinRate(const PendingCall &call)
{
    const Base::Instant latest = call.arrivedAt + longestWait_;
    const double permits = contracts_[call.team].levelAt(latest);
    const auto others = static_cast<double>(pendingOfTeam_[call.team]);
    return permits >= others + 1;
}

double AdmissionModel::worstExcess() const
{
    double worst = -1e18;
    for (std::size_t team = 0; team < admissions_.size(); team++) {
        worst = std::max(worst, windowExcess(admissions_[team], scenario_->teams[team].limit));
    }
    return worst;
}

} // namespace Experiment
