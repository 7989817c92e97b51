#pragma once

#include "holderaddress.h"
#include "turndisk.h"

#include <proxy/callerlistener.h>
#include <proxy/connectionshares.h>
#include <proxy/httpcaller.h>
#include <turnhistory/replicationplan.h>

#include <asio/steady_timer.hpp>

#include <map>
#include <memory>

namespace TurnStore {

/// Serves the turns on this daemon's disk to all daemons, and copies them to the other holders that
/// have to keep them.
class TurnStoreService
{
public:
    TurnStoreService(asio::io_context &context,
                     const HolderAddress &self,
                     TurnDisk &disk,
                     TurnHistory::ReplicationPlan::Settings replication,
                     std::function<Base::Instant()> now,
                     Telemetry::Log &log,
                     Telemetry::Metrics &metrics);

    /// Must be called before the first request; by default, the memory for requests is unlimited.
    void setMemory(Base::MemoryBudget &requests) { handlers_->bodies = &requests; }
    /// The same for the heads of requests.
    void setHeadMemory(Base::MemoryBudget &heads) { handlers_->heads = &heads; }
    /// Must be called before start(); by default, connections are not limited.
    void setConnections(const Proxy::ConnectionShares &shares)
    {
        connectionShares_ = shares;
        handlers_->receiveBytes = shares.receiveBytes;
    }
    /// Throws std::exception if the address cannot be bound.
    void start();
    /// Closes the listener and ends the exchange with other holders.
    void stop();
    /// Sets all registered holders.
    void setHolders(const std::vector<HolderAddress> &holders);
    /// This holder was not registered before, so no acknowledged turn was ever on its disk.
    void setFirstRegistration();
    /// Stops keeping turns; \a onHandedOver is called once the other holders have all of them.
    void leave(std::function<void()> onHandedOver);
    /// Registered holders that are gone and without which no turn is lost.
    std::vector<Base::VmId> removablePeers() { return plan_.removablePeers(now_()); }

private:
    struct Peer
    {
        std::shared_ptr<Proxy::HttpCaller> caller;
        asio::ip::tcp::endpoint endpoint;
        bool isBusy = false;
    };

    using CallerPtr = std::shared_ptr<Proxy::CallerConnection>;

    void onRequest(const CallerPtr &caller, Proxy::CallerRequest request);
    void updateGauges();
    void keep(const CallerPtr &caller, Proxy::CallerRequest request);
    std::shared_ptr<std::vector<CallerPtr>> pendingWriteOf(
        const std::vector<TurnHistory::Turn> &turns) const;
    /// Returns the response's status.
    int writeEnded(const std::vector<TurnHistory::Turn> &turns,
                   WriteResult result,
                   const std::vector<TurnHistory::TurnPosition> &positions);
    void sendChain(const CallerPtr &caller, const std::string &body);
    void answerOffer(const CallerPtr &caller, const std::string &body);
    TurnHistory::ChainResponse readChain(const TurnHistory::TurnId &id);
    void scheduleTick();
    void tick();
    void offerTo(const Base::VmId &vm);
    void onOfferAnswer(const TurnHistory::PlannedOffer &offer, const Proxy::CallResult &result);
    void sendMissing(const TurnHistory::PlannedOffer &offer,
                     std::vector<TurnHistory::TurnId> missing);
    void onSynchronized();
    void logPeerChange(const Base::VmId &vm, bool isReachable, const std::string &problem);

    asio::io_context &context_;
    HolderAddress self_;
    TurnDisk &disk_;
    std::function<Base::Instant()> now_;
    Telemetry::Log &log_;
    Telemetry::Metrics &metrics_;
    TurnHistory::TurnIndex index_;
    TurnHistory::ReplicationPlan plan_;
    Proxy::CallerListener listener_;
    Proxy::ConnectionShares connectionShares_;
    std::shared_ptr<Proxy::CallerHandlers> handlers_;
    asio::steady_timer timer_;
    std::set<std::shared_ptr<Proxy::CallerConnection>> connections_;
    std::map<Base::VmId, Peer> peers_;
    std::set<Base::VmId> unreachable_;
    /// Writes that are accepted but not indexed yet.
    std::size_t pendingWrites_ = 0;
    /// Those who wait for the write of a turn.
    std::map<TurnHistory::TurnId, std::shared_ptr<std::vector<CallerPtr>>> writing_;
    std::function<void()> onHandedOver_;
};

} // namespace TurnStore
