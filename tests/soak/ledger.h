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
    Lookup,
    Order
};

/// A caller's attempt as it was sent, and what became of it.
struct Attempt
{
    RequestKind kind = RequestKind::Lookup;
    std::string team;
    std::string key;
    std::string target;
    std::string body;
    Base::Instant sentAt;
    /// Servers that began to work on it.
    int runs = 0;
    /// Final status; 0 while there is none, or after a closed connection.
    int status = 0;
};

/// What a team may use: requests a second and at one moment.
struct TeamLimit
{
    double perSecond = 0;
    double burst = 0;
};

/// What callers and backend servers see, and which promises it breaks.
class Ledger
{
public:
    void sent(const std::string &id, Attempt attempt);
    /// A server begins to work; the team and the body as it got them.
    void ran(const std::string &id,
             const std::string &team,
             const std::string &target,
             const std::string &body,
             Base::Instant now);
    void answered(const std::string &id, int status);
    void handed(const std::string &program,
                std::int64_t tokens,
                std::int64_t budget,
                std::int64_t mostOfATurn);
    void withdrawn(const std::string &key, Base::Instant at) { withdrawnAt_[key] = at; }
    void broken(const std::string &promise, const std::string &detail);

    void setLimit(const std::string &team, TeamLimit limit) { limits_[team] = limit; }
    /// A request that runs with a key withdrawn earlier than this breaks a promise.
    void setKeysBindFrom(Base::Duration bound) { keyBound_ = bound; }
    /// While faults go on, bounds of time do not hold.
    void setDisturbed(bool isDisturbed, Base::Instant now);

    /// Promises that can be judged at the end only.
    void close();

    const std::vector<std::string> &violations() const { return violations_; }
    int servedCount() const { return served_; }
    int refusedCount() const { return refused_; }
    /// Attempts that ended neither served nor beyond a limit.
    int failedCount() const { return failed_; }
    int runCount() const { return runs_; }

private:
    void checkRate(const std::string &team, Base::Instant now);

    std::map<std::string, Attempt> attempts_;
    std::map<std::string, std::int64_t> handed_;
    std::map<std::string, TeamLimit> limits_;
    std::map<std::string, std::deque<Base::Instant>> runsOf_;
    std::map<std::string, Base::Instant> withdrawnAt_;
    Base::Duration keyBound_{};
    bool isDisturbed_ = false;
    Base::Instant calmSince_;
    std::vector<std::string> violations_;
    int served_ = 0;
    int refused_ = 0;
    int failed_ = 0;
    int runs_ = 0;
};

} // namespace Soak
