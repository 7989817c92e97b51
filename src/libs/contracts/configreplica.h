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
    /// Interval of reads of the store, which cover lost pushes and watch events.
    Base::Duration readInterval = std::chrono::seconds(2);
    /// A version that was not confirmed within this time may be outdated.
    Base::Duration freshnessLimit = std::chrono::seconds(5);
    /// Timeout of reads of the store.
    Base::Duration readTimeout = std::chrono::seconds(1);
    /// Number of peers that must have the same version for a confirmation without the store. With
    /// 1, daemons in the same network partition confirm each other; a majority prevents that.
    std::uint32_t confirmingPeers = 1;
    /// Time for which the versions of peers are collected if the store is unavailable at the start.
    Base::Duration peerCollection = std::chrono::seconds(1);
    /// Minimum interval of requests to peers that reported a newer version.
    Base::Duration peerRequestInterval = std::chrono::milliseconds(100);
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

/// The document is the active version from now on.
struct ConfigurationActivated
{
    std::shared_ptr<const ConfigurationDocument> document;
    std::vector<ConfigChange> changes;
};

/// A document from the store or a peer is not valid; the active version is unchanged.
struct ConfigurationRejected
{
    /// Incarnation of the peer, or "platform".
    std::string peer;
    std::vector<Base::SettingsProblem> problems;
};

using ConfigReplicaAction
    = std::variant<SendStoreRequest, SendToPeer, ConfigurationActivated, ConfigurationRejected>;

/// One daemon's replica of the configuration. Its version never decreases.
class ConfigReplica
{
public:
    explicit ConfigReplica(const ConfigReplicaSettings &settings);

    /// Key of the object in the store that holds the document.
    static Platform::ObjectKey objectKey();

    void start(std::vector<Base::IncarnationId> peers, Base::Instant now);
    void peersChanged(std::vector<Base::IncarnationId> peers, Base::Instant now);

    void storeReplied(const Platform::StoreReply &reply, Base::Instant now);
    /// A watch of the store reported the object. Activates the version if it is newer, but does not
    /// confirm it, because the event may have been delayed.
    void watchEventReceived(const Platform::StoredObject &object);
    /// A peer's heartbeat carried its version.
    void peerVersionReceived(const Base::IncarnationId &peer,
                             Base::ConfigVersion version,
                             Base::Instant now);
    void messageReceived(const Base::IncarnationId &peer,
                         const ConfigMessage &message,
                         Base::Instant now);
    /// This daemon's editor wrote the document to the store.
    void editAccepted(const ConfigurationDocument &document, Base::Instant now);

    void tick(Base::Instant now);
    std::optional<Base::Instant> nextWakeUp() const;
    std::vector<ConfigReplicaAction> takeActions();

    /// Whether a version is active; false until one was read from the store or, while the store is
    /// unavailable, from peers.
    bool isReady() const { return isReady_; }
    /// Whether the store or enough peers confirmed the version within the freshness limit.
    /// Otherwise calls are refused as not run.
    bool isFresh(Base::Instant now) const;
    Base::ConfigVersion version() const { return document_->version; }
    std::shared_ptr<const ConfigurationDocument> document() const { return document_; }

private:
    struct PendingRead
    {
        Platform::StoreRequestId id;
        Base::Instant sentAt;
    };

    void readStore(Base::Instant now);
    void readFailed(Base::Instant now);
    void storeFound(const std::string &body, Base::Instant sentAt);
    void storeConfirmed(Base::Instant sentAt);
    void collectFromPeers(Base::Instant now);
    void endCollection(Base::Instant now);
    void sendRequest(const Base::IncarnationId &peer);
    void updatePeerVersion(const Base::IncarnationId &peer,
                           Base::ConfigVersion peerVersion,
                           Base::Instant now);
    void confirmByPeers();
    bool activateEncoded(const std::string &body, const std::string &peer);
    void activate(ConfigurationDocument document);
    void receive(const Base::IncarnationId &peer, const ConfigPush &push, Base::Instant now);
    void receive(const Base::IncarnationId &peer, const ConfigRequest &request, Base::Instant now);
    void receive(const Base::IncarnationId &peer,
                 const ConfigResponse &response,
                 Base::Instant now);

    ConfigReplicaSettings settings_;
    std::shared_ptr<const ConfigurationDocument> document_;
    std::vector<Base::IncarnationId> peers_;
    std::vector<ConfigReplicaAction> actions_;
    std::optional<PendingRead> pendingRead_;
    Platform::StoreRequestId lastRequest_;
    std::optional<Base::Instant> nextRead_;
    /// Highest version that a peer reported; while the active version is lower, it is outdated.
    Base::ConfigVersion highestPeerVersion_;
    std::optional<Base::Instant> confirmedAt_;
    /// Time of each peer's last report of the active version.
    std::unordered_map<Base::IncarnationId, Base::Instant> agreedAt_;
    std::optional<Base::Instant> lastPeerRequestAt_;
    /// End of the collection of peers' versions; set only if the store was unavailable at the
    /// start.
    std::optional<Base::Instant> collectionEnd_;
    bool isReady_ = false;
};

} // namespace Contracts
