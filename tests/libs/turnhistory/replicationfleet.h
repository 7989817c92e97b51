#pragma once

#include <turnhistory/chainsearch.h>
#include <turnhistory/replicationplan.h>

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

/// Daemons that keep turns, on a virtual clock: their disks, processes, registrations and the
/// network between them.
class ReplicationFleet
{
public:
    using Now = Base::Instant;

    ReplicationFleet(std::size_t holders, std::size_t zones, std::size_t copies);

    /// Writes the turn as a caller's daemon does: to the registered holders in the order of their
    /// rank, except those for which \a isSkipped, until enough have it. Returns whether it counts
    /// as kept. Some may have it even if not.
    bool write(const TurnHistory::Turn &turn,
               const std::function<bool(const Base::VmId &)> &isSkipped);
    /// Looks for the turn; holders for which \a isSkipped do not answer.
    TurnHistory::SearchState search(const TurnHistory::TurnId &id,
                                    const std::string &placementKey,
                                    const std::function<bool(const Base::VmId &)> &isSkipped) const;

    /// Advances the clock by one interval of offers.
    void tick();

    std::vector<Base::VmId> up() const;
    bool isUp(const Base::VmId &vm) const { return store(vm).isUp; }
    bool isGone(const Base::VmId &vm) const { return store(vm).isGone; }
    std::vector<Base::VmId> registered() const;
    void stop(const Base::VmId &vm);
    void start(const Base::VmId &vm);
    /// Empties the disk of a stopped holder.
    void emptyDisk(const Base::VmId &vm);
    /// Stops a holder for good, with its disk, and adds an empty one in its zone. The holder stays
    /// registered until the others remove it.
    void replace(const Base::VmId &vm);
    void add(std::size_t zone);
    void retire(const Base::VmId &vm);
    /// Whether a retirement is under way.
    bool isRetiring() const;
    /// Cuts or restores the connection between two holders.
    void setCut(const Base::VmId &a, const Base::VmId &b, bool isCut);
    void healCuts() { cuts_.clear(); }

    /// Copies on disks, also on those of stopped holders.
    std::size_t copiesOf(const TurnHistory::TurnId &id) const;
    bool isSynchronized(const Base::VmId &vm) const;

private:
    struct Store
    {
        TurnHistory::Holder holder;
        TurnHistory::DiskId disk;
        bool isSynchronized = true;
        bool isLeaving = false;
        bool isUp = true;
        bool isGone = false;
        std::vector<TurnHistory::Turn> turns;
        std::unique_ptr<TurnHistory::TurnIndex> index;
        std::unique_ptr<TurnHistory::ReplicationPlan> plan;
    };

    Store &store(const Base::VmId &vm);
    const Store &store(const Base::VmId &vm) const;
    void addStore(std::size_t zone);
    void boot(Store &store);
    void keep(Store &store, const TurnHistory::Turn &turn);
    void setPeers();
    void offer(Store &from, Store &to);
    void completeRetirements();
    void removeLostHolders();
    bool isReachable(const Base::VmId &a, const Base::VmId &b) const;
    std::vector<Base::VmId> ranked(const std::string &placementKey) const;

    TurnHistory::ReplicationPlan::Settings settings_;
    Now now_{};
    std::vector<std::unique_ptr<Store>> stores_;
    std::set<std::pair<Base::VmId, Base::VmId>> cuts_;
    int lastName_ = 0;
};
