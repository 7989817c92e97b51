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
            ask(peer);
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
    const Base::Instant askedAt = pendingRead_->askedAt;
    pendingRead_.reset();
    std::visit(Base::Visitor{[&](const Platform::ObjectFound &found) {
                                 storeFound(found.object.body, askedAt);
                             },
                             [&](const Platform::ObjectAbsent &) {
                                 if (version().value() == 0) {
                                     storeConfirmed(askedAt);
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

void ConfigReplica::storeFound(const std::string &body, Base::Instant askedAt)
{
    if (!adoptEncoded(body, storePeer)) {
        return;
    }
    storeConfirmed(askedAt);
}

/// The version is what the store held at some moment after the question.
void ConfigReplica::storeConfirmed(Base::Instant askedAt)
{
    isReady_ = true;
    collectionEnd_.reset();
    highestHeard_ = version();
    confirmedAt_ = std::max(confirmedAt_.value_or(askedAt), askedAt);
}

void ConfigReplica::watched(const Platform::StoredObject &object)
{
    adoptEncoded(object.body, storePeer);
}

// Peers

void ConfigReplica::collectFromPeers(Base::Instant now)
{
    collectionEnd_ = now + settings_.peerCollection;
    for (const Base::IncarnationId &peer : peers_) {
        ask(peer);
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

void ConfigReplica::ask(const Base::IncarnationId &peer)
{
    actions_.emplace_back(SendToPeer{peer, ConfigRequest{version()}});
}

void ConfigReplica::peerVersionReceived(const Base::IncarnationId &peer,
                                        Base::ConfigVersion version,
                                        Base::Instant now)
{
    hear(peer, version, now);
}

void ConfigReplica::hear(const Base::IncarnationId &peer,
                         Base::ConfigVersion heard,
                         Base::Instant now)
{
    highestHeard_ = std::max(highestHeard_, heard);
    if (heard == version() && heard == highestHeard_) {
        agreedAt_[peer] = now;
        confirmByPeers();
        return;
    }
    agreedAt_.erase(peer);
    const bool mayAsk = !askedPeerAt_ || *askedPeerAt_ + settings_.askInterval <= now;
    if (heard > version() && mayAsk) {
        askedPeerAt_ = now;
        ask(peer);
    }
}

/// Confirms at the earliest of the latest agreements that are needed.
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
        adoptEncoded(push.body, peer.text());
    }
    hear(peer, push.version, now);
}

void ConfigReplica::receive(const Base::IncarnationId &peer,
                            const ConfigRequest &request,
                            Base::Instant now)
{
    ConfigAnswer answer{version(), {}};
    if (request.known < version()) {
        answer.body = encode(*document_);
    }
    actions_.emplace_back(SendToPeer{peer, std::move(answer)});
    hear(peer, request.known, now);
}

void ConfigReplica::receive(const Base::IncarnationId &peer,
                            const ConfigAnswer &answer,
                            Base::Instant now)
{
    if (answer.version > version() && !answer.body.empty()) {
        adoptEncoded(answer.body, peer.text());
    }
    hear(peer, answer.version, now);
}

void ConfigReplica::accepted(const ConfigurationDocument &document, Base::Instant now)
{
    if (document.version > version()) {
        adopt(document);
        storeConfirmed(now);
    }
}

// Adoption

/// True if the document is the one in force afterwards.
bool ConfigReplica::adoptEncoded(const std::string &body, const std::string &peer)
{
    ParsedConfiguration parsed = decode(body);
    if (!parsed.isValid()) {
        actions_.emplace_back(ConfigurationRejected{peer, std::move(parsed.problems)});
        return false;
    }
    if (parsed.document.version > version()) {
        adopt(std::move(parsed.document));
        return true;
    }
    return parsed.document.version == version();
}

void ConfigReplica::adopt(ConfigurationDocument document)
{
    agreedAt_.clear();
    const auto before = std::exchange(
        document_, std::make_shared<const ConfigurationDocument>(std::move(document)));
    actions_.emplace_back(ConfigurationAdopted{document_, changesBetween(*before, *document_)});
}

bool ConfigReplica::isFresh(Base::Instant now) const
{
    return isReady_ && confirmedAt_ && now - *confirmedAt_ < settings_.freshnessLimit;
}

// Timers

void ConfigReplica::tick(Base::Instant now)
{
    if (pendingRead_ && pendingRead_->askedAt + settings_.readTimeout <= now) {
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
        consider(pendingRead_->askedAt + settings_.readTimeout);
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
