#pragma once

#include <base/instant.h>
#include <base/types.h>

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace Soak {

enum class RequestKind {
    Turn,
    /// A turn that continues kept ones.
    KeptTurn,
    Lookup,
    Order
};

/// A caller's attempt as it was sent, and its outcome.
struct Attempt
{
    RequestKind kind = RequestKind::Lookup;
    std::string team;
    std::string key;
    std::string target;
    std::string body;
    Base::Instant sentAt;
    /// Number of times a server started to run it.
    int runs = 0;
    /// Final HTTP status; 0 while in progress or if the connection was closed.
    int status = 0;
    /// The daemon to which it was sent, and the servers that it reached.
    std::string daemon;
    std::vector<std::string> servers;
    /// A server broke off its response.
    bool isBrokenOff = false;
};

/// A period in which the test itself disturbed a process or its links.
struct Disturbance
{
    Base::Instant begin;
    Base::Instant end;
};

/// A kept turn with everything before it, as a server has to receive it before the next input.
struct KeptChain
{
    std::string turn;
    std::string content;
};

/// Rate limit of a team: requests per second, and burst.
struct TeamLimit
{
    double perSecond = 0;
    double burst = 0;
};

/// Records the requests that callers send and backend servers run, and checks the guarantees.
class Ledger
{
public:
    void attemptSent(const std::string &id, Attempt attempt);
    /// A server starts to run a request, with the team, target and body that it received.
    void runStarted(const std::string &id,
                    const std::string &team,
                    const std::string &target,
                    const std::string &body,
                    Base::Instant now);
    /// A server states a limit of requests per second from now on; 0 if it has none.
    void serverLimited(const std::string &server, double perSecond, Base::Instant now);
    /// A server has started; it takes that many requests per second until the given time.
    void serverRestarted(const std::string &server, double perSecond, Base::Instant coldUntil);
    /// A request has arrived at a server, which may refuse it.
    void requestArrived(const std::string &server, Base::Instant now);
    /// The response to a kept turn has ended, so any caller of the team may continue it.
    void turnKept(const std::string &team, KeptChain chain);
    /// Kept turns of a team.
    const std::vector<KeptChain> &keptChains(const std::string &team) { return chains_[team]; }
    void attemptFinished(const std::string &id, int status, Base::Instant now);
    /// The request has reached a server.
    void offered(const std::string &id, const std::string &server);
    /// A server broke off its response to the request.
    void serverBrokeOff(const std::string &id);
    /// The connection ended before the complete response to a request that was sent completely.
    /// \a wasRead tells that the daemon had certainly read it, as a part of its response arrived or
    /// a request that was written together with it was answered.
    void requestCut(const std::string &id, bool wasRead, Base::Instant now);
    /// The test disturbs a daemon, a server or all turn holders ("holders") for a while.
    void disturbed(const std::string &name, Base::Instant now, Base::Duration length);
    /// A daemon was sent SIGTERM.
    void daemonStopping(const std::string &daemon, Base::Instant now) { stoppedAt_[daemon] = now; }
    void tokensDelivered(const std::string &program,
                         std::int64_t tokens,
                         std::int64_t budget,
                         std::int64_t maxTurnTokens);
    void keyWithdrawn(const std::string &key, Base::Instant at) { withdrawnAt_[key] = at; }
    void recordViolation(const std::string &guarantee, const std::string &detail);

    void setLimit(const std::string &team, TeamLimit limit) { limits_[team] = limit; }
    /// Sets the time within which a withdrawn key must be rejected everywhere.
    void setKeyWithdrawalBound(Base::Duration bound) { keyWithdrawalBound_ = bound; }
    /// Time bounds are not checked while faults are active.
    void setFaultsActive(bool areFaultsActive, Base::Instant now);

    /// Checks the guarantees that can only be checked at the end.
    void checkAtEnd();

    const std::vector<std::string> &violations() const { return violations_; }
    int servedCount() const { return served_; }
    int refusedCount() const { return refused_; }
    /// Attempts that were neither served nor rejected because of a limit.
    int failedCount() const { return failed_; }
    int runCount() const { return runs_; }
    /// A caller has tried to resume a stream.
    void recordResumption(bool isServed) { ++(isServed ? resumed_ : notResumed_); }
    /// Requests whose connection ended before the response, by the circumstance that allows it.
    const std::map<std::string, int> &cuts() const { return cuts_; }
    int resumedCount() const { return resumed_; }
    int notResumedCount() const { return notResumed_; }

private:
    /// The limit that a server states, and the requests that have arrived since.
    struct ServerLimit
    {
        double perSecond = 0;
        Base::Instant since;
        std::deque<Base::Instant> arrivals;
    };

    /// Requests that have arrived at a cold server.
    struct ColdServer
    {
        double perSecond = 0;
        Base::Instant until;
        std::deque<Base::Instant> arrivals;
    };

    void checkCold(const std::string &server, Base::Instant now);
    void checkRate(const std::string &team, Base::Instant now);
    bool wasDisturbed(const std::string &name, Base::Instant from, Base::Instant to) const;
    bool wereServersDisturbed(const Attempt &attempt, Base::Instant now) const;
    bool wasStopping(const Attempt &attempt, Base::Instant now) const;
    std::string allowedCut(const Attempt &attempt, bool wasRead, Base::Instant now) const;
    void checkGatewayError(const std::string &id, const Attempt &attempt, Base::Instant now);

    std::map<std::string, ServerLimit> serverLimits_;
    std::map<std::string, ColdServer> coldServers_;
    std::map<std::string, Attempt> attempts_;
    std::map<std::string, std::vector<Disturbance>> disturbances_;
    std::map<std::string, Base::Instant> stoppedAt_;
    std::map<std::string, int> cuts_;
    std::map<std::string, std::vector<KeptChain>> chains_;
    std::map<std::string, std::int64_t> deliveredTokens_;
    std::map<std::string, TeamLimit> limits_;
    std::map<std::string, std::deque<Base::Instant>> runsOf_;
    std::map<std::string, Base::Instant> withdrawnAt_;
    Base::Duration keyWithdrawalBound_{};
    bool areFaultsActive_ = false;
    Base::Instant faultFreeSince_;
    std::vector<std::string> violations_;
    int served_ = 0;
    int refused_ = 0;
    int failed_ = 0;
    int runs_ = 0;
    int resumed_ = 0;
    int notResumed_ = 0;
};

} // namespace Soak
