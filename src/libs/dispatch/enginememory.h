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

/// Tokens of a program that a server is believed to hold.
struct CachedPrefix
{
    Base::ServerId server;
    Base::Tokens tokens;
};

/// Which servers hold cache of which program. Programs that ended are released by orders that are
/// repeated until the engine confirms them.
class EngineMemory
{
public:
    explicit EngineMemory(const DispatchSettings &settings);

    /// The server ran a turn of the program and now holds its history; also an engine's event.
    void filled(const Base::ServerId &server, const Base::ProgramId &program, Base::Tokens tokens);
    /// The engine says that it dropped the program.
    void dropped(const Base::ServerId &server, const Base::ProgramId &program);
    /// Servers that hold the program; empty if none is known.
    const std::vector<CachedPrefix> &holders(const Base::ProgramId &program) const;

    void programEnded(const Base::ProgramId &program, Base::Instant now);
    /// The engine confirmed a release order.
    void released(const Base::ServerId &server, const Base::ProgramId &program);
    /// The server is gone with its memory.
    void serverGone(const Base::ServerId &server);
    /// Compares the engine's complete list with what is known: what the engine does not hold is
    /// forgotten, and programs that are not live are released.
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
    using Place = std::pair<Base::ServerId, Base::ProgramId>;

    void release(const Place &place, Base::Instant now);
    void forget(const Base::ServerId &server, const Base::ProgramId &program);

    const DispatchSettings *settings_;
    std::unordered_map<Base::ProgramId, std::vector<CachedPrefix>> holders_;
    std::map<Place, Pending> pending_;
    std::set<std::pair<Base::Instant, Place>> due_;
    std::vector<ReleaseMemory> releases_;
};

} // namespace Dispatch
