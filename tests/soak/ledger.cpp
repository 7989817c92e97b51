#include "ledger.h"

namespace Soak {

namespace {

/// Stated bounds: window, excess and slack of a team's limit.
constexpr Base::Duration rateWindow = std::chrono::seconds(5);
constexpr double rateExcess = 1.1;
constexpr double rateSlack = 20;

/// Stated bound: time without faults after which bounds of time hold again.
constexpr Base::Duration contactTime = std::chrono::seconds(3);

bool promisesNotRun(int status)
{
    return status == 429 || status == 503 || status == 402 || status == 401 || status == 404;
}

} // namespace

void Ledger::broken(const std::string &promise, const std::string &detail)
{
    violations_.push_back(promise + ": " + detail);
}

void Ledger::sent(const std::string &id, Attempt attempt)
{
    attempts_.emplace(id, std::move(attempt));
}

void Ledger::ran(const std::string &id,
                 const std::string &team,
                 const std::string &target,
                 const std::string &body,
                 Base::Instant now)
{
    ++runs_;
    const auto entry = attempts_.find(id);
    if (entry == attempts_.end()) {
        broken("unasked", "a server got request " + id + " that nobody sent");
        return;
    }
    Attempt &attempt = entry->second;
    ++attempt.runs;
    if (attempt.team != team || attempt.target != target || attempt.body != body) {
        broken("changed", "request " + id + " reached a server changed, team " + team);
    }
    if (attempt.kind == RequestKind::Order && attempt.runs > 1) {
        broken("twice", "order " + id + " ran " + std::to_string(attempt.runs) + " times");
    }
    if (promisesNotRun(attempt.status) && attempt.kind != RequestKind::Lookup) {
        broken("refused", id + " ran after status " + std::to_string(attempt.status));
    }
    const auto withdrawal = withdrawnAt_.find(attempt.key);
    const bool isBound = withdrawal != withdrawnAt_.end()
                         && attempt.sentAt > withdrawal->second + keyBound_ && !isDisturbed_
                         && calmSince_ + contactTime < withdrawal->second;
    if (isBound) {
        broken("key", "request " + id + " ran with a key that was withdrawn");
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
        broken("rate", std::to_string(runs.size()) + " requests of " + team + " in 5 s");
        runs.clear(); // one report for each excess
    }
}

void Ledger::answered(const std::string &id, int status)
{
    Attempt &attempt = attempts_.at(id);
    attempt.status = status;
    const bool isServed = status >= 200 && status < 300;
    served_ += isServed ? 1 : 0;
    refused_ += promisesNotRun(status) ? 1 : 0;
    failed_ += isServed || status == 429 || status == 402 ? 0 : 1;
    if (isServed && attempt.runs == 0) {
        broken("mixed", "request " + id + " has a success and never ran");
    }
    if (promisesNotRun(status) && attempt.runs > 0 && attempt.kind != RequestKind::Lookup) {
        broken("refused", id + " has status " + std::to_string(status) + " and has run");
    }
}

void Ledger::handed(const std::string &program,
                    std::int64_t tokens,
                    std::int64_t budget,
                    std::int64_t mostOfATurn)
{
    std::int64_t &total = handed_[program];
    total += tokens;
    if (total > budget + mostOfATurn) {
        broken("budget",
               "program " + program + " got " + std::to_string(total) + " tokens of "
                   + std::to_string(budget));
    }
}

void Ledger::setDisturbed(bool isDisturbed, Base::Instant now)
{
    isDisturbed_ = isDisturbed;
    calmSince_ = now;
}

void Ledger::close()
{
    for (const auto &[id, attempt] : attempts_) {
        if (attempt.kind == RequestKind::Order && attempt.runs > 1) {
            broken("twice", "order " + id + " ran " + std::to_string(attempt.runs) + " times");
        }
    }
}

} // namespace Soak
