#pragma once

#include <base/types.h>

#include <asio/ip/udp.hpp>

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Proxy {

struct PeerAddress
{
    Base::VmId vm;
    asio::ip::udp::endpoint endpoint;
};

/// What the list says about the sender of a datagram.
enum class SenderKind {
    Daemon,
    RecordStore,
    /// There is no list yet, and the source is a seed.
    Seed,
    /// The daemon that the datagram names is not listed.
    Unlisted,
    /// The daemon that the datagram names is listed at another address.
    OtherAddress
};

/// The listed addresses of the daemons, and the decision which sources are theirs.
class PeerAddresses
{
public:
    using Endpoints = std::map<Base::VmId, asio::ip::udp::endpoint>;

    /// Sets the addresses that count until the first call of setDaemons().
    void setSeeds(std::vector<asio::ip::udp::endpoint> seeds) { seeds_ = std::move(seeds); }
    void setDaemons(const std::vector<PeerAddress> &daemons);
    void setRecordStores(const std::vector<PeerAddress> &stores);

    bool hasList() const { return hasList_; }
    const Endpoints &daemons() const { return daemons_; }
    const Endpoints &recordStores() const { return recordStores_; }
    /// The address of a daemon or a record store.
    std::optional<asio::ip::udp::endpoint> endpointOf(const Base::VmId &peer) const;

    /// The kind of the daemon that a datagram from \a source names as its sender.
    SenderKind senderAt(const Base::VmId &sender, const asio::ip::udp::endpoint &source) const;
    /// Whether a daemon is listed at the address, with any port.
    bool isDaemonAddress(const asio::ip::address &address) const;

private:
    std::vector<asio::ip::udp::endpoint> seeds_;
    Endpoints daemons_;
    Endpoints recordStores_;
    std::set<asio::ip::address> daemonAddresses_;
    bool hasList_ = false;
};

} // namespace Proxy
