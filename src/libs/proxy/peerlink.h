#pragma once

#include "peeraddresses.h"
#include "peermessages.h"
#include "peerroster.h"
#include "refusedsources.h"

#include <telemetry/log.h>
#include <telemetry/metrics.h>

#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>
#include <asio/steady_timer.hpp>

#include <array>
#include <functional>
#include <map>
#include <set>
#include <unordered_map>

namespace Proxy {

/// Requests and responses between daemons in UDP datagrams. A request is retransmitted once.
class PeerLink
{
public:
    /// Receives the body of the response, or null if the peer did not respond in time.
    using ResponseCallback = std::function<void(const PeerBody *)>;
    using RequestHandler = std::function<void(const Base::VmId &sender, const PeerBody &)>;

    PeerLink(asio::io_context &context,
             Base::VmId self,
             const asio::ip::udp::endpoint &address,
             Telemetry::Log &log,
             Telemetry::Metrics &metrics,
             std::uint64_t seed,
             std::function<Base::Instant()> now);

    /// Throws std::exception if the address cannot be bound.
    void start(RequestHandler onRequest);
    void setDaemons(const std::vector<PeerAddress> &daemons);
    /// Sets the daemons whose reports are heard until the first call of setDaemons().
    void setSeeds(std::vector<asio::ip::udp::endpoint> seeds)
    {
        addresses_.setSeeds(std::move(seeds));
    }
    /// Sets the version that every message carries.
    void setRoutingVersion(Base::ConfigVersion version) { routingVersion_ = version; }
    /// Sets the source of the server list report that every message carries.
    void setListReporter(std::function<std::optional<ListReport>()> reporter)
    {
        listReporter_ = std::move(reporter);
    }
    /// Receives the peer's version of the routing document and its report of the server list.
    using ReportCallback = std::function<void(
        const Base::VmId &, Base::ConfigVersion, const std::optional<ListReport> &)>;
    void onReport(ReportCallback callback) { onReport_ = std::move(callback); }
    /// Called for each message of a daemon that is not listed with the address from which it came.
    void onUnknownSender(std::function<void()> callback) { onUnknownSender_ = std::move(callback); }
    /// Sends messages that carry only the routing version and the server list report.
    void notify(const std::vector<Base::VmId> &peers);

    RequestNumber nextRequestNumber();
    /// \a number is from nextRequestNumber() and also in the body.
    void sendRequest(const Base::VmId &peer,
                     RequestNumber number,
                     PeerBody body,
                     ResponseCallback callback);
    /// Sends a response, or a message without one.
    void send(const Base::VmId &peer, PeerBody body);

    /// The other daemons that keep what is known about a subject, so that the loss of two at once
    /// leaves one that knows it.
    std::vector<Base::VmId> keepersOf(const std::string &subject) const;
    /// Sends a message without a response to each keeper of the subject.
    void sendToKeepers(const std::string &subject, const PeerBody &body);

    /// Sets the daemons that keep records for the others, and are no part of the fleet otherwise.
    void setRecordStores(const std::vector<PeerAddress> &stores);
    /// The first record stores by rank for the subject.
    std::vector<Base::VmId> recordStoresOf(const std::string &subject, std::size_t count) const;
    /// Sends a message without a response to each of the daemons.
    void sendToEach(const std::vector<Base::VmId> &peers, const PeerBody &body);

    /// Sends a message without a response to all other daemons.
    void sendToAll(const PeerBody &body);

    /// Whether no message of any other daemon has arrived recently.
    bool isIsolated() const;

    PeerRoster &roster() { return roster_; }
    const PeerRoster &roster() const { return roster_; }
    std::optional<asio::ip::udp::endpoint> endpointOf(const Base::VmId &peer) const;
    /// Whether a daemon of setDaemons() is listed at the address.
    bool isListed(const asio::ip::address &address) const
    {
        return addresses_.isDaemonAddress(address);
    }

private:
    struct PendingRequest
    {
        Base::VmId peer;
        std::string bytes;
        ResponseCallback callback;
        Base::Instant due;
        bool isRetransmitted = false;
    };

    std::string encode(PeerBody body) const;
    void receive();
    void onDatagram(std::string_view bytes);
    void refuse(const PeerMessage &message);
    void onDaemonMessage(const PeerMessage &message);
    void onRecordStoreMessage(const PeerMessage &message);
    void onSeedMessage(const PeerMessage &message);
    void report(const PeerMessage &message);
    void sendDatagram(const Base::VmId &peer, const std::string &bytes);
    void extendTimeout(RequestNumber number, const Base::VmId &sender);
    void completeRequest(RequestNumber number, const Base::VmId &sender, const PeerBody &body);
    void recordTimeout(const Base::VmId &peer, Base::Instant now);
    void recordResponse(const Base::VmId &peer);
    void armTimer();
    void onTimer();

    Base::VmId self_;
    asio::ip::udp::endpoint address_;
    Telemetry::Log &log_;
    Telemetry::Metrics &metrics_;
    std::function<Base::Instant()> now_;
    asio::ip::udp::socket socket_;
    asio::ip::udp::endpoint sender_;
    std::array<char, 65'536> buffer_{};
    asio::steady_timer timer_;
    bool isTimerArmed_ = false;
    PeerRoster roster_;
    PeerAddresses addresses_;
    /// The seed whose report is being heard.
    std::optional<PeerAddress> seed_;
    RefusedSources refused_;
    std::unordered_map<RequestNumber, PendingRequest> pendingRequests_;
    /// Peers that were logged as unresponsive.
    std::set<Base::VmId> unresponsive_;
    RequestNumber lastRequestNumber_;
    Base::ConfigVersion routingVersion_;
    Base::Instant lastReceivedAt_;
    std::function<std::optional<ListReport>()> listReporter_;
    ReportCallback onReport_;
    std::function<void()> onUnknownSender_;
    RequestHandler onRequest_;
};

} // namespace Proxy
