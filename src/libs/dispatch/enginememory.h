#pragma once

#include "actions.h"
#include "settings.h"

#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace Dispatch {

enum class CacheEventKind {
    Filled,
    Evicted
};

/// Tokens of a program that are presumably cached on a server.
struct CachedPrefix
{
    Base::ServerId server;
    Base::Tokens tokens;
};

/// Tracks which servers have cached which programs. Memory of ended programs is released by orders
/// that are repeated until the engine confirms them.
class EngineMemory
{
public:
    explicit EngineMemory(const DispatchSettings &settings);

    /// The server holds the program's history after a turn, or according to the engine's event.
    void filled(const Base::ServerId &server, const Base::ProgramId &program, Base::Tokens tokens);
    /// The engine reported that it evicted the program.
    void evicted(const Base::ServerId &server, const Base::ProgramId &program);
    /// Servers that are known to hold the program.
    const std::vector<CachedPrefix> &holders(const Base::ProgramId &program) const;

    void programEnded(const Base::ProgramId &program, Base::Instant now);
    /// The engine confirmed a release order.
    void released(const Base::ServerId &server, const Base::ProgramId &program);
    /// The server and its memory no longer exist.
    void serverGone(const Base::ServerId &server);
    /// Compares the engine's complete list with the known holders: removes entries of programs that
    /// the engine does not hold, and releases programs that are not live.
    void sweep(const Base::ServerId &server,
               const std::vector<Base::ProgramId> &reported,
               const std::set<Base::ProgramId> &live,
               Base::Instant now);

    void tick(Base::Instant now);
    std::optional<Base::Instant> nextWakeUp() const;
    /// Releases to send; the dispatcher adds the server's epoch.
    std::vector<ReleaseMemory> takeReleases();
    std::size_t pendingReleases() const { return pending_.size(); }

private:
    struct Pending
    {
        Base::Instant due;
        Base::Duration delay{0};
    };
    using CacheKey = std::pair<Base::ServerId, Base::ProgramId>;

    void release(const CacheKey &key, Base::Instant now);
    void removeHolder(const Base::ServerId &server, const Base::ProgramId &program);

    const DispatchSettings *settings_;
    std::unordered_map<Base::ProgramId, std::vector<CachedPrefix>> holders_;
    std::map<CacheKey, Pending> pending_;
    std::set<std::pair<Base::Instant, CacheKey>> due_;
    std::vector<ReleaseMemory> releases_;
};

} // namespace Dispatch
