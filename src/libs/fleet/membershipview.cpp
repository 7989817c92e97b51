#include "membershipview.h"

#include <base/visitor.h>

#include <algorithm>
#include <cmath>

namespace Fleet {

namespace {

// Transmissions of a change in addition to the logarithm of the fleet's size, so that epidemic
// dissemination reaches nearly all daemons; the round-robin of digests reaches the rest.
constexpr int extraTransmissions = 3;
// Fewer transmissions suffice for a daemon that joins, because it contacts the others itself.
constexpr int joinTransmissions = 3;

constexpr Base::Duration firstIntervalDelay = std::chrono::milliseconds(1);

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
    Member &added = members_.emplace(daemon.incarnation, std::move(member)).first->second;
    applyVm(added, now);
    // This process has the address of an earlier one of its VM, which has ended therefore.
    if (daemon.vm == self_.vm && daemon.address == self_.address) {
        markGone(added, GoneReason::Replaced, now);
    }
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
    // The list lags: a daemon that responds is running, whether its VM is listed or not.
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
        resetGone(member);
    }
    member.daemon.address = message.from.address;
    member.sequence = std::max(member.sequence, message.sequence);
    member.lastContact = now;
    member.ackPendingSince.reset();
    member.missedHeartbeats = 0;
    applyState(member, message.from.state);
    removeReplaced(member.daemon, now);
    updateVersions(member, message.versions, now);
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

void MembershipView::resetGone(Member &member)
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
    if (isSuspected && member.lastContact
        && now < *member.lastContact + 2 * settings_.heartbeatInterval) {
        // Possibly only the link between the two other daemons is broken: probe the daemon.
        verify(member, now);
        return;
    }
    member.sequence = digest.sequence;
    // Only the platform's list decides whether a VM is gone; a digest makes the daemon a suspect.
    applyState(member, isSuspected ? DaemonState::Suspect : digest.daemon.state);
}

void MembershipView::verify(Member &member, Base::Instant now)
{
    if (!member.ackPendingSince) {
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
    const bool isJoining = !member.hasJoined && state != DaemonState::Suspect;
    if (before == state && !isJoining) {
        return;
    }
    member.daemon.state = state;
    member.transmissionsLeft = isJoining ? joinTransmissions : transmissionLimit();
    if (isJoining) {
        member.hasJoined = true;
        emit(DaemonJoined{member.daemon});
    }
    if (!member.hasJoined) {
        return;
    }
    if (state == DaemonState::Suspect) {
        emit(DaemonSuspected{member.daemon});
    } else if (before == DaemonState::Suspect && !isJoining) {
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
    member.ackPendingSince.reset();
    member.goneSince = now;
    emit(DaemonGone{member.daemon, reason});
}

void MembershipView::updateVersions(Member &member,
                                    const KnownVersions &versions,
                                    Base::Instant now)
{
    if (versions.config >= highestConfigVersion_) {
        highestConfigVersion_ = versions.config;
        highestConfigReportedAt_ = now;
    }
    if (versions == member.versions) {
        return;
    }
    member.versions = versions;
    actions_.emplace_back(VersionsReported{member.daemon.incarnation, versions});
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
    member.missedHeartbeats = settings_.missedLimit;
    member.ackPendingSince.reset();
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
        nextInterval_ = now + firstIntervalDelay;
    }
    checkAckTimeouts(now);
    if (now >= *nextInterval_) {
        startInterval(now);
        nextInterval_ = now + settings_.heartbeatInterval;
    }
}

void MembershipView::checkAckTimeouts(Base::Instant now)
{
    for (auto &[incarnation, member] : members_) {
        if (!member.ackPendingSince || now < *member.ackPendingSince + settings_.ackTimeout) {
            continue;
        }
        member.ackPendingSince.reset();
        ++member.missedHeartbeats;
        if (member.missedHeartbeats >= settings_.missedLimit) {
            suspect(member, now);
        } else {
            sendHeartbeat(member, now);
        }
    }
}

void MembershipView::startInterval(Base::Instant now)
{
    evictGone(now);
    for (const Base::IncarnationId &target : targets_.choose(members_)) {
        sendHeartbeat(members_.at(target), now);
    }
}

void MembershipView::evictGone(Base::Instant now)
{
    std::erase_if(members_, [&](const auto &item) {
        const Member &member = item.second;
        return member.goneSince && now >= *member.goneSince + settings_.goneRetention;
    });
}

void MembershipView::sendHeartbeat(Member &member, Base::Instant now)
{
    if (!member.ackPendingSince) {
        member.ackPendingSince = now;
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
        if (member.ackPendingSince) {
            const Base::Instant due = *member.ackPendingSince + settings_.ackTimeout;
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

std::optional<Base::Instant> MembershipView::lastContact(
    const Base::IncarnationId &incarnation) const
{
    const auto found = members_.find(incarnation);
    return found == members_.end() ? std::nullopt : found->second.lastContact;
}

int MembershipView::transmissionLimit() const
{
    const double size = static_cast<double>(members_.size()) + 2.0;
    return extraTransmissions + static_cast<int>(std::ceil(std::log2(size)));
}

} // namespace Fleet
