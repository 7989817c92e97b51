#pragma once

#include "callerconnection.h"

#include "connectionpool.h"
#include "crashverifier.h"
#include "daemonmemory.h"
#include "loadcontrol.h"
#include "processcheck.h"
#include "recentprograms.h"
#include "requestaccount.h"
#include "requesttraits.h"
#include "serverconnector.h"
#include "sharedread.h"
#include "shutdownschedule.h"
#include "steadyclock.h"

#include <admission/permitpool.h>
#include <contracts/routingtable.h>
#include <dispatch/requestlimits.h>
#include <dispatch/requestplacer.h>
#include <dispatch/requestquarantine.h>
#include <dispatch/serverprocesses.h>
#include <dispatch/serviceversions.h>
#include <programs/tokenledger.h>
#include <telemetry/log.h>
#include <telemetry/metrics.h>
#include <turnhistory/chainsearch.h>
#include <turnhistory/turncache.h>

#include <asio/io_context.hpp>

#include <functional>
#include <memory>
#include <set>

namespace Proxy {

class Exchange;

struct PassThroughSettings
{
    Base::ZoneId zone;
    /// A reachable server accepts within one round trip; attempts on others end after this time.
    Base::Duration connectTimeout = std::chrono::milliseconds(400);
    /// Attempts per request, including servers that reject it or cannot be reached.
    std::uint32_t maxAttempts = 4;
    /// Retry-After if no server is available; a short queue drains in that time.
    Base::Duration retryAfterBusy = std::chrono::milliseconds(100);
    /// Retry-After of a new program while the servers are full; about the time of two turns.
    Base::Duration retryAfterOverload = std::chrono::milliseconds(500);
    /// Retry-After while only closed zones have servers; a reopened zone is known to all daemons
    /// within this time.
    Base::Duration retryAfterClosed = std::chrono::seconds(1);
    /// Responses up to this size are forwarded only once they are complete.
    std::size_t bufferedResponseBytes = 256 * 1024;
    /// Unsent bytes to a slow caller at which reading from the server pauses.
    std::size_t callerBacklogBytes = 256 * 1024;
    /// Memory that has to be left for a caller's unsent bytes, else reading pauses as well.
    std::size_t memoryStepBytes = 16 * 1024;
    Dispatch::PlacementSettings placement;
    PoolSettings pool;
    ServerConnectorSettings connector;
    LoadControlMode loadControl = LoadControlMode::Auto;
    /// Time after which the store removes the entry of a server that has fallen silent.
    Base::Duration entryLifetime = std::chrono::milliseconds(4800);
    /// Minimum time between two reads of the list of servers for streams that are resumed.
    Base::Duration serverReadInterval = std::chrono::milliseconds(100);
    /// Clock that goes on while the VM is suspended.
    std::function<Base::Instant()> continuousNow = &Proxy::continuousNow;
};

/// Verdict on one turn of a program.
enum class BudgetVerdict {
    Admitted,
    Exhausted,
    /// The budget cannot be checked; the turn was not run.
    Unavailable
};

/// The controls that decide whether a request may run.
struct AdmissionControls
{
    using PermitCallback = std::function<void(const Admission::PermitVerdict &)>;

    /// Takes the permit of one request; calls back once, immediately or later.
    std::function<void(const Contracts::Team &, Admission::Urgency, PermitCallback)> takePermit;
    /// Returns a permit whose request was sent to no server.
    std::function<void(const Contracts::Team &)> returnPermit;
    /// Reserves the maximum that the turn may generate. The program is forgotten after the given
    /// idle time. Calls back once, immediately or later.
    std::function<Programs::ReservationId(
        const RequestTraits &, Base::Duration, std::function<void(BudgetVerdict)>)>
        reserveTokens;
    /// Ends an admitted turn; \a used are the tokens sent to the caller.
    std::function<void(Programs::ReservationId, Base::Tokens used)> settleTokens;
};

/// Access to the completed turns that requests continue.
struct HistoryControls
{
    using FindCallback = std::function<void(TurnHistory::LookupResult, const TurnHistory::Chain &)>;

    /// Whether a turn could be kept now.
    std::function<bool()> isAvailable;
    /// Finds the chain that ends with the given turn. Calls back once, immediately or later.
    std::function<void(const TurnHistory::TurnId &, const std::string &placementKey, FindCallback)>
        find;
    /// Calls back once the turn is durable, or with false if it cannot be kept in the given time.
    /// The returned function ends the attempts without calling back.
    std::function<std::function<void()>(
        TurnHistory::Turn, Base::Duration timeLeft, std::function<void(bool)>)>
        keep;
};

/// Access to the limits that servers state on the requests of all daemons together.
struct LimitControls
{
    using PermitCallback = std::function<void(const Admission::PermitVerdict &)>;

    /// A server stated its limit, or none, in a response.
    std::function<void(const Dispatch::LimitStatement &)> stated;
    std::function<bool(const Dispatch::ServerInstance &)> isLimited;
    /// Takes the permit of one request to a limited server; calls back once, immediately or later.
    std::function<void(
        const Dispatch::ServerInstance &, const Admission::ServerPermitTerms &, PermitCallback)>
        takePermit;
    /// Returns a permit whose request was not sent.
    std::function<void(const Dispatch::ServerInstance &)> returnPermit;
};

/// Access to the software versions of the servers that began recent streams.
struct StreamControls
{
    using FindCallback = std::function<void(const Dispatch::StreamFinding &)>;

    /// The first event of a stream is about to be sent to the caller.
    std::function<void(const Dispatch::StreamName &, const Dispatch::StreamRecord &)> began;
    /// Calls back once, immediately or later.
    std::function<void(const Dispatch::StreamName &, FindCallback)> find;

    using ServersCallback = std::function<void(const std::vector<Dispatch::ListedServer> *)>;
    /// Reads the list of servers from the store, in a call that begins now. Calls back once,
    /// immediately or later, with null if the list could not be read.
    std::function<void(ServersCallback)> readServers;
};

/// Access to the requests that crash servers.
struct QuarantineControls
{
    std::function<bool(const Dispatch::RequestFingerprints &)> isQuarantined;
    /// A server ended the connection on which it had the request.
    std::function<void(const Dispatch::CrashReport &)> crashed;
    /// A server has responded to the request.
    std::function<void(const Dispatch::RequestFingerprints &)> completed;
};

/// Forwards requests of callers to backend servers: finds the route, checks the key, the rate and
/// the budget, chooses the server, and relays the response. Runs on one event loop; not
/// thread-safe.
class PassThrough
{
public:
    PassThrough(asio::io_context &context,
                PassThroughSettings settings,
                HeaderTranslator translator,
                AdmissionControls controls,
                Telemetry::Log &log,
                Telemetry::Metrics &metrics,
                std::uint64_t seed);
    ~PassThrough();

    /// Must be called before the first request on a route whose history is kept.
    void setHistory(HistoryControls history) { history_ = std::move(history); }
    /// Must be called before the first request.
    void setLimits(LimitControls limits) { limits_ = std::move(limits); }
    /// Must be called before the first request.
    void setStreams(StreamControls streams) { streams_ = std::move(streams); }
    /// Must be called before the first request.
    void setQuarantine(QuarantineControls quarantine) { quarantine_ = std::move(quarantine); }
    /// Must be called before the first request; by default, memory is unlimited.
    void setMemory(DaemonMemory &memory);
    /// Receive buffer of callers' connections whose bodies are not leased. Must be called before
    /// the first request.
    void setReceiveBytes(const std::optional<int> &bytes) { handlers_->receiveBytes = bytes; }
    /// Applies the document if its version is newer. Returns whether it was applied.
    bool configure(Contracts::RoutingDocument document);
    void serversChanged(const std::vector<Dispatch::ListedServer> &servers);
    /// Sets the complete set of closed zones, as of a revision of the store.
    Dispatch::ClosureChanges applyClosures(const std::vector<Dispatch::ClosedZone> &closed,
                                           std::uint64_t revision);
    /// Whether the instance is listed in a closed zone; no request may reach it.
    bool isInClosedZone(const Dispatch::ServerInstance &instance) const;
    /// The last list of servers was the current one at the given time.
    void serversConfirmed(Base::Instant asOf);
    /// The same, with the entries of the list; those that are kept although they have expired are
    /// left out.
    void serversConfirmed(Base::Instant asOf, const std::vector<Dispatch::ListedServer> &listed);
    /// The whole system starts for the first time. Must be called before the first list.
    void setFleetStart() { serviceVersions_.setFleetStart(); }

    /// Sets the other daemons, through which servers can be reached.
    void setRelays(std::vector<RelayAddress> relays) { connector_.setRelays(std::move(relays)); }
    /// The daemon is about to end; its connections to servers are not used for new requests.
    void relayStops(const Base::VmId &vm);
    std::optional<asio::ip::tcp::endpoint> addressOf(
        const Dispatch::ServerInstance &instance) const;
    /// Whether this daemon reaches servers through others only.
    bool isCutOff() const { return connector_.paths().isCutOff(); }

    Base::ConfigVersion version() const;
    bool hasConfiguration() const { return table_ != nullptr; }
    std::shared_ptr<const Contracts::RoutingTable> table() const { return table_; }

    /// Handlers for the connections of callers.
    std::shared_ptr<const CallerHandlers> callerHandlers();

    /// From now on, responses close their connections, and requests that would be cut off are
    /// refused.
    void stop(const ShutdownSchedule &schedule = {});
    /// Closes idle connections during the shutdown.
    void closeIdle();
    /// Ends all requests in progress; those without a response yet get one. Called again while the
    /// process ends, for requests that begin meanwhile.
    void endRequests();
    std::size_t activeRequests() const { return exchanges_.size(); }
    std::size_t openConnections() const { return connections_.size(); }
    const RequestAccount &account() const { return account_; }
    /// Updates the metrics that change too often to be set each time.
    void updateGauges();
    void addConnection(const std::shared_ptr<CallerConnection> &connection);

    Base::Instant now() const;

private:
    friend class Exchange;

    void onRequest(const std::shared_ptr<CallerConnection> &caller, CallerRequest request);
    bool isAdmitted(const UnsentRequest &request) const;
    std::shared_ptr<ClientConnection> takeIdle(const Dispatch::ServerInstance &instance);
    void putIdle(const Dispatch::ServerInstance &instance,
                 const std::shared_ptr<ClientConnection> &connection);
    Base::MemoryLease leaseForResponse(const Dispatch::ServerInstance &instance) const;
    void readServers(SharedRead::Done done);
    void mayHaveEnded(const Dispatch::ServerInstance &process, Dispatch::EndSign sign);
    /// Whether servers say which process they are.
    bool mayAskServers() const { return !translator_.identityTarget.empty(); }
    void recordFinding(const Dispatch::ServerInstance &process,
                       ProcessFinding finding,
                       Base::Instant askedAt);
    void probePath();
    void countResponse(int status, Base::Duration latency);

    asio::io_context &context_;
    PassThroughSettings settings_;
    HeaderTranslator translator_;
    AdmissionControls controls_;
    HistoryControls history_;
    LimitControls limits_;
    StreamControls streams_;
    QuarantineControls quarantine_;
    /// Null if memory is unlimited.
    DaemonMemory *memory_ = nullptr;
    Dispatch::ServiceVersions serviceVersions_{{}};
    Dispatch::ServerProcesses processes_{{}};
    SharedRead serverReads_;
    Telemetry::Log &log_;
    Telemetry::Metrics &metrics_;
    Dispatch::RequestPlacer placer_;
    LoadControl load_;
    RequestAccount account_;
    ConnectionPool pool_;
    ServerConnector connector_;
    CrashVerifier crashes_;
    std::shared_ptr<const Contracts::RoutingTable> table_;
    std::shared_ptr<CallerHandlers> handlers_;
    std::set<std::shared_ptr<CallerConnection>> connections_;
    RecentPrograms recentPrograms_;
    /// The requests in progress.
    std::set<Exchange *> exchanges_;
    std::optional<ShutdownSchedule> shutdown_;
    Base::Instant shutdownBegan_;
};

} // namespace Proxy
