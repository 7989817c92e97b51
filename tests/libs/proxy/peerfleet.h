#pragma once

#include <libs/loopback.h>
#include <proxy/quarantinesharing.h>
#include <proxy/requestlimitsharing.h>
#include <proxy/steadyclock.h>
#include <proxy/streamversionsharing.h>

#include <criterion/criterion.h>

#include <memory>

namespace Proxy {

inline constexpr auto peerGuardTime = std::chrono::seconds(10);

/// Daemons that exchange datagrams on loopback addresses.
class PeerFleet
{
public:
    explicit PeerFleet(int size, int recordStores = 0)
        : log_({.file = {}, .level = Telemetry::LogLevel::Error, .daemon = {}, .keyPrefixes = {}})
    {
        for (const PeerAddress &address : freeAddresses("store-", recordStores)) {
            storeAddresses_.push_back(address);
            stores_.push_back(std::make_unique<RecordStore>(*this, address));
        }
        startDaemons(size);
    }

    /// Replaces all daemons by new ones of the same names that know nothing; the record stores
    /// stay.
    void restartDaemons()
    {
        const auto size = static_cast<int>(daemons_.size());
        for (auto &daemon : daemons_) {
            daemon->isLost = true;
            lostDaemons_.push_back(std::move(daemon));
        }
        daemons_.clear();
        startDaemons(size);
    }
    /// From now on, the record store ignores all messages.
    void loseStore(std::size_t store) { stores_[store]->isLost = true; }
    /// Records of all record stores together.
    std::size_t storedRecords() const
    {
        std::size_t count = 0;
        for (const auto &store : stores_) {
            count += store->streams.recordCount();
        }
        return count;
    }

    RequestLimitSharing &limits(std::size_t daemon) { return daemons_[daemon]->limits; }
    StreamVersionSharing &streams(std::size_t daemon) { return daemons_[daemon]->streams; }
    QuarantineSharing &quarantine(std::size_t daemon) { return daemons_[daemon]->quarantine; }
    std::size_t coordinatorOf(const Base::ServerId &server) const
    {
        const std::size_t group = RateSharing::groupOf(server.text());
        return std::stoul(daemons_[0]->rates.rosterCoordinator(group).text().substr(3));
    }
    /// From now on, the daemon handles requests like a build without cold servers.
    void downgrade(std::size_t daemon) { daemons_[daemon]->knowsColdServers = false; }
    /// From now on, the daemon ignores all requests.
    void lose(std::size_t daemon) { daemons_[daemon]->isLost = true; }
    void recover(std::size_t daemon) { daemons_[daemon]->isLost = false; }
    /// The other daemons that keep what the first one knows of the subject.
    std::vector<std::size_t> keepersOf(const std::string &subject) const
    {
        std::vector<std::size_t> keepers;
        for (const Base::VmId &vm : daemons_[0]->peers.keepersOf(subject)) {
            keepers.push_back(std::stoul(vm.text().substr(3)));
        }
        return keepers;
    }
    std::size_t size() const { return daemons_.size(); }

    void runUntil(const std::function<bool()> &condition, const char *what)
    {
        const auto end = std::chrono::steady_clock::now() + peerGuardTime;
        while (!condition()) {
            cr_assert(std::chrono::steady_clock::now() < end, "timed out: %s", what);
            context_.run_one_for(std::chrono::milliseconds(20));
        }
    }

private:
    static std::vector<PeerAddress> freeAddresses(const std::string &prefix, int count)
    {
        std::vector<PeerAddress> addresses;
        addresses.reserve(static_cast<std::size_t>(count));
        for (int i = 0; i < count; ++i) {
            addresses.push_back(
                {Base::VmId(prefix + std::to_string(i)), freeEndpoint<asio::ip::udp>()});
        }
        return addresses;
    }

    void startDaemons(int size)
    {
        const std::vector<PeerAddress> addresses = freeAddresses("vm-", size);
        for (const PeerAddress &address : addresses) {
            daemons_.push_back(std::make_unique<Daemon>(*this, address));
            daemons_.back()->peers.setDaemons(addresses);
            daemons_.back()->peers.setRecordStores(storeAddresses_);
        }
        for (const auto &daemon : daemons_) {
            daemon->rates.setDaemonCount(addresses.size());
        }
        for (const auto &store : stores_) {
            store->peers.setDaemons(addresses);
        }
    }

    struct RecordStore
    {
        RecordStore(PeerFleet &fleet, const PeerAddress &address)
            : peers(fleet.context_,
                    address.vm,
                    address.endpoint,
                    fleet.log_,
                    fleet.metrics_,
                    7,
                    &steadyNow)
            , streams(peers, fleet.metrics_, &steadyNow)
        {
            peers.start([this](const Base::VmId &sender, const PeerBody &body) {
                const auto *notice = std::get_if<StreamNotice>(&body);
                const auto *request = std::get_if<StreamVersionRequest>(&body);
                if (notice && !isLost) {
                    streams.onNotice(*notice);
                } else if (request && !isLost) {
                    streams.onRequest(sender, *request);
                }
            });
        }

        PeerLink peers;
        StreamVersionSharing streams;
        bool isLost = false;
    };

    struct Daemon
    {
        Daemon(PeerFleet &fleet, const PeerAddress &address)
            : peers(fleet.context_,
                    address.vm,
                    address.endpoint,
                    fleet.log_,
                    fleet.metrics_,
                    7,
                    &steadyNow)
            , rates(fleet.context_, address.vm, peers, &steadyNow)
            , limits(address.vm, rates, peers, fleet.log_, fleet.metrics_, &steadyNow)
            , streams(peers, fleet.metrics_, &steadyNow)
            , quarantine(address.vm, rates, peers, fleet.log_, fleet.metrics_, &steadyNow)
        {
            peers.start([this](const Base::VmId &sender, const PeerBody &body) {
                if (isLost) {
                    return;
                }
                if (const auto *join = std::get_if<PoolJoinRequest>(&body)) {
                    rates.onPoolJoin(sender, *join);
                } else if (const auto *report = std::get_if<LimitReport>(&body)) {
                    limits.onReport(*report);
                } else if (const auto *request = std::get_if<ServerPermitRequest>(&body)) {
                    ServerPermitRequest known = *request;
                    if (!knowsColdServers) {
                        known.cold.reset();
                    }
                    limits.onPermitRequest(sender, known);
                } else if (const auto *permit = std::get_if<ServerPermitReturn>(&body)) {
                    limits.onPermitReturn(*permit);
                } else if (const auto *notice = std::get_if<StreamNotice>(&body)) {
                    streams.onNotice(*notice);
                } else if (const auto *stream = std::get_if<StreamVersionRequest>(&body)) {
                    streams.onRequest(sender, *stream);
                } else if (const auto *crash = std::get_if<Dispatch::CrashReport>(&body)) {
                    quarantine.onReport(*crash);
                } else if (const auto *quarantineNotice = std::get_if<QuarantineNotice>(&body)) {
                    quarantine.onNotice(*quarantineNotice);
                }
            });
        }

        PeerLink peers;
        RateSharing rates;
        RequestLimitSharing limits;
        StreamVersionSharing streams;
        QuarantineSharing quarantine;
        bool isLost = false;
        bool knowsColdServers = true;
    };

    asio::io_context context_;
    Telemetry::Log log_;
    Telemetry::Metrics metrics_;
    std::vector<std::unique_ptr<Daemon>> daemons_;
    std::vector<std::unique_ptr<Daemon>> lostDaemons_;
    std::vector<PeerAddress> storeAddresses_;
    std::vector<std::unique_ptr<RecordStore>> stores_;
};

} // namespace Proxy
