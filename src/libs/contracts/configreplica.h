#pragma once

#include "configchanges.h"
#include "configuration.h"
#include "messages.h"

#include <base/settingsreader.h>
#include <platform/store.h>

#include <memory>
#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

namespace Contracts {

struct ConfigReplicaSettings
{
    /// Pause between reads of the store, the back-up of pushes and watches.
    Base::Duration readInterval = std::chrono::seconds(2);
    /// A version that nobody confirmed for this time may be out of date.
    Base::Duration freshnessLimit = std::chrono::seconds(5);
    /// Answers of the store that take longer are given up.
    Base::Duration readTimeout = std::chrono::seconds(1);
    /// Peers that must have the same version for a confirmation without the store. With 1, daemons
    /// that are cut off together confirm each other; a majority rules that out.
    std::uint32_t confirmingPeers = 1;
    /// How long a start without the store collects the versions of peers.
    Base::Duration peerCollection = std::chrono::seconds(1);
    /// Pause between requests to peers that told of a newer version.
    Base::Duration askInterval = std::chrono::milliseconds(100);
};

struct SendStoreRequest
{
    Platform::StoreRequest request;
};

struct SendToPeer
{
    Base::IncarnationId peer;
    ConfigMessage message;
};

/// The daemon goes to this version.
struct ConfigurationAdopted
{
    std::shared_ptr<const ConfigurationDocument> document;
    std::vector<ConfigChange> changes;
};

/// A document from the store or a peer could not be used; the version in force stays.
struct ConfigurationRejected
{
    /// Incarnation of the peer, or "platform".
    std::string peer;
    std::vector<Base::SettingsProblem> problems;
};

using ConfigReplicaAction
    = std::variant<SendStoreRequest, SendToPeer, ConfigurationAdopted, ConfigurationRejected>;

/// One daemon's copy of the configuration. Its version never goes down.
class ConfigReplica
{
public:
    explicit ConfigReplica(const ConfigReplicaSettings &settings);

    /// Object of the store that holds the document.
    static Platform::ObjectKey objectKey();

    void start(std::vector<Base::IncarnationId> peers, Base::Instant now);
    void peersChanged(std::vector<Base::IncarnationId> peers, Base::Instant now);

    void storeReplied(const Platform::StoreReply &reply, Base::Instant now);
    /// The store's watch told of the object, if the daemon keeps one. Adopts but does not confirm:
    /// the event may have been under way for long.
    void watched(const Platform::StoredObject &object);
    /// A peer's heartbeat carried its version.
    void peerVersionReceived(const Base::IncarnationId &peer,
                             Base::ConfigVersion version,
                             Base::Instant now);
    void messageReceived(const Base::IncarnationId &peer,
                         const ConfigMessage &message,
                         Base::Instant now);
    /// This daemon's own editor had a change accepted.
    void accepted(const ConfigurationDocument &document, Base::Instant now);

    void tick(Base::Instant now);
    std::optional<Base::Instant> nextWakeUp() const;
    std::vector<ConfigReplicaAction> takeActions();

    /// Whether a version is in force; false until the store or, in an outage, peers gave one.
    bool isReady() const { return isReady_; }
    /// Whether the store or a peer confirmed the version within the freshness limit. Calls are
    /// refused as not run otherwise.
    bool isFresh(Base::Instant now) const;
    Base::ConfigVersion version() const { return document_->version; }
    std::shared_ptr<const ConfigurationDocument> document() const { return document_; }

private:
    struct PendingRead
    {
        Platform::StoreRequestId id;
        Base::Instant askedAt;
    };

    void readStore(Base::Instant now);
    void readFailed(Base::Instant now);
    void storeFound(const std::string &body, Base::Instant askedAt);
    void storeConfirmed(Base::Instant askedAt);
    void collectFromPeers(Base::Instant now);
    void endCollection(Base::Instant now);
    void ask(const Base::IncarnationId &peer);
    void hear(const Base::IncarnationId &peer, Base::ConfigVersion version, Base::Instant now);
    void confirmByPeers();
    bool adoptEncoded(const std::string &body, const std::string &peer);
    void adopt(ConfigurationDocument document);
    void receive(const Base::IncarnationId &peer, const ConfigPush &push, Base::Instant now);
    void receive(const Base::IncarnationId &peer, const ConfigRequest &request, Base::Instant now);
    void receive(const Base::IncarnationId &peer, const ConfigAnswer &answer, Base::Instant now);

    ConfigReplicaSettings settings_;
    std::shared_ptr<const ConfigurationDocument> document_;
    std::vector<Base::IncarnationId> peers_;
    std::vector<ConfigReplicaAction> actions_;
    std::optional<PendingRead> pendingRead_;
    Platform::StoreRequestId lastRequest_;
    std::optional<Base::Instant> nextRead_;
    /// Highest version that a peer told of; ours is not current while it is lower.
    Base::ConfigVersion highestHeard_;
    std::optional<Base::Instant> confirmedAt_;
    /// When each peer last had the version in force here.
    std::unordered_map<Base::IncarnationId, Base::Instant> agreedAt_;
    std::optional<Base::Instant> askedPeerAt_;
    /// End of the collection of peers' versions; unset unless the start met an outage.
    std::optional<Base::Instant> collectionEnd_;
    bool isReady_ = false;
};

} // namespace Contracts
