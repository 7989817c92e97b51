#pragma once

#include "callerconnection.h"

#include "connectionpool.h"
#include "programmemory.h"
#include "requesttraits.h"

#include <admission/permitpool.h>
#include <contracts/routingtable.h>
#include <dispatch/requestplacer.h>
#include <programs/tokenledger.h>
#include <telemetry/log.h>
#include <telemetry/metrics.h>

#include <asio/io_context.hpp>

#include <functional>
#include <memory>
#include <set>

namespace Proxy {

class Exchange;

struct PassThroughSettings
{
    Base::ZoneId zone;
    /// A server in reach accepts in a round trip; one that does not is tried no longer.
    Base::Duration connectTimeout = std::chrono::milliseconds(400);
    /// Servers that may refuse or be out of reach before the request is given up.
    std::uint32_t maxOffers = 4;
    /// Retry-After of a refusal for want of a server, in which a short queue drains.
    Base::Duration retryAfterBusy = std::chrono::milliseconds(100);
    /// Answers up to this size are passed on only when they are whole.
    std::size_t wholeAnswerBytes = 256 * 1024;
    /// Bytes that a slow caller may leave unread before its server is read no further.
    std::size_t callerBacklogBytes = 256 * 1024;
    Dispatch::PlacementSettings placement;
    PoolSettings pool;
};

/// Verdict on one turn of a program.
enum class BudgetVerdict {
    Admitted,
    Exhausted,
    /// The ledger can't be reached; the turn was not run.
    Unavailable
};

/// The parts that decide whether a request may run.
struct AdmissionControls
{
    using PermitCallback = std::function<void(const Admission::PermitVerdict &)>;

    /// Takes the permit of one request; answers once, now or later.
    std::function<void(const Contracts::Team &, Admission::Urgency, PermitCallback)> takePermit;
    /// The request of a permit was sent to no server.
    std::function<void(const Contracts::Team &)> returnPermit;
    /// Reserves the most that the turn may generate, for a program that is forgotten after the
    /// given pause; answers once, now or later.
    std::function<Programs::ReservationId(
        const RequestTraits &, Base::Duration, std::function<void(BudgetVerdict)>)>
        reserveTokens;
    /// An admitted turn has ended; tokens handed to the caller.
    std::function<void(Programs::ReservationId, Base::Tokens used)> settleTokens;
};

/// Passes callers' requests on to backend servers: finds the route, checks the key, the rate and
/// the budget, chooses the server, and relays the answer. One event loop; not thread-safe.
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

    /// Takes a newer version; an older one or the same is ignored. Returns whether it was taken.
    bool configure(Contracts::RoutingDocument document);
    void serversChanged(const std::vector<Dispatch::ListedServer> &servers);

    Base::ConfigVersion version() const;
    bool hasConfiguration() const { return table_ != nullptr; }
    std::shared_ptr<const Contracts::RoutingTable> table() const { return table_; }

    /// Handlers for connections of callers.
    std::shared_ptr<const CallerServices> callerServices();

    /// New answers end their connections from now on.
    void stop();
    /// Closes connections that are idle while stopping.
    void closeIdle();
    std::size_t activeRequests() const { return active_; }
    std::size_t openConnections() const { return connections_.size(); }
    void addConnection(const std::shared_ptr<CallerConnection> &connection);

    Base::Instant now() const;

private:
    friend class Exchange;

    void onRequest(const std::shared_ptr<CallerConnection> &caller, CallerRequest request);
    void countAnswer(int status, Base::Duration latency);

    asio::io_context &context_;
    PassThroughSettings settings_;
    HeaderTranslator translator_;
    AdmissionControls controls_;
    Telemetry::Log &log_;
    Telemetry::Metrics &metrics_;
    Dispatch::RequestPlacer placer_;
    ConnectionPool pool_;
    std::shared_ptr<const Contracts::RoutingTable> table_;
    std::shared_ptr<CallerServices> services_;
    std::set<std::shared_ptr<CallerConnection>> connections_;
    ProgramMemory programs_;
    std::size_t active_ = 0;
    bool isStopping_ = false;
};

} // namespace Proxy
