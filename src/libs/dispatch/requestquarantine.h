#pragma once

#include "neweststatements.h"
#include "requestfingerprint.h"
#include "requestplacer.h"

#include <base/instant.h>

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace Dispatch {

/// How far a request had got at a server when its connection ended.
enum class CrashStage {
    /// The response of a stream had not begun: the request probably waited.
    Waiting,
    /// The server had just begun to run the request.
    Begun,
    /// Some events of the stream had arrived.
    Producing,
    /// Not known, as a plain response begins when the request ends.
    Unknown
};

/// A server ended the connection on which it had a request.
struct CrashReport
{
    RequestFingerprints request;
    ServerInstance server;
    CrashStage stage = CrashStage::Unknown;
    /// Time from the sending of the request to the end of the connection.
    Base::Duration timeAtServer{};
    /// Time since the end of the connection.
    Base::Duration age{};

    bool operator==(const CrashReport &) const = default;
};

/// Whether requests are kept from all servers.
struct QuarantineStatement
{
    RequestFingerprint request;
    bool isQuarantined = false;
    /// Time of the first crash that led to the statement.
    Base::Instant firstCrashAt;
    /// Time of the decision.
    Base::Instant validAt;
    Base::Duration duration{};

    const RequestFingerprint &subject() const { return request; }
    bool hasSameValue(const QuarantineStatement &other) const
    {
        return isQuarantined == other.isQuarantined && duration == other.duration;
    }
    bool operator==(const QuarantineStatement &) const = default;
};

struct QuarantineSettings
{
    /// Evidence that puts requests into quarantine: two servers that may just have begun to run
    /// one, or six that merely had one.
    int threshold = 6;
    int weightBegun = 3;
    int weightOther = 1;
    /// Time without another crash after which requests are no suspects any more.
    Base::Duration suspicionTime = std::chrono::minutes(10);
    /// Doubles with each return of the same requests, up to the longest.
    Base::Duration firstPathQuarantine = std::chrono::minutes(1);
    Base::Duration firstExactQuarantine = std::chrono::minutes(30);
    Base::Duration longestQuarantine = std::chrono::hours(1);
    /// Time in which daemons that know of a response can contradict a statement on a path, which
    /// sound requests may share.
    Base::Duration contradictionTime = std::chrono::milliseconds(100);
    std::size_t maxSuspects = 4096;
    /// All statements fit into one datagram.
    std::size_t maxStatements = 256;
    std::size_t maxCompletions = 4096;
};

/// Finds requests that crash the servers that run them, out of those that were merely on a server
/// when it crashed: they return, another server crashes, and no server responds. What is known of a
/// request belongs to its fingerprints, as each attempt has an id of its own. The path is one of
/// them because the same fault may come with the bodies of different programs.
class RequestQuarantine
{
public:
    explicit RequestQuarantine(QuarantineSettings settings = {})
        : settings_(settings)
    {}

    /// Returns the statements that the report leads to.
    std::vector<QuarantineStatement> crashed(const CrashReport &report, Base::Instant now);
    /// A server has responded to the request. Returns the statements that this ends.
    std::vector<QuarantineStatement> completed(const RequestFingerprints &request,
                                               Base::Instant now);
    /// Returns whether the statement changes what is known.
    bool apply(const QuarantineStatement &statement, Base::Instant now);
    /// Returns a newer statement if a server has responded to such a request since the first crash.
    std::optional<QuarantineStatement> contradiction(const QuarantineStatement &statement,
                                                     Base::Instant now) const;

    bool isQuarantined(const RequestFingerprints &request, Base::Instant now) const;
    std::vector<QuarantineStatement> statements() const { return statements_.all(); }
    /// Equal if two daemons know the same statements; 0 without any.
    std::uint64_t digest() const;
    /// Number of quarantines in force.
    std::size_t quarantinedCount(Base::Instant now) const;

private:
    /// Crashes of requests that were sent before the first of them was known count once.
    struct Wave
    {
        Base::Instant beganAt;
        int weight = 0;
    };

    struct Suspect
    {
        std::set<ServerInstance> servers;
        std::vector<Wave> waves;
        Base::Instant lastCrashAt;
    };

    std::optional<QuarantineStatement> addEvidence(const RequestFingerprint &request,
                                                   const CrashReport &report,
                                                   Base::Instant now);
    int weightOf(CrashStage stage) const;
    Base::Duration durationFor(const RequestFingerprint &request) const;
    bool isInForce(const QuarantineStatement &statement, Base::Instant now) const;
    void recordCompletion(const RequestFingerprint &request, Base::Instant now);
    void dropOldSuspects(Base::Instant now);
    void dropOldStatements(Base::Instant now);

    QuarantineSettings settings_;
    std::map<RequestFingerprint, Suspect> suspects_;
    NewestStatements<QuarantineStatement> statements_;
    /// Time of the last response by hash of the request, and the hashes, oldest first.
    std::unordered_map<std::uint64_t, Base::Instant> completions_;
    std::deque<std::uint64_t> completionOrder_;
};

} // namespace Dispatch
