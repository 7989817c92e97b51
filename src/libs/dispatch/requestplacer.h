#pragma once

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

/// One part of a prompt, in order; equal keys stand for equal text after equal text before it.
struct PromptPart
{
    std::uint64_t key = 0;
    Base::Tokens tokens;

    bool operator==(const PromptPart &) const = default;
};

/// One life of a backend server: a restart under the same id is another one.
struct ServerInstance
{
    Base::ServerId id;
    /// Start of this life, milliseconds since the epoch; 0 if unknown.
    std::uint64_t startedAt = 0;

    auto operator<=>(const ServerInstance &) const = default;
};

struct ListedServer
{
    Contracts::BackendServer server;
    std::uint64_t startedAt = 0;

    ServerInstance instance() const { return {server.id, startedAt}; }
    bool operator==(const ListedServer &) const = default;
};

/// Where a request goes.
struct Placement
{
    ServerInstance instance;
    std::string address;
    /// Load that decided, own and others' requests.
    double load = 0;
    std::uint32_t slots = 0;
    Base::Tokens cachedTokens;
};

struct PlacementSettings
{
    /// Prompt tokens that an engine reads in a millisecond; the deployments' sheets state 328.
    double prefillTokensPerMs = 328;
    /// What one more running request costs the others on an engine: 261 tokens of a turn at
    /// 0.0202 ms a token and slot, borne by both sides.
    double costPerRunningMs = 10;
    /// A round trip to another zone takes up to 2.8 ms; the rest stands for the price of the bytes.
    double crossZoneCostMs = 12;
    /// Random share of the cost, so that daemons with the same view choose different servers.
    double jitter = 0.2;
    /// Weight of the newest observation in a server's mean latency.
    double latencyWeight = 0.1;
    /// Time constant at which the load that others caused at the last report is forgotten.
    Base::Duration reportAge = std::chrono::milliseconds(500);
    std::uint32_t failuresToEject = 3;
    Base::Duration firstEjection = std::chrono::milliseconds(500);
    Base::Duration longestEjection = std::chrono::seconds(4);
    /// Parts remembered for each server.
    std::size_t rememberedParts = 2048;
};

/// Chooses backend servers for requests that are passed on as they are, from what one daemon
/// sees: the list of servers, its own requests, and loads that servers report in answers.
class RequestPlacer
{
public:
    RequestPlacer(Base::ZoneId zone, PlacementSettings settings, std::uint64_t seed);
    ~RequestPlacer();

    /// The complete list.
    void serversChanged(const std::vector<ListedServer> &servers);

    /// The server with the least expected cost; nothing if the service has none left.
    std::optional<Placement> choose(const Base::ServiceId &service,
                                    const std::vector<PromptPart> &prompt,
                                    const std::vector<Base::ServerId> &excluded,
                                    Base::Instant now);

    /// Every sent() is followed by one ended().
    void sent(const ServerInstance &instance, const std::vector<PromptPart> &prompt);
    void ended(const ServerInstance &instance);
    /// The server answered this long after the request was sent.
    void answered(const ServerInstance &instance, Base::Duration latency);
    /// No connection, a broken answer or no answer in time.
    void failed(const ServerInstance &instance, Base::Instant now);
    /// Running and waiting requests of all daemons, as an answer states them.
    void loadReported(const ServerInstance &instance,
                      std::uint32_t running,
                      std::uint32_t waiting,
                      Base::Instant now);

    bool isListed(const ServerInstance &instance) const;
    /// Whether the service has a server that could take a request.
    bool hasServer(const Base::ServiceId &service) const;

private:
    struct Server;

    Server *find(const ServerInstance &instance);
    double loadOf(const Server &server, Base::Instant now) const;
    double costOf(Server &server, const std::vector<PromptPart> &prompt, Base::Instant now);
    Base::Tokens cachedAt(const Server &server, const std::vector<PromptPart> &prompt) const;

    Base::ZoneId zone_;
    PlacementSettings settings_;
    Base::Random random_;
    std::unordered_map<Base::ServerId, std::unique_ptr<Server>> servers_;
};

} // namespace Dispatch
