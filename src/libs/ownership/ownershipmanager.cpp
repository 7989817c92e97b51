#include "ownershipmanager.h"

#include <base/visitor.h>

#include <algorithm>

namespace Ownership {

namespace {

// Up to this many peers are all notified of a new assignment. In a larger fleet only the new owners
// are notified; the others learn the version from heartbeats.
constexpr std::size_t notifyAllLimit = 16;

constexpr Base::Duration busyTickInterval = std::chrono::milliseconds(50);
constexpr Base::Duration idleTickInterval = std::chrono::milliseconds(500);
constexpr Base::Duration maxBootstrapWait = std::chrono::seconds(20);
constexpr Base::Duration quietPeriodPerDaemon = std::chrono::milliseconds(10);
constexpr Base::Duration maxQuietPeriod = std::chrono::seconds(2);
constexpr Base::Duration minShutdownDuration = std::chrono::seconds(1);
constexpr Base::Duration rebalanceJitter = std::chrono::milliseconds(500);

Base::Duration randomUpTo(Base::Random &random, Base::Duration bound)
{
    return Base::Duration(
        static_cast<std::int64_t>(random.below(static_cast<std::uint64_t>(bound.count()) + 1)));
}

} // namespace

OwnershipManager::OwnershipManager(Fleet::Daemon self,
                                   OwnershipSettings settings,
                                   std::uint64_t seed)
    : self_(std::move(self))
    , settings_(settings)
    , random_(seed)
    , peers_(self_)
    , lease_(self_,
             {settings.minRenewalInterval, settings.maxRenewalInterval, settings.storeRetryDelay},
             sender_)
    , watch_(self_.incarnation, settings.storeRetryDelay, sender_)
    , assignment_({settings.storeRetryDelay, settings.editBatchDelay},
                  self_.incarnation.text() + "/assignment/",
                  random_.next(),
                  sender_)
    , partitions_(self_.incarnation, watch_)
    , leaseListing_({settings.leaseListingInterval,
                     settings.soloLeaseListingInterval,
                     settings.storeRetryDelay},
                    peers_,
                    watch_,
                    sender_)
{}

void OwnershipManager::start(Base::Instant now)
{
    startedAt_ = now;
    lastTick_ = now;
    lease_.start(now);
}

void OwnershipManager::handle(const Platform::StoreReply &reply, Base::Instant now)
{
    updateStoreHealth(reply.outcome, now);
    if (leaseListing_.handle(reply, referenced_, now)) {
        tick(now);
        return;
    }
    if (assignment_.handle(reply, now)) {
        applyAssignment(now);
    } else if (lease_.handle(reply, now)) {
        if (lease_.isLost()) {
            partitions_.removeAll();
        }
    } else if (watch_.handle(reply, now)) {
        if (const Assignment *assignment = assignment_.assignment()) {
            partitions_.finishAcquiring(*assignment);
        }
    }
    tick(now);
}

void OwnershipManager::updateStoreHealth(const Platform::StoreOutcome &outcome, Base::Instant now)
{
    if (std::holds_alternative<Platform::StoreUnavailable>(outcome)) {
        storeHealthySince_.reset();
    } else if (!storeHealthySince_) {
        storeHealthySince_ = now;
    }
}

void OwnershipManager::applyAssignment(Base::Instant now)
{
    const Assignment *assignment = assignment_.assignment();
    if (lease_.isLost() || assignment == nullptr || assignment_.version() == appliedVersion_) {
        return;
    }
    appliedVersion_ = assignment_.version();
    owners_.clear();
    referenced_.clear();
    for (const PartitionEntry &entry : assignment->entries) {
        owners_.insert(entry.owner);
        for (const Predecessor &predecessor : entry.predecessors) {
            referenced_.insert(predecessor.incarnation);
        }
    }
    referenced_.insert(owners_.begin(), owners_.end());
    watch_.keepOnly(referenced_);
    partitions_.update(*assignment);
    rebalanceAt_ = std::max(rebalanceAt_, now + randomUpTo(random_, rebalanceJitter));
    notifyPeers();
}

void OwnershipManager::notifyPeers()
{
    std::vector<Base::IncarnationId> receivers = assignment_.takeNewOwners();
    if (receivers.empty()) {
        return;
    }
    const std::vector<Base::IncarnationId> responsivePeers = peers_.responsivePeers();
    if (responsivePeers.size() <= notifyAllLimit) {
        receivers = responsivePeers;
    }
    for (const Base::IncarnationId &receiver : receivers) {
        if (receiver != self_.incarnation) {
            actions_.emplace_back(SendToPeer{receiver, AssignmentChanged{appliedVersion_}});
        }
    }
}

void OwnershipManager::handle(const Fleet::MembershipEvent &event, Base::Instant now)
{
    peers_.handle(event, now);
    membershipChangedAt_ = now;
    const std::size_t size = peers_.fleetSize();
    lease_.setFleetSize(size);
    assignment_.setFleetSize(size);
    rebalanceAt_ = now + settings_.rebalanceDelay + randomUpTo(random_, rebalanceJitter);
    tick(now);
}

void OwnershipManager::handle(const Fleet::VersionsReported &reported, Base::Instant now)
{
    if (reported.versions.lease != 0) {
        peers_.markRegistered(reported.from);
        watch_.updateVersion(reported.from, Platform::ObjectVersion(reported.versions.lease), now);
    }
    assignment_.peerVersionReceived(Platform::ObjectVersion(reported.versions.assignment), now);
}

void OwnershipManager::handle(const OwnershipMessage &message, Base::Instant now)
{
    std::visit(Base::Visitor{[&](const AssignmentChanged &changed) {
                   if (changed.version > assignment_.version()) {
                       assignment_.readNow(now);
                   }
               }},
               message);
    tick(now);
}

void OwnershipManager::witnessesReady(Base::Instant now)
{
    lease_.witnessesReady(now);
}

void OwnershipManager::setConfigVersion(Base::ConfigVersion version)
{
    lease_.setConfigVersion(version);
}

void OwnershipManager::partitionServing(Base::PartitionId partition, Base::Instant now)
{
    partitions_.setServing(partition);
    tick(now);
}

void OwnershipManager::dropPredecessors(Base::PartitionId partition, Base::Instant now)
{
    const Assignment *assignment = assignment_.assignment();
    if (assignment == nullptr || !partitions_.setPredecessorsObsolete(partition)) {
        return;
    }
    const Base::Epoch epoch = partitions_.find(partition)->epoch;
    if (!assignment->entries[partition.value()].predecessors.empty()) {
        assignment_.addDeferredEdit(DropPredecessors{partition, {self_.incarnation, epoch}}, now);
    }
}

void OwnershipManager::beginShutdown(Base::Instant now)
{
    if (shutdownStartedAt_) {
        return;
    }
    shutdownStartedAt_ = now;
    peers_.setSelfLeaving();
    lease_.setLeaving(now);
    tick(now);
}

void OwnershipManager::partitionDrained(Base::PartitionId partition,
                                        Base::SegmentNumber releasedAt,
                                        Base::Instant now)
{
    partitions_.setDrained(partition, releasedAt);
    tick(now);
}

void OwnershipManager::refreshAssignment(Base::Instant now)
{
    assignment_.readSoon(now);
}

void OwnershipManager::tick(Base::Instant now)
{
    if (!startedAt_ || lease_.isLost()) {
        return;
    }
    lastTick_ = now;
    lease_.tick(now);
    if (lease_.isRegistered()) {
        leaseListing_.tick(now);
        checkBootstrap(now);
        checkOwners(now);
        if (now >= witnessCheckAt_) {
            witnessCheckAt_ = now + idleTickInterval;
            checkWitnesses(now);
        }
        checkRebalance(now);
        writeHandovers(now);
        assignment_.tick(peers_.candidates(), now);
    }
    checkShutdown(now);
    watch_.tick(storeHealthySince_, now);
}

void OwnershipManager::checkBootstrap(Base::Instant now)
{
    const std::optional<std::size_t> rank = peers_.rank();
    if (!assignment_.isAbsent() || !rank) {
        return;
    }
    const auto steps = static_cast<std::int64_t>(*rank);
    const Base::Instant dueAt
        = *startedAt_ + settings_.startupGrace + settings_.delayPerRank * steps;
    // An assignment that is written while daemons still join excludes those that join later.
    const bool isQuiet = now >= membershipChangedAt_ + settings_.startupGrace;
    if (now < dueAt || (!isQuiet && now < dueAt + maxBootstrapWait)) {
        return;
    }
    // Some of the responsive daemons may have registered since the last listing.
    if (!wasListedForBootstrap_) {
        wasListedForBootstrap_ = true;
        leaseListing_.listSoon();
    }
    if (!leaseListing_.isPending()) {
        assignment_.addEdit(Bootstrap{settings_.partitionCount}, now);
    }
}

void OwnershipManager::checkOwners(Base::Instant now)
{
    if (now < *startedAt_ + settings_.startupGrace) {
        return;
    }
    // When many daemons fail together, a takeover at the first suspicion would move partitions to
    // daemons that have failed as well.
    const Base::Duration quietPeriod = std::min(
        quietPeriodPerDaemon * static_cast<std::int64_t>(peers_.fleetSize()), maxQuietPeriod);
    if (now < membershipChangedAt_ + quietPeriod && now < lastOwnerCheck_ + 3 * quietPeriod) {
        return;
    }
    lastOwnerCheck_ = now;
    const std::optional<std::size_t> rank = peers_.rank();
    for (const Base::IncarnationId &owner : owners_) {
        if (watch_.isFenced(owner) && owner != self_.incarnation && rank) {
            assignment_.addEdit(TakeOver{owner}, now);
        } else if (peers_.isResponsive(owner) || !rank) {
            watch_.stopFencing(owner);
        } else {
            checkOwner(owner, *rank, now);
        }
    }
}

void OwnershipManager::checkOwner(const Base::IncarnationId &owner,
                                  std::size_t rank,
                                  Base::Instant now)
{
    const Base::Duration delay = settings_.delayPerRank * static_cast<std::int64_t>(rank);
    if (now >= takeoverAllowedFrom(owner) + delay) {
        watch_.fenceWhenExpired(owner, delay);
    }
}

Base::Instant OwnershipManager::takeoverAllowedFrom(const Base::IncarnationId &owner) const
{
    return peers_.unresponsiveSince(owner).value_or(*startedAt_ + settings_.startupGrace);
}

void OwnershipManager::checkWitnesses(Base::Instant now)
{
    if (areWitnessChangesHeld_ || lease_.hasProposal()) {
        return;
    }
    const std::vector<WitnessOption> options = peers_.witnessOptions(settings_.witnessGrace, now);
    const std::vector<Base::IncarnationId> chosen
        = chooseWitnesses(self_, options, lease_.witnesses());
    if (!chosen.empty() && !std::ranges::is_permutation(chosen, lease_.witnesses())) {
        lease_.proposeWitnesses(chosen, now);
    }
}

void OwnershipManager::checkRebalance(Base::Instant now)
{
    const Assignment *assignment = assignment_.assignment();
    const bool isBlocked
        = shutdownStartedAt_ || partitions_.handoversInFlight() > 0 || !areOwnersResponsive();
    if (assignment == nullptr || isBlocked || now < rebalanceAt_) {
        return;
    }
    rebalanceAt_ = now + settings_.rebalanceDelay + randomUpTo(random_, rebalanceJitter);
    const std::vector<Candidate> candidates = peers_.candidates();
    const std::size_t fairShare = assignment->entries.size() / candidates.size();
    if (partitions_.all().size() <= fairShare) {
        return;
    }
    for (const Move &move : planRebalance(*assignment, candidates)) {
        const LocalPartition *local = partitions_.find(move.partition);
        const bool isMovable = move.from == self_.incarnation && local != nullptr
                               && local->state == PartitionState::Serving;
        if (isMovable && partitions_.handoversInFlight() < settings_.handoverLimit) {
            partitions_.startHandover(move.partition, move.to);
        }
    }
}

bool OwnershipManager::areOwnersResponsive() const
{
    return std::ranges::all_of(
        owners_, [&](const Base::IncarnationId &owner) { return peers_.isResponsive(owner); });
}

void OwnershipManager::checkShutdown(Base::Instant now)
{
    if (!shutdownStartedAt_) {
        return;
    }
    if (!partitions_.all().empty() && !peers_.candidates().empty()) {
        handOverAll();
    }
    // Another daemon may assign a partition to this one before it learns of the shutdown.
    const bool isSettled = now >= *shutdownStartedAt_ + minShutdownDuration;
    const bool isDone = partitions_.all().empty() || peers_.candidates().empty();
    if (!isShutdownComplete_ && isSettled && isDone) {
        isShutdownComplete_ = true;
        actions_.emplace_back(ShutdownComplete{});
    }
}

void OwnershipManager::handOverAll()
{
    LoadTable loads(*assignment_.assignment(), peers_.candidates());
    for (const auto &[partition, local] : partitions_.all()) {
        if (local.handoverTo) {
            loads.add(*local.handoverTo);
        }
    }
    std::vector<Move> moves;
    for (const auto &[partition, local] : partitions_.all()) {
        if (local.state == PartitionState::Serving && !local.handoverTo) {
            const Base::IncarnationId to = loads.leastLoaded(partition);
            loads.add(to);
            moves.push_back({partition, self_.incarnation, to});
        }
    }
    for (const Move &move : moves) {
        partitions_.startHandover(move.partition, move.to);
    }
}

void OwnershipManager::writeHandovers(Base::Instant now)
{
    for (const auto &[partition, local] : partitions_.all()) {
        if (local.releasedAt) {
            assignment_.addEdit(HandOver{partition,
                                         {self_.incarnation, local.epoch},
                                         *local.handoverTo,
                                         *local.releasedAt,
                                         local.arePredecessorsObsolete},
                                now);
        }
    }
}

std::optional<Base::Instant> OwnershipManager::nextWakeUp() const
{
    if (!startedAt_ || lease_.isLost()) {
        return std::nullopt;
    }
    Base::Instant wakeUp = lastTick_ + (isBusy() ? busyTickInterval : idleTickInterval);
    if (const auto renewal = lease_.nextWakeUp()) {
        wakeUp = std::min(wakeUp, *renewal);
    }
    if (const auto read = assignment_.nextWakeUp(); read && lease_.isRegistered()) {
        wakeUp = std::min(wakeUp, *read);
    }
    return wakeUp;
}

bool OwnershipManager::isBusy() const
{
    return watch_.isBusy() || !areOwnersResponsive() || shutdownStartedAt_
           || partitions_.isAcquiring();
}

template<typename Part>
void OwnershipManager::collectFrom(Part &part)
{
    for (OwnershipAction &action : part.takeActions()) {
        actions_.push_back(std::move(action));
    }
}

std::vector<OwnershipAction> OwnershipManager::takeActions()
{
    collectFrom(lease_);
    collectFrom(partitions_);
    collectFrom(leaseListing_);
    for (Platform::StoreRequest &request : sender_.take()) {
        actions_.emplace_back(SendStoreRequest{std::move(request)});
    }
    return std::exchange(actions_, {});
}

std::optional<Owner> OwnershipManager::ownerOf(Base::PartitionId partition) const
{
    const Assignment *assignment = assignment_.assignment();
    if (assignment == nullptr || partition.value() >= assignment->entries.size()) {
        return std::nullopt;
    }
    const PartitionEntry &entry = assignment->entries[partition.value()];
    return Owner{entry.owner, entry.epoch};
}

std::optional<Fleet::PeerAddress> OwnershipManager::peerAddress(
    const Base::IncarnationId &incarnation) const
{
    if (const Fleet::PeerAddress *address = peers_.address(incarnation)) {
        return *address;
    }
    const DaemonLease *lease = watch_.lease(incarnation);
    return lease == nullptr ? std::nullopt : std::optional(lease->address);
}

PartitionState OwnershipManager::stateOf(Base::PartitionId partition) const
{
    const LocalPartition *local = partitions_.find(partition);
    return local == nullptr ? PartitionState::NotOwned : local->state;
}

std::uint16_t OwnershipManager::partitionCount() const
{
    const Assignment *assignment = assignment_.assignment();
    return assignment == nullptr ? 0 : static_cast<std::uint16_t>(assignment->entries.size());
}

Platform::ObjectVersion OwnershipManager::assignmentVersion() const
{
    return assignment_.version();
}

Platform::ObjectVersion OwnershipManager::leaseVersion() const
{
    return lease_.version();
}

std::vector<Base::IncarnationId> OwnershipManager::witnessesInUse() const
{
    return lease_.witnessesInUse();
}

bool OwnershipManager::isLeaseLost() const
{
    return lease_.isLost();
}

} // namespace Ownership
