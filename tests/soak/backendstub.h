#pragma once

#include "faultrelay.h"
#include "ledger.h"

#include <base/random.h>
#include <proxy/callerconnection.h>

#include <nlohmann/json.hpp>

#include <functional>

namespace Soak {

/// Faults of a fake backend server.
enum class BackendFault {
    None,
    /// Runs some requests and closes the connection without a response.
    DropsResponses,
    /// Closes the connection in the middle of some responses.
    TruncatesResponses,
    /// Sends some responses twice in succession.
    DuplicatesResponses,
    /// Refuses some requests with the header field X-Not-Executed.
    RefusesRequests
};

/// Fake backend server: streams events for turns and sends plain responses to other requests.
class BackendStub
{
public:
    BackendStub(asio::io_context &context,
                std::string id,
                std::string service,
                std::string version,
                Ledger &ledger,
                std::function<Base::Instant()> now,
                std::uint64_t seed);

    const std::string &id() const { return id_; }
    FaultRelay &link() { return relay_; }
    void setFault(BackendFault fault) { fault_ = fault; }
    /// Whether some of the responses that end with the connection are broken off.
    void breakUnframed(bool isBroken) { areUnframedBroken_ = isBroken; }
    /// States the limit in all responses from now on; no limit if it is 0.
    void setLimit(double perSecond);
    /// Breaks off each response to a stream after that many events; 0 ends the fault.
    void breakStreamsAfter(int events) { brokenAfter_ = events; }
    /// From now on the server is another process, which is cold for a while.
    void restart();
    /// Ends the process: its connections are reset, and new ones are refused.
    void stop();
    /// Starts another process of the software version under the same id and address; it is not
    /// cold.
    void start(std::string version);
    const std::string &version() const { return version_; }
    /// Returns the server's entry in the platform's store.
    nlohmann::json entry(bool isLeaving) const;

private:
    using Caller = std::shared_ptr<Proxy::CallerConnection>;
    struct Stream;

    void accept();
    void onRequest(const Caller &caller, const Proxy::CallerRequest &request);
    void respondWithReport(const Caller &caller) const;
    void respondPlain(const Caller &caller, const Proxy::CallerRequest &request);
    void respondUnframed(const Caller &caller, const std::string &id, const std::string &body);
    void resetLater(const Caller &caller);
    void breakOff(const std::string &id) { ledger_.serverBrokeOff(id); }
    void beginStream(const Caller &caller, const Proxy::CallerRequest &request);
    void truncate(const Stream &stream);
    void continueStream(const std::shared_ptr<Stream> &stream);
    Proxy::ResponseHead head(int status, const std::string &id) const;
    bool shouldInject(BackendFault fault)
    {
        return fault_ == fault && random_.chance(faultProbability);
    }

    static constexpr double faultProbability = 0.2;

    asio::io_context &context_;
    std::string id_;
    std::string service_;
    std::string version_;
    double limit_ = 0;
    /// In milliseconds since the Unix epoch.
    std::int64_t startedAt_;
    Base::Instant coldUntil_ = Base::Instant::min();
    Ledger &ledger_;
    std::function<Base::Instant()> now_;
    Base::Random random_;
    asio::ip::tcp::acceptor acceptor_;
    FaultRelay relay_;
    std::shared_ptr<Proxy::CallerHandlers> handlers_;
    BackendFault fault_ = BackendFault::None;
    bool areUnframedBroken_ = false;
    int brokenAfter_ = 0;
};

/// Returns the event with that number of a turn, as a server of the software version sends it.
/// Events of kept turns are the same in all versions and have none.
std::string eventText(const std::string &session, int number, const std::string &version = {});

/// Returns the data of that event, followed by a line feed.
std::string eventData(const std::string &session, int number);

/// Returns the complete body of the response to a plain request, whose target may ask for a large
/// one.
std::string plainResponse(const std::string &id, const std::string &target = {});

/// Target of a request whose response is larger than the buffers between a server and a caller.
constexpr const char *largeTarget = "/lookups/large";

/// Returns the number of events that the body of a turn requests in its last line.
int eventCount(const std::string &body);

constexpr int tokensPerEvent = 20;

/// Time for which a server is cold, and the requests per second that it takes then.
constexpr Base::Duration coldPeriod = std::chrono::seconds(3);
constexpr double coldRate = 6;

} // namespace Soak
