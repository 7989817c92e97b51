#include "peeraddresses.h"

#include <algorithm>

namespace Proxy {

namespace {

PeerAddresses::Endpoints endpointsOf(const std::vector<PeerAddress> &peers)
{
    PeerAddresses::Endpoints endpoints;
    for (const PeerAddress &peer : peers) {
        endpoints.emplace(peer.vm, peer.endpoint);
    }
    return endpoints;
}

} // namespace

void PeerAddresses::setDaemons(const std::vector<PeerAddress> &daemons)
{
    hasList_ = true;
    daemons_ = endpointsOf(daemons);
    daemonAddresses_.clear();
    for (const auto &[vm, endpoint] : daemons_) {
        daemonAddresses_.insert(endpoint.address());
    }
}

void PeerAddresses::setRecordStores(const std::vector<PeerAddress> &stores)
{
    recordStores_ = endpointsOf(stores);
}

std::optional<asio::ip::udp::endpoint> PeerAddresses::endpointOf(const Base::VmId &peer) const
{
    for (const Endpoints *endpoints : {&daemons_, &recordStores_}) {
        const auto entry = endpoints->find(peer);
        if (entry != endpoints->end()) {
            return entry->second;
        }
    }
    return std::nullopt;
}

/// A daemon sends from the socket that is bound to its listed address, so the port is compared too:
/// without that, any process of a daemon's VM could send in its name.
SenderKind PeerAddresses::senderAt(const Base::VmId &sender,
                                   const asio::ip::udp::endpoint &source) const
{
    const auto store = recordStores_.find(sender);
    if (store != recordStores_.end() && store->second == source) {
        return SenderKind::RecordStore;
    }
    const auto daemon = daemons_.find(sender);
    if (daemon != daemons_.end() && daemon->second == source) {
        return SenderKind::Daemon;
    }
    if (!hasList_ && std::find(seeds_.begin(), seeds_.end(), source) != seeds_.end()) {
        return SenderKind::Seed;
    }
    const bool isListed = store != recordStores_.end() || daemon != daemons_.end();
    return isListed ? SenderKind::OtherAddress : SenderKind::Unlisted;
}

bool PeerAddresses::isDaemonAddress(const asio::ip::address &address) const
{
    return daemonAddresses_.contains(address);
}

} // namespace Proxy
