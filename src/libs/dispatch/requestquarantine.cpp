#include "requestquarantine.h"

#include <base/random.h>

#include <algorithm>
#include <numeric>

namespace Dispatch {

int RequestQuarantine::weightOf(CrashStage stage) const
{
    switch (stage) {
    case CrashStage::Begun:
    case CrashStage::Unknown:
        return settings_.weightBegun;
    case CrashStage::Waiting:
    case CrashStage::Producing:
        break;
    }
    return settings_.weightOther;
}

std::vector<QuarantineStatement> RequestQuarantine::crashed(const CrashReport &report,
                                                            Base::Instant now)
{
    std::vector<QuarantineStatement> statements;
    for (const RequestFingerprint &request : report.request.all()) {
        if (auto statement = addEvidence(request, report, now)) {
            apply(*statement, now);
            statements.push_back(std::move(*statement));
        }
    }
    return statements;
}

std::optional<QuarantineStatement> RequestQuarantine::addEvidence(const RequestFingerprint &request,
                                                                  const CrashReport &report,
                                                                  Base::Instant now)
{
    const QuarantineStatement *known = statements_.find(request);
    if (known && isInForce(*known, now)) {
        return std::nullopt;
    }
    dropOldSuspects(now);
    Suspect &suspect = suspects_[request];
    suspect.lastCrashAt = now;
    if (!suspect.servers.insert(report.server).second) {
        return std::nullopt;
    }
    const Base::Instant crashedAt = now - report.age;
    if (suspect.waves.empty() || crashedAt - report.timeAtServer > suspect.waves.back().beganAt) {
        suspect.waves.push_back({crashedAt, 0});
    }
    int &weight = suspect.waves.back().weight;
    weight = std::max(weight, weightOf(report.stage));
    const int sum = std::accumulate(
        suspect.waves.begin(), suspect.waves.end(), 0, [](int total, const Wave &wave) {
            return total + wave.weight;
        });
    if (sum < settings_.threshold) {
        return std::nullopt;
    }
    return QuarantineStatement{
        request, true, suspect.waves.front().beganAt, now, durationFor(request)};
}

Base::Duration RequestQuarantine::durationFor(const RequestFingerprint &request) const
{
    const QuarantineStatement *previous = statements_.find(request);
    if (previous && previous->isQuarantined) {
        return std::min(settings_.longestQuarantine, 2 * previous->duration);
    }
    return request.scope == RequestScope::Path ? settings_.firstPathQuarantine
                                               : settings_.firstExactQuarantine;
}

std::vector<QuarantineStatement> RequestQuarantine::completed(const RequestFingerprints &request,
                                                              Base::Instant now)
{
    std::vector<QuarantineStatement> ended;
    for (const RequestFingerprint &fingerprint : request.all()) {
        suspects_.erase(fingerprint);
        recordCompletion(fingerprint, now);
        const QuarantineStatement *known = statements_.find(fingerprint);
        if (!known) {
            continue;
        }
        if (const auto newer = contradiction(*known, now); newer && apply(*newer, now)) {
            ended.push_back(*newer);
        }
    }
    return ended;
}

void RequestQuarantine::recordCompletion(const RequestFingerprint &request, Base::Instant now)
{
    if (!completions_.insert_or_assign(request.hash, now).second) {
        return;
    }
    completionOrder_.push_back(request.hash);
    if (completionOrder_.size() > settings_.maxCompletions) {
        completions_.erase(completionOrder_.front());
        completionOrder_.pop_front();
    }
}

bool RequestQuarantine::apply(const QuarantineStatement &statement, Base::Instant now)
{
    dropOldStatements(now);
    const bool isChanged = statements_.apply(statement, now);
    if (isChanged) {
        suspects_.erase(statement.request);
    }
    return isChanged;
}

std::optional<QuarantineStatement> RequestQuarantine::contradiction(
    const QuarantineStatement &statement, Base::Instant now) const
{
    const auto completion = completions_.find(statement.request.hash);
    if (!statement.isQuarantined || completion == completions_.end()
        || completion->second <= statement.firstCrashAt) {
        return std::nullopt;
    }
    QuarantineStatement newer = statement;
    newer.isQuarantined = false;
    newer.validAt = now;
    return newer;
}

bool RequestQuarantine::isInForce(const QuarantineStatement &statement, Base::Instant now) const
{
    const Base::Duration age = now - statement.validAt;
    return statement.isQuarantined && age < statement.duration;
}

bool RequestQuarantine::isQuarantined(const RequestFingerprints &request, Base::Instant now) const
{
    if (statements_.size() == 0) {
        return false;
    }
    const std::array<RequestFingerprint, 2> fingerprints = request.all();
    return std::any_of(fingerprints.begin(), fingerprints.end(), [&](const auto &fingerprint) {
        const QuarantineStatement *statement = statements_.find(fingerprint);
        const bool mayBeContradicted = fingerprint.scope == RequestScope::Path && statement
                                       && now - statement->validAt < settings_.contradictionTime;
        return statement && !mayBeContradicted && isInForce(*statement, now);
    });
}

std::uint64_t RequestQuarantine::digest() const
{
    std::uint64_t result = 0;
    for (const QuarantineStatement &statement : statements_.all()) {
        const auto duration = static_cast<std::uint64_t>(statement.duration.count());
        const std::uint64_t seed
            = statement.request.hash ^ (2 * duration + (statement.isQuarantined ? 1 : 0));
        result ^= Base::hash64(statement.request.team.text(), seed);
    }
    return result;
}

std::size_t RequestQuarantine::quarantinedCount(Base::Instant now) const
{
    const std::vector<QuarantineStatement> all = statements_.all();
    return static_cast<std::size_t>(std::count_if(
        all.begin(), all.end(), [&](const auto &statement) { return isInForce(statement, now); }));
}

void RequestQuarantine::dropOldSuspects(Base::Instant now)
{
    if (suspects_.size() < settings_.maxSuspects) {
        return;
    }
    std::erase_if(suspects_, [&](const auto &entry) {
        return now - entry.second.lastCrashAt >= settings_.suspicionTime;
    });
    if (suspects_.size() >= settings_.maxSuspects) {
        suspects_.erase(std::min_element(
            suspects_.begin(), suspects_.end(), [](const auto &left, const auto &right) {
                return left.second.lastCrashAt < right.second.lastCrashAt;
            }));
    }
}

void RequestQuarantine::dropOldStatements(Base::Instant now)
{
    statements_.eraseIf([&](const QuarantineStatement &statement) {
        return now - statement.validAt >= 2 * settings_.longestQuarantine;
    });
    if (statements_.size() < settings_.maxStatements) {
        return;
    }
    const std::vector<QuarantineStatement> all = statements_.all();
    const auto oldest
        = std::min_element(all.begin(), all.end(), [](const auto &left, const auto &right) {
              return left.validAt < right.validAt;
          });
    statements_.eraseIf([&](const auto &statement) { return statement == *oldest; });
}

} // namespace Dispatch
