#include <fleet/membershipview.h>

#include <base/random.h>
#include <base/visitor.h>

#include <criterion/criterion.h>

#include <algorithm>
#include <map>
#include <memory>
#include <set>

using namespace std::chrono_literals;
using namespace Fleet;

namespace {

constexpr Base::Duration step = 100ms;
constexpr std::size_t zoneCount = 3;

Daemon daemonNumber(std::size_t number)
{
    const std::string vm = "entry-vm-" + std::to_string(number);
    return {Base::IncarnationId(vm + ".0123456789ab"),
            Base::VmId(vm),
            Base::ZoneId("zone-" + std::to_string(number % zoneCount)),
            {"10.0." + std::to_string(number / 250) + "." + std::to_string(number % 250), 7400}};
}

/// Connects membership views that exchange messages without delay, in steps of virtual time.
class Exchange
{
public:
    explicit Exchange(std::size_t size)
    {
        for (std::size_t i = 0; i < size; ++i) {
            views_.push_back(
                std::make_unique<MembershipView>(daemonNumber(i), MembershipSettings(), i));
            indices_[daemonNumber(i).incarnation] = i;
            vms_.push_back({daemonNumber(i).vm, daemonNumber(i).zone});
            if (i > 0) {
                views_[i]->addDaemon(daemonNumber(0), now_);
            }
        }
    }

    void run(Base::Duration duration)
    {
        for (const Base::Instant end = now_ + duration; now_ < end; now_ += step) {
            for (std::size_t i = 0; i < views_.size(); ++i) {
                if (!down_.contains(i)) {
                    views_[i]->tick(now_);
                }
                perform(i);
            }
        }
    }

    MembershipView &view(std::size_t i) { return *views_[i]; }
    void setDown(std::size_t i) { down_.insert(i); }
    void setUp(std::size_t i) { down_.erase(i); }
    void cut(std::size_t from, std::size_t to) { cut_.insert({from, to}); }
    std::vector<Vm> &vms() { return vms_; }
    Base::Instant now() const { return now_; }
    std::uint64_t bytes(std::size_t i) const { return bytes_.at(i); }
    void clearBytes() { bytes_.clear(); }

    /// Adds every daemon to every view, as if all leases had been read.
    void introduceAll()
    {
        for (const auto &view : views_) {
            for (std::size_t i = 0; i < views_.size(); ++i) {
                view->addDaemon(daemonNumber(i), now_);
            }
        }
    }

    void listVms()
    {
        for (const auto &view : views_) {
            view->handlePlatformList(vms_, now_);
        }
    }

    void perform(std::size_t from)
    {
        for (const FleetAction &action : views_[from]->takeActions()) {
            std::visit(
                Base::Visitor{[&](const SendToDaemon &send) { deliver(from, send); },
                              [&](const MembershipEvent &event) { events_[from].push_back(event); },
                              [](const VersionsReported &) {}},
                action);
        }
    }

    template<typename Event>
    std::size_t count(std::size_t observer, std::size_t about)
    {
        return static_cast<std::size_t>(
            std::ranges::count_if(events_[observer], [&](const MembershipEvent &event) {
                const auto *match = std::get_if<Event>(&event);
                return match != nullptr
                       && match->daemon.incarnation == daemonNumber(about).incarnation;
            }));
    }

private:
    void deliver(std::size_t from, const SendToDaemon &send)
    {
        const std::size_t size = wireSize(send.message);
        bytes_[from] += size;
        const auto found = indices_.find(send.to);
        if (found == indices_.end()) {
            return;
        }
        const std::size_t to = found->second;
        if (!down_.contains(to) && !cut_.contains({from, to})) {
            bytes_[to] += size;
            views_[to]->handle(send.message, now_);
            perform(to);
        }
    }

    Base::Instant now_{1000s};
    std::vector<std::unique_ptr<MembershipView>> views_;
    std::vector<Vm> vms_;
    std::map<Base::IncarnationId, std::size_t> indices_;
    std::set<std::size_t> down_;
    std::set<std::pair<std::size_t, std::size_t>> cut_;
    std::map<std::size_t, std::uint64_t> bytes_;
    std::map<std::size_t, std::vector<MembershipEvent>> events_;
};

DaemonState stateOf(Exchange &exchange, std::size_t observer, std::size_t about)
{
    const Daemon *daemon = exchange.view(observer).find(daemonNumber(about).incarnation);
    cr_assert_not_null(daemon);
    return daemon->state;
}

} // namespace

Test(membershipview, allDaemonsAreDiscoveredThroughOneKnownDaemon)
{
    Exchange exchange(9);
    exchange.run(10s);
    for (std::size_t observer = 0; observer < 9; ++observer) {
        cr_assert_eq(exchange.view(observer).peers().size(), 8U);
        for (std::size_t about = 0; about < 9; ++about) {
            cr_assert_eq(exchange.count<DaemonJoined>(observer, about), observer == about ? 0 : 1);
        }
    }
}

Test(membershipview, unresponsiveDaemonIsSuspectedWithinTwoAndAHalfSeconds)
{
    Exchange exchange(9);
    exchange.run(10s);
    exchange.setDown(4);
    exchange.run(2500ms);
    for (std::size_t observer = 0; observer < 9; ++observer) {
        if (observer != 4) {
            cr_assert_eq(exchange.count<DaemonSuspected>(observer, 4), 1U);
            cr_assert(!exchange.view(observer).mayGetNewWork(daemonNumber(4).incarnation));
        }
    }
    exchange.setUp(4);
    exchange.run(3s);
    for (std::size_t observer = 0; observer < 9; ++observer) {
        if (observer != 4) {
            cr_assert_eq(exchange.count<DaemonRecovered>(observer, 4), 1U);
        }
    }
}

Test(membershipview, refusedConnectionCausesImmediateSuspicion)
{
    Exchange exchange(3);
    exchange.run(5s);
    exchange.view(0).handleUnreachable(daemonNumber(1).incarnation, exchange.now());
    exchange.perform(0);
    cr_assert_eq(exchange.count<DaemonSuspected>(0, 1), 1U);
}

Test(membershipview, brokenLinkDoesNotCauseSuspicionByOtherDaemons)
{
    Exchange exchange(5);
    exchange.run(10s);
    exchange.cut(1, 2);
    exchange.cut(2, 1);
    exchange.run(20s);
    cr_assert_eq(stateOf(exchange, 1, 2), DaemonState::Suspect);
    cr_assert_eq(exchange.count<DaemonSuspected>(0, 2), 0U);
    cr_assert_eq(exchange.count<DaemonSuspected>(3, 1), 0U);
}

Test(membershipview, daemonOnALeavingVmGetsNoNewWork)
{
    Exchange exchange(3);
    exchange.run(5s);
    exchange.vms()[2].state = VmState::Leaving;
    exchange.view(0).handlePlatformList(exchange.vms(), exchange.now());
    exchange.perform(0);
    cr_assert_eq(exchange.count<DaemonLeaving>(0, 2), 1U);
    cr_assert(!exchange.view(0).mayGetNewWork(daemonNumber(2).incarnation));
    exchange.run(5s);
    cr_assert_eq(stateOf(exchange, 0, 2), DaemonState::Leaving);
}

Test(membershipview, leavingDaemonIsKnownInALargeFleetWithinTwoSeconds)
{
    Exchange exchange(40);
    exchange.run(60s);
    exchange.view(7).beginLeaving(exchange.now());
    exchange.run(2s);
    for (std::size_t observer = 0; observer < 40; ++observer) {
        if (observer != 7) {
            cr_assert(!exchange.view(observer).mayGetNewWork(daemonNumber(7).incarnation));
        }
    }
}

Test(membershipview, onlyAnUnresponsiveDaemonOnAnUnlistedVmIsGone)
{
    Exchange exchange(3);
    exchange.listVms();
    exchange.run(5s);
    exchange.vms().pop_back();
    exchange.listVms();
    exchange.run(5s);
    cr_assert_eq(stateOf(exchange, 0, 2), DaemonState::Alive);
    exchange.setDown(2);
    exchange.run(5s);
    cr_assert_eq(exchange.count<DaemonGone>(0, 2), 1U);
    exchange.run(30s);
    cr_assert_eq(stateOf(exchange, 0, 2), DaemonState::Gone);
}

Test(membershipview, newIncarnationReplacesTheUnresponsiveOne)
{
    Exchange exchange(3);
    exchange.run(5s);
    exchange.setDown(2);
    exchange.run(5s);
    Daemon newer = daemonNumber(2);
    newer.incarnation = Base::IncarnationId("entry-vm-2.new");
    const Heartbeat heartbeat{newer, HeartbeatSequence(1), {}, {}};
    exchange.view(0).handle(heartbeat, exchange.now());
    exchange.perform(0);
    cr_assert_eq(exchange.count<DaemonGone>(0, 2), 1U);
    // The timeout of the pending heartbeat does not change the state.
    exchange.run(5s);
    cr_assert_eq(stateOf(exchange, 0, 2), DaemonState::Gone);
}

Test(membershipview, largeFleetUsesAtMostEightKilobytesPerSecond)
{
    constexpr std::size_t size = 340;
    constexpr std::size_t observedSeconds = 10;
    constexpr std::size_t lost = 5;
    Exchange exchange(size);
    exchange.introduceAll();
    exchange.run(30s);
    for (std::size_t observer = 0; observer < size; ++observer) {
        cr_assert_eq(exchange.view(observer).peers().size(), size - 1);
    }
    exchange.clearBytes();
    exchange.setDown(lost);
    exchange.run(Base::Duration(observedSeconds * 1s));
    std::uint64_t most = 0;
    std::size_t suspecting = 0;
    for (std::size_t i = 0; i < size; ++i) {
        if (i != lost) {
            most = std::max(most, exchange.bytes(i));
            suspecting += stateOf(exchange, i, lost) == DaemonState::Suspect ? 1 : 0;
        }
    }
    cr_log_info(
        "%lu B/s sent and received at most; %zu suspect", most / observedSeconds, suspecting);
    cr_assert_leq(most / observedSeconds, 8192U);
    // Epidemic dissemination may miss a few daemons; the round-robin of digests reaches them later.
    cr_assert_geq(suspecting, size - size / 50);
}
