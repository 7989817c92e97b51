#include "membershipview.h"

#include <base/visitor.h>

#include <algorithm>
#include <cmath>

namespace Fleet {

namespace {

// A change is sent as often as the logarithm of the fleet's size and this many times more, so that
// an epidemic with random peers reaches nearly everyone; the rest learns in turn.
constexpr int extraTransmissions = 3;
// A daemon that joins contacts the others itself, so that this only helps.
constexpr int joinTransmissions = 3;

constexpr Base::Duration firstIntervalPause = std::chrono::milliseconds(1);

} // namespace

MembershipView::MembershipView(Daemon self, MembershipSettings settings, std::uint64_t seed)
    : self_(std::move(self))
    , settings_(settings)
    , targets_(settings.targets, seed)
    , digests_(settings.digestLimit)
{}

void MembershipView::addDaemon(const Daemon &daemon, Base::Instant now)
{
    if (daemon.incarnation == self_.incarnation || members_.contains(daemon.incarnation)) {
        return;
    }
    Member member;
    member.daemon = daemon;
    member.daemon.state = DaemonState::Suspect;
    applyVm(members_.emplace(daemon.incarnation, std::move(member)).first->second, now);
}

void MembershipView::handlePlatformList(std::span<const Vm> vms, Base::Instant now)
{
    listedVms_.clear();
    for (const Vm &vm : vms) {
        listedVms_.emplace(vm.id, vm);
    }
    for (auto &[incarnation, member] : members_) {
        applyVm(member, now);
    }
    const auto own = listedVms_.find(self_.vm);
    if (own != listedVms_.end() && own->second.state == VmState::Leaving) {
        beginLeaving(now);
    }
}

void MembershipView::applyVm(Member &member, Base::Instant now)
{
    const auto found = listedVms_.find(member.daemon.vm);
    if (found != listedVms_.end()) {
        member.wasVmListed = true;
        member.isLeaving = member.isLeaving || found->second.state == VmState::Leaving;
        if (member.isLeaving && member.daemon.state == DaemonState::Alive) {
            changeState(member, DaemonState::Leaving);
        }
        return;
    }
    // The list lags: a VM that answers is there, whether it is listed or not.
    if (member.wasVmListed && member.daemon.state == DaemonState::Suspect) {
        markGone(member, GoneReason::VmUnlisted, now);
    }
}

void MembershipView::handle(const FleetMessage &message, Base::Instant now)
{
    std::visit(Base::Visitor{[&](const Heartbeat &heartbeat) {
                                 Member *member = handleContact(heartbeat, now);
                                 if (member != nullptr) {
                                     sendAck(*member, heartbeat.sequence);
                                 }
                             },
                             [&](const HeartbeatAck &ack) { handleContact(ack, now); }},
               message);
}

template<typename Message>
Member *MembershipView::handleContact(const Message &message, Base::Instant now)
{
    if (message.from.incarnation == self_.incarnation) {
        return nullptr;
    }
    Member &member = memberFor(message.from, now);
    if (member.daemon.state == DaemonState::Gone) {
        revive(member);
    }
    member.daemon.address = message.from.address;
    member.sequence = std::max(member.sequence, message.sequence);
    member.lastHeard = now;
    member.awaitedSince.reset();
    member.missed = 0;
    applyState(member, message.from.state);
    removeReplaced(member.daemon, now);
    noteVersions(member, message.versions, now);
    for (const DaemonDigest &digest : message.digests) {
        handleDigest(digest, now);
    }
    return &member;
}

Member &MembershipView::memberFor(const Daemon &daemon, Base::Instant now)
{
    addDaemon(daemon, now);
    return members_.at(daemon.incarnation);
}

void MembershipView::revive(Member &member)
{
    member.goneSince.reset();
    member.hasJoined = false;
    member.daemon.state = DaemonState::Suspect;
}

void MembershipView::handleDigest(const DaemonDigest &digest, Base::Instant now)
{
    if (digest.daemon.incarnation == self_.incarnation) {
        handleDigestOfSelf(digest);
        return;
    }
    const bool isKnown = members_.contains(digest.daemon.incarnation);
    if (!isKnown && digest.daemon.state == DaemonState::Gone) {
        return;
    }
    Member &member = memberFor(digest.daemon, now);
    const bool isNewer
        = digest.sequence > member.sequence
          || (digest.sequence == member.sequence && digest.daemon.state == DaemonState::Suspect);
    if (!isNewer || member.daemon.state == DaemonState::Gone) {
        return;
    }
    const bool isSuspected
        = digest.daemon.state == DaemonState::Suspect || digest.daemon.state == DaemonState::Gone;
    if (isSuspected && member.lastHeard
        && now < *member.lastHeard + 2 * settings_.heartbeatInterval) {
        // Only the link between those two may be broken: ask the daemon itself.
        verify(member, now);
        return;
    }
    member.sequence = digest.sequence;
    // Whether a VM is gone is for the platform's list to say; a digest only makes it a suspect.
    applyState(member, isSuspected ? DaemonState::Suspect : digest.daemon.state);
}

void MembershipView::verify(Member &member, Base::Instant now)
{
    if (!member.awaitedSince) {
        sendHeartbeat(member, now);
    }
}

void MembershipView::handleDigestOfSelf(const DaemonDigest &digest)
{
    if (digest.daemon.state == DaemonState::Suspect) {
        sequence_ = std::max(sequence_, digest.sequence.next());
    }
}

void MembershipView::applyState(Member &member, DaemonState state)
{
    member.isLeaving = member.isLeaving || state == DaemonState::Leaving;
    const bool isLeaving = member.isLeaving && state == DaemonState::Alive;
    changeState(member, isLeaving ? DaemonState::Leaving : state);
}

void MembershipView::changeState(Member &member, DaemonState state)
{
    const DaemonState before = member.daemon.state;
    const bool joins = !member.hasJoined && state != DaemonState::Suspect;
    if (before == state && !joins) {
        return;
    }
    member.daemon.state = state;
    member.transmissionsLeft = joins ? joinTransmissions : transmissionLimit();
    if (joins) {
        member.hasJoined = true;
        emit(DaemonJoined{member.daemon});
    }
    if (!member.hasJoined) {
        return;
    }
    if (state == DaemonState::Suspect) {
        emit(DaemonSuspected{member.daemon});
    } else if (before == DaemonState::Suspect && !joins) {
        emit(DaemonRecovered{member.daemon});
    }
    if (state == DaemonState::Leaving) {
        emit(DaemonLeaving{member.daemon});
    }
}

void MembershipView::removeReplaced(const Daemon &newer, Base::Instant now)
{
    for (auto &[incarnation, member] : members_) {
        const bool isReplaced = member.daemon.vm == newer.vm && incarnation != newer.incarnation
                                && member.daemon.address == newer.address;
        if (isReplaced && member.daemon.state == DaemonState::Suspect) {
            markGone(member, GoneReason::Replaced, now);
        }
    }
}

void MembershipView::markGone(Member &member, GoneReason reason, Base::Instant now)
{
    if (member.daemon.state == DaemonState::Gone) {
        return;
    }
    member.daemon.state = DaemonState::Gone;
    member.awaitedSince.reset();
    member.goneSince = now;
    emit(DaemonGone{member.daemon, reason});
}

void MembershipView::noteVersions(Member &member, const KnownVersions &versions, Base::Instant now)
{
    if (versions.config >= highestConfigVersion_) {
        highestConfigVersion_ = versions.config;
        highestConfigHeard_ = now;
    }
    if (versions == member.versions) {
        return;
    }
    member.versions = versions;
    actions_.emplace_back(VersionsSeen{member.daemon.incarnation, versions});
}

void MembershipView::emit(MembershipEvent event)
{
    actions_.emplace_back(std::move(event));
}

void MembershipView::handleUnreachable(const Base::IncarnationId &incarnation, Base::Instant now)
{
    const auto found = members_.find(incarnation);
    if (found == members_.end() || found->second.daemon.state == DaemonState::Gone) {
        return;
    }
    suspect(found->second, now);
}

void MembershipView::suspect(Member &member, Base::Instant now)
{
    member.missed = settings_.missedLimit;
    member.awaitedSince.reset();
    changeState(member, DaemonState::Suspect);
    applyVm(member, now);
}

void MembershipView::beginLeaving(Base::Instant now)
{
    if (self_.state == DaemonState::Leaving) {
        return;
    }
    self_.state = DaemonState::Leaving;
    sequence_ = sequence_.next();
    for (auto &[incarnation, member] : members_) {
        if (isReachable(member)) {
            sendHeartbeat(member, now);
        }
    }
}

void MembershipView::tick(Base::Instant now)
{
    if (!nextInterval_) {
        nextInterval_ = now + firstIntervalPause;
    }
    checkMissed(now);
    if (now >= *nextInterval_) {
        startInterval(now);
        nextInterval_ = now + settings_.heartbeatInterval;
    }
}

void MembershipView::checkMissed(Base::Instant now)
{
    for (auto &[incarnation, member] : members_) {
        if (!member.awaitedSince || now < *member.awaitedSince + settings_.ackTimeout) {
            continue;
        }
        member.awaitedSince.reset();
        ++member.missed;
        if (member.missed >= settings_.missedLimit) {
            suspect(member, now);
        } else {
            sendHeartbeat(member, now);
        }
    }
}

void MembershipView::startInterval(Base::Instant now)
{
    forgetGone(now);
    for (const Base::IncarnationId &target : targets_.choose(members_)) {
        sendHeartbeat(members_.at(target), now);
    }
}

void MembershipView::forgetGone(Base::Instant now)
{
    std::erase_if(members_, [&](const auto &item) {
        const Member &member = item.second;
        return member.goneSince && now >= *member.goneSince + settings_.goneMemory;
    });
}

void MembershipView::sendHeartbeat(Member &member, Base::Instant now)
{
    if (!member.awaitedSince) {
        member.awaitedSince = now;
    }
    member.wasContacted = true;
    Heartbeat heartbeat{self_, sequence_, versions_, chooseDigests(member)};
    actions_.emplace_back(
        SendToDaemon{member.daemon.incarnation, member.daemon.address, std::move(heartbeat)});
}

void MembershipView::sendAck(const Member &member, HeartbeatSequence answers)
{
    HeartbeatAck ack{self_, sequence_, answers, versions_, chooseDigests(member)};
    actions_.emplace_back(
        SendToDaemon{member.daemon.incarnation, member.daemon.address, std::move(ack)});
}

std::vector<DaemonDigest> MembershipView::chooseDigests(const Member &receiver)
{
    return digests_.choose(members_, receiver.daemon.incarnation, targets_.isPartialView(members_));
}

std::optional<Base::Instant> MembershipView::nextWakeUp() const
{
    std::optional<Base::Instant> wakeUp = nextInterval_;
    for (const auto &[incarnation, member] : members_) {
        if (member.awaitedSince) {
            const Base::Instant due = *member.awaitedSince + settings_.ackTimeout;
            wakeUp = wakeUp ? std::min(*wakeUp, due) : due;
        }
    }
    return wakeUp;
}

std::vector<FleetAction> MembershipView::takeActions()
{
    return std::exchange(actions_, {});
}

const Daemon *MembershipView::find(const Base::IncarnationId &incarnation) const
{
    const auto found = members_.find(incarnation);
    return found == members_.end() ? nullptr : &found->second.daemon;
}

std::vector<Daemon> MembershipView::peers() const
{
    std::vector<Daemon> peers;
    for (const auto &[incarnation, member] : members_) {
        if (isReachable(member)) {
            peers.push_back(member.daemon);
        }
    }
    return peers;
}

bool MembershipView::mayGetNewWork(const Base::IncarnationId &incarnation) const
{
    const Daemon *daemon = find(incarnation);
    return daemon != nullptr && daemon->state == DaemonState::Alive;
}

std::optional<Base::Instant> MembershipView::lastHeard(const Base::IncarnationId &incarnation) const
{
    const auto found = members_.find(incarnation);
    return found == members_.end() ? std::nullopt : found->second.lastHeard;
}

int MembershipView::transmissionLimit() const
{
    const double size = static_cast<double>(members_.size()) + 2.0;
    return extraTransmissions + static_cast<int>(std::ceil(std::log2(size)));
}

} // namespace Fleet
