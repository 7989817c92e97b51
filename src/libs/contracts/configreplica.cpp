#include "configreplica.h"

#include "configurationcodec.h"

#include <base/visitor.h>

#include <algorithm>
#include <functional>
#include <utility>

namespace Contracts {

namespace {

const char storePeer[] = "platform";

} // namespace

ConfigReplica::ConfigReplica(const ConfigReplicaSettings &settings)
    : settings_(settings)
    , document_(std::make_shared<const ConfigurationDocument>())
{}

Platform::ObjectKey ConfigReplica::objectKey()
{
    return {Platform::ObjectKind::Configuration, "current"};
}

void ConfigReplica::start(std::vector<Base::IncarnationId> peers, Base::Instant now)
{
    peers_ = std::move(peers);
    readStore(now);
}

void ConfigReplica::peersChanged(std::vector<Base::IncarnationId> peers, Base::Instant)
{
    const std::vector<Base::IncarnationId> before = std::exchange(peers_, std::move(peers));
    std::erase_if(agreedAt_, [this](const auto &agreed) {
        return std::ranges::find(peers_, agreed.first) == peers_.end();
    });
    if (!collectionEnd_) {
        return;
    }
    for (const Base::IncarnationId &peer : peers_) {
        if (std::ranges::find(before, peer) == before.end()) {
            sendRequest(peer);
        }
    }
}

// The store

void ConfigReplica::readStore(Base::Instant now)
{
    lastRequest_ = lastRequest_.next();
    pendingRead_ = PendingRead{lastRequest_, now};
    nextRead_ = now + settings_.readInterval;
    actions_.emplace_back(SendStoreRequest{{lastRequest_, Platform::GetObject{objectKey()}}});
}

void ConfigReplica::storeReplied(const Platform::StoreReply &reply, Base::Instant now)
{
    if (!pendingRead_ || pendingRead_->id != reply.id) {
        return;
    }
    const Base::Instant sentAt = pendingRead_->sentAt;
    pendingRead_.reset();
    std::visit(Base::Visitor{[&](const Platform::ObjectFound &found) {
                                 storeFound(found.object.body, sentAt);
                             },
                             [&](const Platform::ObjectAbsent &) {
                                 if (version().value() == 0) {
                                     storeConfirmed(sentAt);
                                 }
                             },
                             [&](const auto &) { readFailed(now); }},
               reply.outcome);
}

void ConfigReplica::readFailed(Base::Instant now)
{
    pendingRead_.reset();
    if (!isReady_ && !collectionEnd_) {
        collectFromPeers(now);
    }
}

void ConfigReplica::storeFound(const std::string &body, Base::Instant sentAt)
{
    if (!activateEncoded(body, storePeer)) {
        return;
    }
    storeConfirmed(sentAt);
}

/// The store held the active version at some time after the request was sent.
void ConfigReplica::storeConfirmed(Base::Instant sentAt)
{
    isReady_ = true;
    collectionEnd_.reset();
    highestPeerVersion_ = version();
    confirmedAt_ = std::max(confirmedAt_.value_or(sentAt), sentAt);
}

void ConfigReplica::watchEventReceived(const Platform::StoredObject &object)
{
    activateEncoded(object.body, storePeer);
}

// Peers

void ConfigReplica::collectFromPeers(Base::Instant now)
{
    collectionEnd_ = now + settings_.peerCollection;
    for (const Base::IncarnationId &peer : peers_) {
        sendRequest(peer);
    }
}

void ConfigReplica::endCollection(Base::Instant now)
{
    if (confirmedAt_) {
        isReady_ = true;
        collectionEnd_.reset();
        return;
    }
    collectFromPeers(now);
}

void ConfigReplica::sendRequest(const Base::IncarnationId &peer)
{
    actions_.emplace_back(SendToPeer{peer, ConfigRequest{version()}});
}

void ConfigReplica::peerVersionReceived(const Base::IncarnationId &peer,
                                        Base::ConfigVersion version,
                                        Base::Instant now)
{
    updatePeerVersion(peer, version, now);
}

void ConfigReplica::updatePeerVersion(const Base::IncarnationId &peer,
                                      Base::ConfigVersion peerVersion,
                                      Base::Instant now)
{
    highestPeerVersion_ = std::max(highestPeerVersion_, peerVersion);
    if (peerVersion == version() && peerVersion == highestPeerVersion_) {
        agreedAt_[peer] = now;
        confirmByPeers();
        return;
    }
    agreedAt_.erase(peer);
    const bool mayRequest
        = !lastPeerRequestAt_ || *lastPeerRequestAt_ + settings_.peerRequestInterval <= now;
    if (peerVersion > version() && mayRequest) {
        lastPeerRequestAt_ = now;
        sendRequest(peer);
    }
}

/// Confirms the version as of the oldest among the most recent agreements that are required.
void ConfigReplica::confirmByPeers()
{
    std::vector<Base::Instant> latest;
    latest.reserve(agreedAt_.size());
    for (const auto &[peer, at] : agreedAt_) {
        latest.push_back(at);
    }
    const size_t needed = std::max<size_t>(settings_.confirmingPeers, 1);
    if (latest.size() < needed) {
        return;
    }
    const auto decisive = latest.begin() + static_cast<std::ptrdiff_t>(needed - 1);
    std::nth_element(latest.begin(), decisive, latest.end(), std::greater<>());
    confirmedAt_ = std::max(confirmedAt_.value_or(*decisive), *decisive);
}

void ConfigReplica::messageReceived(const Base::IncarnationId &peer,
                                    const ConfigMessage &message,
                                    Base::Instant now)
{
    std::visit([&](const auto &content) { receive(peer, content, now); }, message);
}

void ConfigReplica::receive(const Base::IncarnationId &peer,
                            const ConfigPush &push,
                            Base::Instant now)
{
    if (push.version > version()) {
        activateEncoded(push.body, peer.text());
    }
    updatePeerVersion(peer, push.version, now);
}

void ConfigReplica::receive(const Base::IncarnationId &peer,
                            const ConfigRequest &request,
                            Base::Instant now)
{
    ConfigResponse response{version(), {}};
    if (request.known < version()) {
        response.body = encode(*document_);
    }
    actions_.emplace_back(SendToPeer{peer, std::move(response)});
    updatePeerVersion(peer, request.known, now);
}

void ConfigReplica::receive(const Base::IncarnationId &peer,
                            const ConfigResponse &response,
                            Base::Instant now)
{
    if (response.version > version() && !response.body.empty()) {
        activateEncoded(response.body, peer.text());
    }
    updatePeerVersion(peer, response.version, now);
}

void ConfigReplica::editAccepted(const ConfigurationDocument &document, Base::Instant now)
{
    if (document.version > version()) {
        activate(document);
        storeConfirmed(now);
    }
}

// Activation

/// Activates the document if it is newer. Returns whether it is the active version afterwards.
bool ConfigReplica::activateEncoded(const std::string &body, const std::string &peer)
{
    ParsedConfiguration parsed = decode(body);
    if (!parsed.isValid()) {
        actions_.emplace_back(ConfigurationRejected{peer, std::move(parsed.problems)});
        return false;
    }
    if (parsed.document.version > version()) {
        activate(std::move(parsed.document));
        return true;
    }
    return parsed.document.version == version();
}

void ConfigReplica::activate(ConfigurationDocument document)
{
    agreedAt_.clear();
    const auto before = std::exchange(
        document_, std::make_shared<const ConfigurationDocument>(std::move(document)));
    actions_.emplace_back(ConfigurationActivated{document_, changesBetween(*before, *document_)});
}

bool ConfigReplica::isFresh(Base::Instant now) const
{
    return isReady_ && confirmedAt_ && now - *confirmedAt_ < settings_.freshnessLimit;
}

// Timers

void ConfigReplica::tick(Base::Instant now)
{
    if (pendingRead_ && pendingRead_->sentAt + settings_.readTimeout <= now) {
        readFailed(now);
    }
    if (collectionEnd_ && *collectionEnd_ <= now) {
        endCollection(now);
    }
    if (nextRead_ && *nextRead_ <= now && !pendingRead_) {
        readStore(now);
    }
}

std::optional<Base::Instant> ConfigReplica::nextWakeUp() const
{
    std::optional<Base::Instant> wakeUp = pendingRead_ ? std::nullopt : nextRead_;
    const auto consider
        = [&wakeUp](Base::Instant at) { wakeUp = wakeUp ? std::min(*wakeUp, at) : at; };
    if (pendingRead_) {
        consider(pendingRead_->sentAt + settings_.readTimeout);
    }
    if (collectionEnd_) {
        consider(*collectionEnd_);
    }
    return wakeUp;
}

std::vector<ConfigReplicaAction> ConfigReplica::takeActions()
{
    return std::exchange(actions_, {});
}

} // namespace Contracts
