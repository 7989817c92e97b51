#include "replicationfleet.h"

#include <algorithm>
#include <stdexcept>

using namespace TurnHistory;

namespace {

constexpr Base::Duration offerInterval = std::chrono::milliseconds(500);

} // namespace

ReplicationFleet::ReplicationFleet(std::size_t holders, std::size_t zones, std::size_t copies)
{
    settings_.copies = copies;
    for (std::size_t i = 0; i < holders; ++i) {
        addStore(i % zones);
    }
    setPeers();
}

void ReplicationFleet::addStore(std::size_t zone)
{
    auto store = std::make_unique<Store>();
    const std::string name = "vm" + std::to_string(++lastName_);
    store->holder = {Base::VmId(name), Base::ZoneId(std::to_string(zone))};
    store->disk = DiskId(name + "-" + std::to_string(++lastName_));
    boot(*store);
    stores_.push_back(std::move(store));
}

void ReplicationFleet::boot(Store &store)
{
    store.plan.reset();
    store.index = std::make_unique<TurnIndex>();
    for (const Turn &turn : store.turns) {
        store.index->add(turn, {1, store.index->size(), 1});
    }
    store.plan = std::make_unique<ReplicationPlan>(
        store.holder, store.disk, store.isSynchronized, settings_, *store.index);
    if (store.isLeaving) {
        store.plan->setLeaving();
    }
}

ReplicationFleet::Store &ReplicationFleet::store(const Base::VmId &vm)
{
    return const_cast<Store &>(std::as_const(*this).store(vm));
}

const ReplicationFleet::Store &ReplicationFleet::store(const Base::VmId &vm) const
{
    for (const auto &each : stores_) {
        if (each->holder.vm == vm) {
            return *each;
        }
    }
    throw std::logic_error("no holder " + vm.text());
}

void ReplicationFleet::setPeers()
{
    for (const auto &store : stores_) {
        std::vector<Holder> others;
        for (const auto &other : stores_) {
            if (other != store) {
                others.push_back(other->holder);
            }
        }
        store->plan->setPeers(others, now_);
    }
}

bool ReplicationFleet::isReachable(const Base::VmId &a, const Base::VmId &b) const
{
    return !cuts_.contains(std::minmax(a, b));
}

void ReplicationFleet::setCut(const Base::VmId &a, const Base::VmId &b, bool isCut)
{
    if (isCut) {
        cuts_.insert(std::minmax(a, b));
    } else {
        cuts_.erase(std::minmax(a, b));
    }
}

std::vector<Base::VmId> ReplicationFleet::ranked(const std::string &placementKey) const
{
    std::vector<Holder> holders;
    for (const auto &store : stores_) {
        holders.push_back(store->holder);
    }
    return rankHolders(placementKey, holders);
}

void ReplicationFleet::keep(Store &store, const Turn &turn)
{
    if (!store.index->find(turn.id)) {
        store.turns.push_back(turn);
        store.index->add(turn, {1, store.index->size(), 1});
    }
}

bool ReplicationFleet::write(const Turn &turn,
                             const std::function<bool(const Base::VmId &)> &isSkipped)
{
    std::size_t kept = 0;
    for (const Base::VmId &vm : ranked(turn.placementKey)) {
        Store &holder = store(vm);
        if (kept == settings_.copies) {
            break;
        }
        if (holder.isUp && !holder.plan->isLeaving() && !isSkipped(vm)) {
            keep(holder, turn);
            ++kept;
        }
    }
    return kept == settings_.copies;
}

SearchState ReplicationFleet::search(const TurnId &id,
                                     const std::string &placementKey,
                                     const std::function<bool(const Base::VmId &)> &isSkipped) const
{
    ChainSearch search(ranked(placementKey), settings_.copies);
    std::vector<Base::VmId> toAsk = search.start();
    while (!toAsk.empty()) {
        const Base::VmId vm = toAsk.back();
        toAsk.pop_back();
        const Store &holder = store(vm);
        std::vector<Base::VmId> more;
        if (!holder.isUp || isSkipped(vm)) {
            more = search.onFailed(vm);
        } else if (holder.index->find(id)) {
            search.onFound();
        } else {
            more = search.onAbsent(vm, holder.plan->isSynchronized());
        }
        toAsk.insert(toAsk.end(), more.begin(), more.end());
    }
    return search.state();
}

void ReplicationFleet::tick()
{
    now_ += offerInterval;
    for (const auto &from : stores_) {
        for (const auto &to : stores_) {
            const bool isConnected = from != to && from->isUp && to->isUp
                                     && isReachable(from->holder.vm, to->holder.vm);
            if (isConnected) {
                offer(*from, *to);
            }
        }
    }
    completeRetirements();
    removeLostHolders();
}

/// Exchanges offers until the receiver has what the sender means it to have.
void ReplicationFleet::offer(Store &from, Store &to)
{
    do {
        const PlannedOffer planned = from.plan->nextOffer(to.holder.vm, now_);
        OfferResponse response = to.plan->offerReceived(planned.request, now_);
        to.isSynchronized = to.plan->isSynchronized();
        for (const TurnId &id : planned.request.turns) {
            if (!to.index->find(id)) {
                response.missing.push_back(id);
            }
        }
        from.plan->offerAnswered(to.holder.vm, response, now_);
        if (response.isLeaving && !response.missing.empty()) {
            return;
        }
        for (const TurnId &id : response.missing) {
            const auto turn = std::find_if(from.turns.begin(),
                                           from.turns.end(),
                                           [&](const auto &each) { return each.id == id; });
            keep(to, *turn);
        }
        from.plan->offerConfirmed(planned);
    } while (from.plan->isBehind(to.holder.vm));
}

std::vector<Base::VmId> ReplicationFleet::up() const
{
    std::vector<Base::VmId> result;
    for (const auto &store : stores_) {
        if (store->isUp) {
            result.push_back(store->holder.vm);
        }
    }
    return result;
}

std::vector<Base::VmId> ReplicationFleet::registered() const
{
    std::vector<Base::VmId> result;
    for (const auto &store : stores_) {
        result.push_back(store->holder.vm);
    }
    return result;
}

void ReplicationFleet::stop(const Base::VmId &vm)
{
    store(vm).isUp = false;
}

void ReplicationFleet::start(const Base::VmId &vm)
{
    Store &started = store(vm);
    started.isUp = true;
    boot(started);
    setPeers();
}

void ReplicationFleet::emptyDisk(const Base::VmId &vm)
{
    Store &emptied = store(vm);
    emptied.turns.clear();
    emptied.disk = DiskId(vm.text() + "-" + std::to_string(++lastName_));
    emptied.isSynchronized = false;
    boot(emptied);
}

void ReplicationFleet::replace(const Base::VmId &vm)
{
    stop(vm);
    emptyDisk(vm);
    store(vm).isGone = true;
    add(std::stoul(store(vm).holder.zone.text()));
}

void ReplicationFleet::add(std::size_t zone)
{
    addStore(zone);
    setPeers();
}

void ReplicationFleet::retire(const Base::VmId &vm)
{
    Store &leaving = store(vm);
    leaving.isLeaving = true;
    leaving.plan->setLeaving();
}

bool ReplicationFleet::isRetiring() const
{
    return std::any_of(
        stores_.begin(), stores_.end(), [](const auto &store) { return store->isLeaving; });
}

void ReplicationFleet::completeRetirements()
{
    const std::size_t removed = std::erase_if(
        stores_, [&](const auto &store) { return store->isUp && store->plan->isHandedOver(now_); });
    if (removed > 0) {
        setPeers();
    }
}

/// A holder that was only stopped registers again as soon as it is started.
void ReplicationFleet::removeLostHolders()
{
    std::set<Base::VmId> removable;
    for (const auto &store : stores_) {
        if (store->isUp) {
            const std::vector<Base::VmId> lost = store->plan->removablePeers(now_);
            removable.insert(lost.begin(), lost.end());
        }
    }
    const std::size_t removed = std::erase_if(stores_, [&](const auto &store) {
        return store->isGone && removable.contains(store->holder.vm);
    });
    if (removed > 0) {
        setPeers();
    }
}

std::size_t ReplicationFleet::copiesOf(const TurnId &id) const
{
    return static_cast<std::size_t>(
        std::count_if(stores_.begin(), stores_.end(), [&](const auto &store) {
            return store->index->find(id) != nullptr;
        }));
}

bool ReplicationFleet::isSynchronized(const Base::VmId &vm) const
{
    return store(vm).plan->isSynchronized();
}
