#pragma once

#include "tlssettings.h"

#include <base/instant.h>
#include <base/types.h>
#include <peer/peer_types.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

/// Thrift transports between daemons and to operators.
namespace Rpc {

/// Address on which a peer listens.
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
    /// Threads that execute calls to peers; a call blocks its thread for at most the call timeout.
    unsigned senders = 4;
    Base::Duration connectTimeout = std::chrono::milliseconds(500);
    Base::Duration callTimeout = std::chrono::milliseconds(1500);
    /// Maximum queued messages per peer; send() rejects further ones.
    size_t maxQueuedMessages = 20'000;
    /// Maximum batch size of one call.
    size_t maxBatchMessages = 256;
};

/// Exchanges ordered, batched messages with peers over persistent connections. At most one call per
/// peer is in flight, so a slow peer delays only its own queue.
class PeerTransport
{
public:
    struct Handlers
    {
        std::function<void(Base::IncarnationId sender, std::vector<PeerProtocol::PeerMessage>)>
            onMessages;
        /// The messages were not acknowledged; the peer may or may not have received them.
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

    /// Queues a message; returns false if the queue of the peer is full or the transport stops.
    bool send(const Base::IncarnationId &peer,
              const PeerAddress &address,
              PeerProtocol::PeerMessage message);

    /// Drops the queue of a peer that no longer exists and closes its connection.
    void forget(const Base::IncarnationId &peer);

    void reloadCertificates();

    /// Messages acknowledged by peers since the start.
    std::uint64_t messagesSent() const;

private:
    class Private;
    std::unique_ptr<Private> d_;
};

} // namespace Rpc
