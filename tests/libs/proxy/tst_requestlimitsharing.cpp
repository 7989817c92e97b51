#include <proxy/requestlimitsharing.h>
#include <proxy/steadyclock.h>

#include <criterion/criterion.h>

#include <memory>

using namespace Proxy;

namespace {

constexpr auto guardTime = std::chrono::seconds(10);
const Dispatch::ServerInstance server{Base::ServerId("engine-1"), 1700};

/// Daemons that exchange datagrams on loopback addresses.
class Fleet
{
public:
    explicit Fleet(int size)
        : log_({.file = {}, .level = Telemetry::LogLevel::Error, .daemon = {}, .keyPrefixes = {}})
    {
        std::vector<PeerAddress> addresses;
        for (int i = 0; i < size; ++i) {
            addresses.push_back({Base::VmId("vm-" + std::to_string(i)), freeEndpoint()});
        }
        for (const PeerAddress &address : addresses) {
            daemons_.push_back(std::make_unique<Daemon>(*this, address));
            daemons_.back()->peers.setDaemons(addresses);
        }
        for (const auto &daemon : daemons_) {
            daemon->rates.setDaemonCount(addresses.size());
        }
    }

    RequestLimitSharing &limits(std::size_t daemon) { return daemons_[daemon]->limits; }
    std::size_t size() const { return daemons_.size(); }

    void runUntil(const std::function<bool()> &condition, const char *what)
    {
        const auto end = std::chrono::steady_clock::now() + guardTime;
        while (!condition()) {
            cr_assert(std::chrono::steady_clock::now() < end, "timed out: %s", what);
            context_.run_one_for(std::chrono::milliseconds(20));
        }
    }

    bool isLimitedEverywhere(bool isLimited)
    {
        return std::all_of(daemons_.begin(), daemons_.end(), [&](const auto &daemon) {
            return daemon->limits.isLimited(server) == isLimited;
        });
    }

private:
    struct Daemon
    {
        Daemon(Fleet &fleet, const PeerAddress &address)
            : peers(fleet.context_,
                    address.vm,
                    address.endpoint,
                    fleet.log_,
                    fleet.metrics_,
                    7,
                    &steadyNow)
            , rates(fleet.context_, address.vm, peers, &steadyNow)
            , limits(address.vm, rates, peers, fleet.log_, fleet.metrics_, &steadyNow)
        {
            peers.start([this](const Base::VmId &sender, const PeerBody &body) {
                if (const auto *join = std::get_if<PoolJoinRequest>(&body)) {
                    rates.onPoolJoin(sender, *join);
                } else if (const auto *report = std::get_if<LimitReport>(&body)) {
                    limits.onReport(*report);
                } else if (const auto *request = std::get_if<ServerPermitRequest>(&body)) {
                    limits.onPermitRequest(sender, *request);
                } else if (const auto *permit = std::get_if<ServerPermitReturn>(&body)) {
                    limits.onPermitReturn(*permit);
                }
            });
        }

        PeerLink peers;
        RateSharing rates;
        RequestLimitSharing limits;
    };

    asio::ip::udp::endpoint freeEndpoint()
    {
        asio::ip::udp::socket socket(context_,
                                     asio::ip::udp::endpoint(asio::ip::address_v4::loopback(), 0));
        return socket.local_endpoint();
    }

    asio::io_context context_;
    Telemetry::Log log_;
    Telemetry::Metrics metrics_;
    std::vector<std::unique_ptr<Daemon>> daemons_;
};

} // namespace

Test(requestlimitsharing, everyDaemonLearnsAChangedLimit)
{
    Fleet fleet(4);
    fleet.limits(1).stated({server, Base::RequestRate(3), steadyNow()});
    fleet.runUntil([&] { return fleet.isLimitedEverywhere(true); }, "all know the limit");
    fleet.limits(2).stated({server, {}, steadyNow()});
    fleet.runUntil([&] { return fleet.isLimitedEverywhere(false); }, "all know that it ended");
}

/// Guards against daemons that each use the whole limit of a server.
Test(requestlimitsharing, daemonsShareOneLimit)
{
    constexpr double limit = 5;
    Fleet fleet(4);
    const auto begin = std::chrono::steady_clock::now();
    fleet.limits(0).stated({server, Base::RequestRate(limit), steadyNow()});
    fleet.runUntil([&] { return fleet.isLimitedEverywhere(true); }, "all know the limit");
    int admitted = 0;
    int answered = 0;
    const auto askAll = [&] {
        answered = 0;
        for (std::size_t daemon = 0; daemon < fleet.size(); ++daemon) {
            fleet.limits(daemon).acquire(server, {}, [&](const Admission::PermitVerdict &verdict) {
                admitted += verdict.isAdmitted ? 1 : 0;
                ++answered;
            });
        }
    };
    for (int round = 0; round < 50 || admitted < 5; ++round) {
        askAll();
        fleet.runUntil([&] { return answered == 4; }, "every request is answered");
    }
    const double seconds
        = std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
    cr_assert_leq(admitted, 1.5 * limit * (seconds + 4) + 5);
}

Test(requestlimitsharing, aDepartedServerIsForgotten)
{
    Fleet fleet(1);
    fleet.limits(0).stated({server, Base::RequestRate(3), steadyNow()});
    Dispatch::ListedServer listed;
    listed.server.id = server.id;
    listed.startedAt = server.startedAt;
    fleet.limits(0).serversChanged({listed});
    cr_assert(fleet.limits(0).isLimited(server));
    fleet.limits(0).serversChanged({});
    cr_assert(!fleet.limits(0).isLimited(server));
}
