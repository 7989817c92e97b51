#include "ledger.h"

#include <algorithm>

namespace Soak {

namespace {

/// Specified tolerance of a team's rate limit: window, factor and absolute slack.
constexpr Base::Duration rateWindow = std::chrono::seconds(5);
constexpr double rateExcess = 1.1;
constexpr double rateSlack = 20;

/// Specified time without faults after which time bounds apply again.
constexpr Base::Duration recoveryTime = std::chrono::seconds(3);

/// Specified bound of the requests to a server that states a limit: window, factor and slack, and
/// the time after which it applies.
constexpr Base::Duration serverWindow = std::chrono::seconds(4);
constexpr double serverExcess = 1.5;
constexpr double serverSlack = 5;
constexpr Base::Duration serverLimitDelay = std::chrono::seconds(3);

/// Specified bound of the requests to a cold server.
constexpr Base::Duration coldWindow = std::chrono::seconds(1);
constexpr double coldExcess = 1.5;
constexpr double coldSlack = 5;

/// Added to the length of each disturbance: its effects end a little later.
constexpr Base::Duration disturbanceSlack = std::chrono::milliseconds(500);

/// Time between SIGTERM and the end of a daemon.
constexpr Base::Duration gracePeriod = std::chrono::seconds(8);

bool guaranteesNotRun(int status)
{
    return status == 429 || status == 503 || status == 402 || status == 401 || status == 404;
}

} // namespace

void Ledger::recordViolation(const std::string &guarantee, const std::string &detail)
{
    violations_.push_back(guarantee + ": " + detail);
}

void Ledger::attemptSent(const std::string &id, Attempt attempt)
{
    attempts_.emplace(id, std::move(attempt));
}

void Ledger::runStarted(const std::string &id,
                        const std::string &team,
                        const std::string &target,
                        const std::string &body,
                        Base::Instant now)
{
    ++runs_;
    const auto entry = attempts_.find(id);
    if (entry == attempts_.end()) {
        recordViolation("unasked", "a server received request " + id + ", which no caller sent");
        return;
    }
    Attempt &attempt = entry->second;
    ++attempt.runs;
    if (attempt.team != team || attempt.target != target || attempt.body != body) {
        recordViolation("changed",
                        "request " + id + " was modified before it reached a server, team " + team);
    }
    const bool mayRunOnce
        = attempt.kind == RequestKind::Order || attempt.kind == RequestKind::KeptTurn;
    if (mayRunOnce && attempt.runs > 1) {
        recordViolation("twice",
                        "request " + id + " ran " + std::to_string(attempt.runs) + " times");
    }
    if (guaranteesNotRun(attempt.status) && attempt.kind != RequestKind::Lookup) {
        recordViolation("refused", id + " ran after status " + std::to_string(attempt.status));
    }
    const auto withdrawal = withdrawnAt_.find(attempt.key);
    const bool mustBeRejected = withdrawal != withdrawnAt_.end()
                                && attempt.sentAt > withdrawal->second + keyWithdrawalBound_
                                && !areFaultsActive_
                                && faultFreeSince_ + recoveryTime < withdrawal->second;
    if (mustBeRejected) {
        recordViolation("key", "request " + id + " ran with a withdrawn key");
    }
    checkRate(team, now);
}

void Ledger::checkRate(const std::string &team, Base::Instant now)
{
    const auto limit = limits_.find(team);
    if (limit == limits_.end()) {
        return;
    }
    std::deque<Base::Instant> &runs = runsOf_[team];
    runs.push_back(now);
    while (runs.front() <= now - rateWindow) {
        runs.pop_front();
    }
    const double bound
        = (limit->second.perSecond * Base::toSeconds(rateWindow) + limit->second.burst) * rateExcess
          + rateSlack;
    if (static_cast<double>(runs.size()) > bound) {
        recordViolation("rate", std::to_string(runs.size()) + " requests of " + team + " in 5 s");
        runs.clear(); // report each excess once
    }
}

void Ledger::serverLimited(const std::string &server, double perSecond, Base::Instant now)
{
    serverLimits_[server] = {perSecond, now, {}};
}

void Ledger::serverRestarted(const std::string &server, double perSecond, Base::Instant coldUntil)
{
    coldServers_[server] = {perSecond, coldUntil, {}};
}

void Ledger::checkCold(const std::string &server, Base::Instant now)
{
    const auto entry = coldServers_.find(server);
    if (entry == coldServers_.end() || now >= entry->second.until) {
        return;
    }
    ColdServer &cold = entry->second;
    cold.arrivals.push_back(now);
    while (cold.arrivals.front() <= now - coldWindow) {
        cold.arrivals.pop_front();
    }
    if (static_cast<double>(cold.arrivals.size()) > coldExcess * cold.perSecond + coldSlack) {
        recordViolation("cold",
                        std::to_string(cold.arrivals.size()) + " requests to the cold server "
                            + server + " in 1 s");
        cold.arrivals.clear(); // report each excess once
    }
}

void Ledger::requestArrived(const std::string &server, Base::Instant now)
{
    checkCold(server, now);
    const auto entry = serverLimits_.find(server);
    const bool isBound = entry != serverLimits_.end() && entry->second.perSecond > 0
                         && now - entry->second.since >= serverLimitDelay;
    if (!isBound) {
        return;
    }
    ServerLimit &limit = entry->second;
    limit.arrivals.push_back(now);
    while (limit.arrivals.front() <= now - serverWindow) {
        limit.arrivals.pop_front();
    }
    const double bound
        = serverExcess * limit.perSecond * Base::toSeconds(serverWindow) + serverSlack;
    if (static_cast<double>(limit.arrivals.size()) > bound) {
        recordViolation("limit",
                        std::to_string(limit.arrivals.size()) + " requests to " + server
                            + " in 4 s, limit " + std::to_string(limit.perSecond));
        limit.arrivals.clear(); // report each excess once
    }
}

void Ledger::turnKept(const std::string &team, KeptChain chain)
{
    chains_[team].push_back(std::move(chain));
}

void Ledger::disturbed(const std::string &name, Base::Instant now, Base::Duration length)
{
    disturbances_[name].push_back({now, now + length + disturbanceSlack});
}

bool Ledger::wasDisturbed(const std::string &name, Base::Instant from, Base::Instant to) const
{
    const auto entry = disturbances_.find(name);
    return entry != disturbances_.end()
           && std::any_of(entry->second.begin(), entry->second.end(), [&](const Disturbance &each) {
                  return each.begin <= to && each.end >= from;
              });
}

void Ledger::offered(const std::string &id, const std::string &server)
{
    const auto entry = attempts_.find(id);
    if (entry != attempts_.end()) {
        entry->second.servers.push_back(server);
    }
}

void Ledger::serverBrokeOff(const std::string &id)
{
    const auto entry = attempts_.find(id);
    if (entry != attempts_.end()) {
        entry->second.isBrokenOff = true;
    }
}

bool Ledger::wereServersDisturbed(const Attempt &attempt, Base::Instant now) const
{
    return attempt.isBrokenOff
           || std::any_of(
               attempt.servers.begin(), attempt.servers.end(), [&](const std::string &server) {
                   return wasDisturbed(server, attempt.sentAt, now);
               });
}

bool Ledger::wasStopping(const Attempt &attempt, Base::Instant now) const
{
    const auto stop = stoppedAt_.find(attempt.daemon);
    return stop != stoppedAt_.end() && now >= stop->second
           && attempt.sentAt < stop->second + gracePeriod;
}

/// Returns the circumstance that allows a connection to end before the response, or an empty
/// string.
std::string Ledger::allowedCut(const Attempt &attempt, bool wasRead, Base::Instant now) const
{
    if (wasDisturbed(attempt.daemon, attempt.sentAt, now)) {
        return "daemon disturbed";
    }
    if (wereServersDisturbed(attempt, now)) {
        return "server broke off";
    }
    if (attempt.kind == RequestKind::KeptTurn && wasDisturbed("holders", attempt.sentAt, now)) {
        return "not kept";
    }
    // The request may have crossed the close of an idle connection. Whether the daemon had read it
    // is not visible here; the daemon's own account tells it at its end.
    if (wasStopping(attempt, now) && !wasRead && attempt.runs == 0) {
        return "crossed a stop";
    }
    return {};
}

void Ledger::requestCut(const std::string &id, bool wasRead, Base::Instant now)
{
    const Attempt &attempt = attempts_.at(id);
    const std::string circumstance = allowedCut(attempt, wasRead, now);
    if (!circumstance.empty()) {
        ++cuts_[circumstance];
        return;
    }
    recordViolation(
        "lost",
        "request " + id + " to " + (wasStopping(attempt, now) ? "stopping " : "") + attempt.daemon
            + " ran " + std::to_string(attempt.runs) + " times and its connection ended "
            + (wasRead ? "after it had been read, " : "without a response, ")
            + std::to_string(Base::toSeconds(now - attempt.sentAt)) + " s after it was sent");
}

/// A server that was not disturbed answers each request that it runs, and its answer is passed on.
void Ledger::checkGatewayError(const std::string &id, const Attempt &attempt, Base::Instant now)
{
    const bool isOwnError = attempt.status == 502 || attempt.status == 504;
    if (isOwnError && attempt.runs > 0 && !wereServersDisturbed(attempt, now)
        && !wasDisturbed(attempt.daemon, attempt.sentAt, now)) {
        recordViolation("unpassed",
                        "request " + id + " to " + attempt.daemon + " ran and was answered "
                            + std::to_string(attempt.status));
    }
}

void Ledger::attemptFinished(const std::string &id, int status, Base::Instant now)
{
    Attempt &attempt = attempts_.at(id);
    attempt.status = status;
    checkGatewayError(id, attempt, now);
    if (attempt.kind == RequestKind::KeptTurn && (status == 404 || status == 410)) {
        recordViolation("lost",
                        "request " + id + " continues a kept turn and was answered "
                            + std::to_string(status));
    }
    const bool isServed = status >= 200 && status < 300;
    served_ += isServed ? 1 : 0;
    refused_ += guaranteesNotRun(status) ? 1 : 0;
    failed_ += isServed || status == 429 || status == 402 ? 0 : 1;
    if (isServed && attempt.runs == 0) {
        recordViolation("mixed", "request " + id + " succeeded but was never run");
    }
    if (guaranteesNotRun(status) && attempt.runs > 0 && attempt.kind != RequestKind::Lookup) {
        recordViolation("refused", id + " has status " + std::to_string(status) + " but was run");
    }
}

void Ledger::tokensDelivered(const std::string &program,
                             std::int64_t tokens,
                             std::int64_t budget,
                             std::int64_t maxTurnTokens)
{
    std::int64_t &total = deliveredTokens_[program];
    total += tokens;
    if (total > budget + maxTurnTokens) {
        recordViolation("budget",
                        "program " + program + " got " + std::to_string(total) + " tokens of "
                            + std::to_string(budget));
    }
}

void Ledger::setFaultsActive(bool areFaultsActive, Base::Instant now)
{
    areFaultsActive_ = areFaultsActive;
    faultFreeSince_ = now;
}

void Ledger::checkAtEnd()
{
    for (const auto &[id, attempt] : attempts_) {
        if (attempt.kind == RequestKind::Order && attempt.runs > 1) {
            recordViolation("twice",
                            "order " + id + " ran " + std::to_string(attempt.runs) + " times");
        }
    }
}

} // namespace Soak
