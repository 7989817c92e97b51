#pragma once

#include "tlssettings.h"

#include <base/instant.h>
#include <base/types.h>
#include <peer/peer_types.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

/// Thrift between daemons and towards operators.
namespace Rpc {

/// Where a peer listens.
struct PeerAddress
{
    std::string host;
    std::uint16_t port = 0;

    auto operator<=>(const PeerAddress &) const = default;
};

struct PeerTransportSettings
{
    Base::IncarnationId self;
    PeerAddress listen;
    TlsSettings tls;
    /// Threads that carry out calls to peers; a call blocks one for at most the call timeout.
    unsigned senders = 4;
    Base::Duration connectTimeout = std::chrono::milliseconds(500);
    Base::Duration callTimeout = std::chrono::milliseconds(1500);
    /// Messages waiting for one peer; more are refused.
    size_t maxQueuedMessages = 20'000;
    /// Largest batch in one call.
    size_t maxBatchMessages = 256;
};

/// Ordered, batched messages to and from peers over kept connections. One call is under way per
/// peer, so a slow peer delays only its own queue.
class PeerTransport
{
public:
    struct Handlers
    {
        std::function<void(Base::IncarnationId sender, std::vector<PeerProtocol::PeerMessage>)>
            onMessages;
        /// The messages were not acknowledged; the peer may or may not have them.
        std::function<void(Base::IncarnationId peer, std::vector<PeerProtocol::PeerMessage>)>
            onFailed;
    };

    PeerTransport(PeerTransportSettings settings, Handlers handlers);
    ~PeerTransport();

    PeerTransport(const PeerTransport &) = delete;
    PeerTransport &operator=(const PeerTransport &) = delete;

    /// Throws std::exception if the address cannot be bound or a certificate file cannot be read.
    void start();
    void stop();

    /// Queues a message; false if the queue of the peer is full.
    bool send(const Base::IncarnationId &peer,
              const PeerAddress &address,
              PeerProtocol::PeerMessage message);

    /// Closes the connection to a peer that is gone and drops its queue.
    void forget(const Base::IncarnationId &peer);

    void reloadCertificates();

    /// Messages acknowledged by peers since the start.
    std::uint64_t messagesSent() const;

private:
    class Private;
    std::unique_ptr<Private> d_;
};

} // namespace Rpc
