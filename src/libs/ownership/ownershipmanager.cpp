#include "ownershipmanager.h"

#include <base/visitor.h>

#include <algorithm>

namespace Ownership {

namespace {

// In a small fleet everyone hears of a change at once; in a large one the versions in heartbeats
// spread it, and only the new owners are told.
constexpr std::size_t notifyAllLimit = 16;

constexpr Base::Duration busyCheck = std::chrono::milliseconds(50);
constexpr Base::Duration idleCheck = std::chrono::milliseconds(500);
constexpr Base::Duration longestBootstrapWait = std::chrono::seconds(20);
constexpr Base::Duration calmPerDaemon = std::chrono::milliseconds(10);
constexpr Base::Duration longestCalm = std::chrono::seconds(2);
constexpr Base::Duration shutdownSettling = std::chrono::seconds(1);
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
    , lease_(
          self_, {settings.shortestRenewal, settings.longestRenewal, settings.storeRetry}, sender_)
    , watch_(self_.incarnation, settings.storeRetry, sender_)
    , assignment_({settings.storeRetry, settings.editBatch},
                  self_.incarnation.text() + "/assignment/",
                  random_.next(),
                  sender_)
    , partitions_(self_.incarnation, watch_)
    , listing_({settings.leaseListing, settings.lonelyListing, settings.storeRetry},
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
    noteOutcome(reply.outcome, now);
    if (listing_.handle(reply, referenced_, now)) {
        tick(now);
        return;
    }
    if (assignment_.handle(reply, now)) {
        adoptAssignment(now);
    } else if (lease_.handle(reply, now)) {
        if (lease_.isLost()) {
            partitions_.loseAll();
        }
    } else if (watch_.handle(reply, now)) {
        if (const Assignment *assignment = assignment_.assignment()) {
            partitions_.finishAcquiring(*assignment);
        }
    }
    tick(now);
}

void OwnershipManager::noteOutcome(const Platform::StoreOutcome &outcome, Base::Instant now)
{
    if (std::holds_alternative<Platform::StoreUnavailable>(outcome)) {
        storeHealthySince_.reset();
    } else if (!storeHealthySince_) {
        storeHealthySince_ = now;
    }
}

void OwnershipManager::adoptAssignment(Base::Instant now)
{
    const Assignment *assignment = assignment_.assignment();
    if (lease_.isLost() || assignment == nullptr || assignment_.version() == adoptedVersion_) {
        return;
    }
    adoptedVersion_ = assignment_.version();
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
    partitions_.adopt(*assignment);
    rebalanceAt_ = std::max(rebalanceAt_, now + randomUpTo(random_, rebalanceJitter));
    notifyPeers();
}

void OwnershipManager::notifyPeers()
{
    std::vector<Base::IncarnationId> receivers = assignment_.takeGainers();
    if (receivers.empty()) {
        return;
    }
    const std::vector<Base::IncarnationId> answering = peers_.answering();
    if (answering.size() <= notifyAllLimit) {
        receivers = answering;
    }
    for (const Base::IncarnationId &receiver : receivers) {
        if (receiver != self_.incarnation) {
            actions_.emplace_back(SendToPeer{receiver, AssignmentChanged{adoptedVersion_}});
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

void OwnershipManager::handle(const Fleet::VersionsSeen &seen, Base::Instant now)
{
    if (seen.versions.lease != 0) {
        peers_.noteRegistered(seen.from);
        watch_.noteVersion(seen.from, Platform::ObjectVersion(seen.versions.lease), now);
    }
    assignment_.noteVersion(Platform::ObjectVersion(seen.versions.assignment), now);
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

void OwnershipManager::partitionAbsorbed(Base::PartitionId partition, Base::Instant now)
{
    const Assignment *assignment = assignment_.assignment();
    if (assignment == nullptr || !partitions_.setAbsorbed(partition)) {
        return;
    }
    const Base::Epoch epoch = partitions_.find(partition)->epoch;
    if (!assignment->entries[partition.value()].predecessors.empty()) {
        assignment_.addLazyEdit(Absorb{partition, {self_.incarnation, epoch}}, now);
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
        listing_.tick(now);
        checkBootstrap(now);
        checkOwners(now);
        if (now >= witnessCheckAt_) {
            witnessCheckAt_ = now + idleCheck;
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
    const Base::Instant dueAt = *startedAt_ + settings_.startupGrace + settings_.rankStep * steps;
    // While daemons still join, an assignment would leave the late ones out.
    const bool isQuiet = now >= membershipChangedAt_ + settings_.startupGrace;
    if (now < dueAt || (!isQuiet && now < dueAt + longestBootstrapWait)) {
        return;
    }
    // Some of the daemons that answer may have registered since the last listing.
    if (!wasListedForBootstrap_) {
        wasListedForBootstrap_ = true;
        listing_.listSoon();
    }
    if (!listing_.isPending()) {
        assignment_.addEdit(Bootstrap{settings_.partitionCount}, now);
    }
}

void OwnershipManager::checkOwners(Base::Instant now)
{
    if (now < *startedAt_ + settings_.startupGrace) {
        return;
    }
    // When many daemons are lost, takeovers that start with the first suspicion would give its
    // partitions to daemons that are lost as well.
    const Base::Duration calm
        = std::min(calmPerDaemon * static_cast<std::int64_t>(peers_.fleetSize()), longestCalm);
    if (now < membershipChangedAt_ + calm && now < lastCalmAt_ + 3 * calm) {
        return;
    }
    lastCalmAt_ = now;
    const std::optional<std::size_t> rank = peers_.rank();
    for (const Base::IncarnationId &owner : owners_) {
        if (watch_.isFenced(owner) && owner != self_.incarnation && rank) {
            assignment_.addEdit(TakeOver{owner}, now);
        } else if (peers_.isAnswering(owner) || !rank) {
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
    const Base::Duration pause = settings_.rankStep * static_cast<std::int64_t>(rank);
    if (now >= contendFrom(owner) + pause) {
        watch_.fenceWhenExpired(owner, pause);
    }
}

Base::Instant OwnershipManager::contendFrom(const Base::IncarnationId &owner) const
{
    return peers_.silentSince(owner).value_or(*startedAt_ + settings_.startupGrace);
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
    const bool isHindered
        = shutdownStartedAt_ || partitions_.handoversInFlight() > 0 || !areOwnersAnswering();
    if (assignment == nullptr || isHindered || now < rebalanceAt_) {
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

bool OwnershipManager::areOwnersAnswering() const
{
    return std::ranges::all_of(
        owners_, [&](const Base::IncarnationId &owner) { return peers_.isAnswering(owner); });
}

void OwnershipManager::checkShutdown(Base::Instant now)
{
    if (!shutdownStartedAt_) {
        return;
    }
    if (!partitions_.all().empty() && !peers_.candidates().empty()) {
        evacuate();
    }
    // Another daemon may assign a partition to this one before it hears that it leaves.
    const bool isSettled = now >= *shutdownStartedAt_ + shutdownSettling;
    const bool isDone = partitions_.all().empty() || peers_.candidates().empty();
    if (!isShutdownComplete_ && isSettled && isDone) {
        isShutdownComplete_ = true;
        actions_.emplace_back(ShutdownComplete{});
    }
}

void OwnershipManager::evacuate()
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
                                         local.isAbsorbed},
                                now);
        }
    }
}

std::optional<Base::Instant> OwnershipManager::nextWakeUp() const
{
    if (!startedAt_ || lease_.isLost()) {
        return std::nullopt;
    }
    Base::Instant wakeUp = lastTick_ + (isBusy() ? busyCheck : idleCheck);
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
    return watch_.isBusy() || !areOwnersAnswering() || shutdownStartedAt_
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
    collectFrom(listing_);
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
