#pragma once

#include "costmodel.h"
#include "promptaffinity.h"
#include "zoneclosures.h"

#include <base/instant.h>
#include <base/random.h>
#include <base/types.h>
#include <contracts/configuration.h>

#include <list>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace Dispatch {

/// One part of a prompt. Equal keys mean that the part and everything before it are equal.
struct PromptPart
{
    std::uint64_t key = 0;
    Base::Tokens tokens;

    bool operator==(const PromptPart &) const = default;
};

/// One process of a backend server; a restart under the same id is a new instance.
struct ServerInstance
{
    Base::ServerId id;
    /// Start time in milliseconds since the Unix epoch; 0 if unknown.
    std::uint64_t startedAt = 0;

    auto operator<=>(const ServerInstance &) const = default;
};

struct ListedServer
{
    Contracts::BackendServer server;
    std::uint64_t startedAt = 0;
    Base::SoftwareVersion version;
    /// Time for which the server stays cold, from the reading of the list; unset if not stated.
    std::optional<Base::Duration> coldLeft;

    ServerInstance instance() const { return {server.id, startedAt}; }
    bool operator==(const ListedServer &) const = default;
};

/// The server chosen for a request.
struct Placement
{
    ServerInstance instance;
    std::string address;
    /// Estimated load at the time of the choice: requests of this and of other daemons.
    double load = 0;
    std::uint32_t slots = 0;
    Base::Tokens cachedTokens;
    /// Tokens of the prompt that the server is expected to read.
    Base::Tokens missingTokens;
    /// Expected time to the response; unset if the request is not placed by cost.
    std::optional<Base::Duration> expectedTime;
    Base::SoftwareVersion version;
    /// The server has more free slots than are reserved for programs in progress.
    bool hasRoomForNewWork = true;
    /// The request limit of every available server is exhausted; this one's permits return first.
    bool isExhausted = false;
};

struct PlacementSettings
{
    /// Prompt tokens that an engine processes per millisecond; 328 in the deployments' sheets.
    double prefillTokensPerMs = 328;
    /// Delay by one more running request on an engine: 261 tokens of a turn at 0.0202 ms per token
    /// and slot, counted for the new request and for those that it slows down.
    double costPerRunningMs = 10;
    /// A round trip to another zone takes up to 2.8 ms; the rest accounts for the price of traffic.
    double crossZoneCostMs = 12;
    /// Random fraction added to the cost, so that daemons with equal data choose different servers.
    double jitter = 0.2;
    /// Weight of the newest observation in a server's mean latency.
    double latencyWeight = 0.1;
    /// Weight of the newest report in the mean of a service.
    double reportWeight = 0.1;
    /// A statement of slowness is evidence for this time only.
    Base::Duration slownessTime = std::chrono::milliseconds(300);
    std::uint32_t minSlowness = 10;
    std::uint32_t maxSlowness = 10'000;
    /// Time constant of the decay of the load that other daemons caused at the last report.
    Base::Duration reportDecayTime = std::chrono::milliseconds(500);
    /// Expected cost of a failed request: the caller repeats it after some hundred milliseconds, or
    /// the program fails.
    double failureCostMs = 1000;
    /// Weight of the newest outcome in a server's failure rate, and the time constant of its decay.
    double failureWeight = 0.15;
    Base::Duration failureDecayTime = std::chrono::seconds(3);
    /// Fraction of a server's slots that new programs leave to programs in progress.
    double newWorkReserve = 0.25;
    std::uint32_t failuresToEject = 3;
    Base::Duration firstEjection = std::chrono::milliseconds(500);
    Base::Duration longestEjection = std::chrono::seconds(4);
    /// Maximum number of prompt parts recorded as cached per server.
    std::size_t maxCachedParts = 2048;
};

/// Chooses backend servers for requests that are forwarded unchanged. Uses only data of this
/// daemon: the list of servers, its own requests, and the loads that servers report in responses.
class RequestPlacer
{
public:
    RequestPlacer(Base::ZoneId zone, PlacementSettings settings, std::uint64_t seed);
    ~RequestPlacer();

    /// Sets the complete list of servers.
    void serversChanged(const std::vector<ListedServer> &servers);
    /// Sets the complete set of closed zones; their servers get no requests.
    ClosureChanges applyClosures(const std::vector<ClosedZone> &closed,
                                 std::uint64_t revision,
                                 Base::Instant now);
    const ZoneClosures &closures() const { return closures_; }

    /// Returns the server with the least expected cost among those of the given version, if one is
    /// given; nullopt if no server is available.
    std::optional<Placement> choose(const Base::ServiceId &service,
                                    const std::vector<PromptPart> &prompt,
                                    const std::vector<Base::ServerId> &excluded,
                                    Base::Instant now,
                                    const std::optional<Base::SoftwareVersion> &version = {});

    /// Every requestSent() must be followed by one requestEnded().
    void requestSent(const ServerInstance &instance, const std::vector<PromptPart> &prompt);
    void requestEnded(const ServerInstance &instance);
    /// The server responded `latency` after the request was sent.
    void responseReceived(const ServerInstance &instance,
                          Base::Duration latency,
                          Base::Instant now);
    /// No connection, an error or an invalid response, or no response before the timeout.
    void requestFailed(const ServerInstance &instance, Base::Instant now);
    /// The server sent bytes that are no response. It comes after all others for a limited time,
    /// whatever the heads of its other responses say.
    void protocolViolated(const ServerInstance &instance, Base::Instant now);
    /// Running and waiting requests of all daemons, as reported in a response.
    void loadReported(const ServerInstance &instance,
                      std::uint32_t running,
                      std::uint32_t waiting,
                      Base::Instant now);

    /// The server's request limit is exhausted until the given time.
    void permitDenied(const ServerInstance &instance, Base::Instant until);

    /// From now on, requests to the service are placed by their estimated cost.
    void placeByCost(const Base::ServiceId &service);
    /// The VM of the server takes this many percent of the usual time now.
    void slownessReported(const ServerInstance &instance, std::uint32_t percent, Base::Instant now);
    /// A server of the service sent the head of its response; \a missing is that of the placement.
    void costObserved(const Base::ServiceId &service, Base::Tokens missing, Base::Duration time);

    /// The server has announced that it is about to stop; this instance gets no new requests.
    void leavingAnnounced(const ServerInstance &instance);

    bool isListed(const ServerInstance &instance) const;
    /// Address of the listed instance, or nothing.
    std::optional<std::string> addressOf(const ServerInstance &instance) const;
    /// Whether the instance may get new requests.
    bool isAvailable(const ServerInstance &instance) const;
    /// Whether the service has a server that is not leaving, in a zone that is not closed.
    bool hasServer(const Base::ServiceId &service) const;
    /// Whether the instance is listed in a closed zone.
    bool isInClosedZone(const ServerInstance &instance) const;
    /// Whether the service has servers that are not leaving, all of them in closed zones. Counts
    /// only those of the version, if one is given.
    bool hasOnlyClosedServers(const Base::ServiceId &service,
                              const std::optional<Base::SoftwareVersion> &version = {}) const;

private:
    struct Server;

    /// What is learned about the requests of one service.
    struct ServiceCosts
    {
        CostModel model{{}};
        /// Mean of the requests of other daemons in the recent reports of all servers.
        double meanOthersLoad = 0;
        PromptAffinity affinity{{}};
    };

    /// Order of the servers; the least one is chosen.
    struct Rank
    {
        bool isEjected = false;
        /// The server's zone was reopened a short time ago, and this placement leaves it out.
        bool isSpared = false;
        bool isExhausted = false;
        /// Expected cost, or the time until permits return if the server is exhausted.
        double cost = 0;

        auto operator<=>(const Rank &) const = default;
    };

    const Server *find(const ServerInstance &instance) const;
    /// Reopened zones that this placement leaves out.
    std::vector<Base::ZoneId> zonesToSpare(Base::Instant now);
    void updateAffinity();
    Rank rankOf(Server &server, const std::vector<PromptPart> &prompt, Base::Instant now);
    Server *find(const ServerInstance &instance);
    double loadOf(const Server &server, Base::Instant now) const;
    bool hasRoomForNewWork(const Server &server, Base::Instant now) const;
    double failureRateOf(const Server &server, Base::Instant now) const;
    void recordOutcome(Server &server, bool isFailure, Base::Instant now);
    double costOf(Server &server, const std::vector<PromptPart> &prompt, Base::Instant now);
    double estimatedCostOf(Server &server,
                           const std::vector<PromptPart> &prompt,
                           Base::Instant now);
    std::optional<Base::Duration> expectedTimeAt(const Server &server,
                                                 const std::vector<PromptPart> &prompt,
                                                 Base::Instant now) const;
    Base::Tokens missingAt(const Server &server, const std::vector<PromptPart> &prompt) const;
    Base::Tokens cachedAt(const Server &server, const std::vector<PromptPart> &prompt) const;

    Base::ZoneId zone_;
    PlacementSettings settings_;
    Base::Random random_;
    ZoneClosures closures_;
    std::unordered_map<Base::ServerId, std::unique_ptr<Server>> servers_;
    /// Services whose requests are placed by cost.
    std::unordered_map<Base::ServiceId, ServiceCosts> costs_;
    /// That of the service of the current choice; null if it is not placed by cost.
    ServiceCosts *current_ = nullptr;
    /// The servers that preferably keep the first part of the prompt of the current choice.
    const std::unordered_set<Base::ServerId> *homes_ = nullptr;
};

} // namespace Dispatch
