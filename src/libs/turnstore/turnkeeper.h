#pragma once

#include "holderaddress.h"

#include <proxy/httpcaller.h>
#include <telemetry/log.h>
#include <telemetry/metrics.h>
#include <turnhistory/chainsearch.h>
#include <turnhistory/turncache.h>

#include <asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>

namespace TurnStore {

struct TurnKeeperSettings
{
    /// Turns are read from a holder in this zone if there is one.
    Base::ZoneId zone;
    /// Disks that each turn is written to.
    std::size_t copies = 2;
    /// Recent turns in memory.
    std::size_t cacheBytes = 12 * 1024 * 1024;
};

/// Writes completed turns to the daemons that keep them, and reads the chains that requests
/// continue. Has to outlive its calls to holders. Not thread-safe.
class TurnKeeper
{
public:
    using LookupDone = std::function<void(TurnHistory::LookupResult, const TurnHistory::Chain &)>;
    using Holders = std::vector<HolderAddress>;
    /// Reads the registered holders; calls back with nothing if they cannot be read now.
    using ReadHolders = std::function<void(std::function<void(std::optional<Holders>)>)>;

    TurnKeeper(asio::io_context &context,
               TurnKeeperSettings settings,
               ReadHolders readHolders,
               std::function<Base::Instant()> now,
               Telemetry::Log &log,
               Telemetry::Metrics &metrics);

    /// Responses of holders are leased from the budget, which must outlive the calls to them.
    /// Applies to the holders that are set later.
    void setMemory(Base::MemoryBudget &budget) { memory_ = &budget; }
    void setHolders(const Holders &holders);
    /// Whether enough holders with room on their disks are known to keep a turn.
    bool isAvailable() const;

    /// Finds the chain that ends with the turn \a id. Calls back once, immediately or later.
    void find(const TurnHistory::TurnId &id, const std::string &placementKey, LookupDone done);
    /// Calls back with true once the turn is on the required number of disks, and with false if
    /// that failed until \a timeLeft was over. Holders that fail are asked again in that time. The
    /// returned function ends the attempts without calling back.
    std::function<void()> keep(TurnHistory::Turn turn,
                               Base::Duration timeLeft,
                               std::function<void(bool)> done);

private:
    class KeepCall;
    class FindCall;

    struct HolderState
    {
        HolderAddress address;
        std::shared_ptr<Proxy::HttpCaller> caller;
        /// Until then, other holders are asked first.
        Base::Instant suspectUntil;
        Base::Duration nextBackoff{};
        /// Until then, the disk is taken to be full.
        Base::Instant fullUntil;
    };

    /// All holders for the key in the order of their rank.
    std::vector<Base::VmId> ranked(const std::string &placementKey) const;
    std::set<Base::VmId> holdersWithoutRoom() const;
    void setPendingKeeps(std::size_t count);
    bool isSuspect(const Base::VmId &vm) const;
    bool isInOwnZone(const Base::VmId &vm) const;
    void recordSuccess(const Base::VmId &vm);
    void recordFailure(const Base::VmId &vm);
    void recordFull(const Base::VmId &vm);
    /// The holder has not answered yet, though it usually would have.
    void recordSlow(const Base::VmId &vm);
    void call(const Base::VmId &vm,
              const char *path,
              const std::string &body,
              Base::Bytes maxResponse,
              std::function<void(const Proxy::CallResult &)> done);

    asio::io_context &context_;
    TurnKeeperSettings settings_;
    ReadHolders readHolders_;
    std::function<Base::Instant()> now_;
    Telemetry::Log &log_;
    Telemetry::Metrics &metrics_;
    /// Null means unlimited.
    Base::MemoryBudget *memory_ = nullptr;
    /// Turns that are being written.
    std::size_t pendingKeeps_ = 0;
    TurnHistory::TurnCache cache_;
    std::map<Base::VmId, HolderState> holders_;
};

} // namespace TurnStore
