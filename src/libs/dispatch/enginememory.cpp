#include "enginememory.h"

#include <algorithm>

namespace Dispatch {

EngineMemory::EngineMemory(const DispatchSettings &settings)
    : settings_(&settings)
{}

void EngineMemory::filled(const Base::ServerId &server,
                          const Base::ProgramId &program,
                          Base::Tokens tokens)
{
    std::vector<CachedPrefix> &prefixes = holders_[program];
    for (CachedPrefix &prefix : prefixes) {
        if (prefix.server == server) {
            prefix.tokens = tokens;
            return;
        }
    }
    prefixes.push_back(CachedPrefix{server, tokens});
}

void EngineMemory::evicted(const Base::ServerId &server, const Base::ProgramId &program)
{
    removeHolder(server, program);
}

const std::vector<CachedPrefix> &EngineMemory::holders(const Base::ProgramId &program) const
{
    static const std::vector<CachedPrefix> none;
    const auto it = holders_.find(program);
    return it == holders_.end() ? none : it->second;
}

void EngineMemory::programEnded(const Base::ProgramId &program, Base::Instant now)
{
    const auto it = holders_.find(program);
    if (it == holders_.end()) {
        return;
    }
    const std::vector<CachedPrefix> prefixes = std::move(it->second);
    holders_.erase(it);
    for (const CachedPrefix &prefix : prefixes) {
        release({prefix.server, program}, now);
    }
}

void EngineMemory::released(const Base::ServerId &server, const Base::ProgramId &program)
{
    const auto it = pending_.find({server, program});
    if (it == pending_.end()) {
        return;
    }
    due_.erase({it->second.due, it->first});
    pending_.erase(it);
}

void EngineMemory::serverGone(const Base::ServerId &server)
{
    for (auto it = holders_.begin(); it != holders_.end();) {
        std::erase_if(it->second, [&](const CachedPrefix &p) { return p.server == server; });
        it = it->second.empty() ? holders_.erase(it) : std::next(it);
    }
    auto it = pending_.lower_bound({server, Base::ProgramId()});
    while (it != pending_.end() && it->first.first == server) {
        due_.erase({it->second.due, it->first});
        it = pending_.erase(it);
    }
}

void EngineMemory::sweep(const Base::ServerId &server,
                         const std::vector<Base::ProgramId> &reported,
                         const std::set<Base::ProgramId> &live,
                         Base::Instant now)
{
    const std::set<Base::ProgramId> held(reported.begin(), reported.end());
    for (const Base::ProgramId &program : held) {
        if (!live.contains(program)) {
            release({server, program}, now);
        }
    }
    std::vector<Base::ProgramId> missing;
    for (const auto &[program, prefixes] : holders_) {
        if (!held.contains(program)) {
            missing.push_back(program);
        }
    }
    for (const Base::ProgramId &program : missing) {
        removeHolder(server, program);
    }
}

void EngineMemory::tick(Base::Instant now)
{
    while (!due_.empty() && due_.begin()->first <= now) {
        const CacheKey key = due_.begin()->second;
        due_.erase(due_.begin());
        Pending &pending = pending_.at(key);
        releases_.push_back(ReleaseMemory{key.first, key.second, {}});
        pending.delay = std::min(pending.delay * 2, settings_->longestReleaseRetry);
        pending.due = now + pending.delay;
        due_.emplace(pending.due, key);
    }
}

std::optional<Base::Instant> EngineMemory::nextWakeUp() const
{
    if (due_.empty()) {
        return std::nullopt;
    }
    return due_.begin()->first;
}

std::vector<ReleaseMemory> EngineMemory::takeReleases()
{
    return std::exchange(releases_, {});
}

void EngineMemory::release(const CacheKey &key, Base::Instant now)
{
    if (pending_.contains(key)) {
        return;
    }
    const Base::Instant due = now + settings_->releaseRetry;
    pending_[key] = Pending{due, settings_->releaseRetry};
    due_.emplace(due, key);
    releases_.push_back(ReleaseMemory{key.first, key.second, {}});
}

void EngineMemory::removeHolder(const Base::ServerId &server, const Base::ProgramId &program)
{
    const auto it = holders_.find(program);
    if (it == holders_.end()) {
        return;
    }
    std::erase_if(it->second, [&](const CachedPrefix &prefix) { return prefix.server == server; });
    if (it->second.empty()) {
        holders_.erase(it);
    }
}

} // namespace Dispatch
