#include "daemoncore_p.h"

#include <base/partition.h>
#include <base/visitor.h>

namespace Scheduler {

namespace {

using Base::IncarnationId;
using Base::Instant;
using Base::Visitor;

/// A tick is due after this time even if no machine requests one.
constexpr Base::Duration maxTickInterval = std::chrono::milliseconds(500);

Contracts::ConfigEditorSettings editorSettings(const CoreSettings &settings)
{
    Contracts::ConfigEditorSettings result;
    result.incarnation = settings.self.incarnation;
    return result;
}

Programs::ProgramLimits programLimits(const CoreSettings &settings)
{
    Programs::ProgramLimits limits = settings.programs;
    limits.partitionCount = settings.partitionCount;
    return limits;
}

Ownership::OwnershipSettings ownershipSettings(const CoreSettings &settings)
{
    Ownership::OwnershipSettings result = settings.ownership;
    result.partitionCount = settings.partitionCount;
    return result;
}

} // namespace

DaemonCore::Private::Private(const CoreSettings &settings)
    : settings_(settings)
    , config_(settings.config)
    , editor_(editorSettings(settings))
    , membership_(settings.self, settings.membership, settings.seed)
    , ownership_(settings.self, ownershipSettings(settings), settings.seed + 1)
    , leaseExpiry_(settings.self.incarnation)
    , takeover_(settings.self.incarnation)
    , journal_(settings.self.incarnation, settings.journal)
    , compactor_(settings.self.incarnation, settings.compactor)
    , witness_(settings.self.incarnation, settings.witnessCapacity)
    , programs_(programLimits(settings))
    , router_(
          settings.self.incarnation,
          settings.partitionCount,
          [this](Base::PartitionId partition) { return ownership_.ownerOf(partition); },
          settings.router)
    , borrowers_(settings.self.incarnation, settings.borrower)
    , lenders_(settings.lender)
    , dispatcher_(settings.self.incarnation, settings.dispatch, settings.seed + 2)
    , slotLenders_(settings.slotLender)
{}

void DaemonCore::Private::start(Instant now)
{
    config_.start({}, now);
    lastKeyExpiryCheck_ = now;
    ownership_.start(now);
    processActions(now);
}

void DaemonCore::Private::tick(Instant now)
{
    config_.tick(now);
    for (const Contracts::KeyWithdrawn &key : keys_.expired(lastKeyExpiryCheck_, now)) {
        programs_.keyWithdrawn(key.key, now);
    }
    lastKeyExpiryCheck_ = now;
    for (LoadedPartition &loaded : std::exchange(deferredAdoptions_, {})) {
        adopt(std::move(loaded), now);
    }
    editor_.tick(now);
    membership_.tick(now);
    ownership_.tick(now);
    takeover_.tick(now);
    loader_.tick(now);
    journal_.tick(now);
    compactor_.tick(now);
    programs_.tick(now);
    router_.tick(now);
    borrowers_.tick(now);
    lenders_.tick(now);
    dispatcher_.tick(now);
    slotLenders_.tick(now);
    renewWitnessLeases(now);
    processActions(now);
}

std::optional<Instant> DaemonCore::Private::nextWakeUp() const
{
    const std::optional<Instant> wakeUps[] = {config_.nextWakeUp(),
                                              editor_.nextWakeUp(),
                                              membership_.nextWakeUp(),
                                              ownership_.nextWakeUp(),
                                              takeover_.nextWakeUp(),
                                              loader_.nextWakeUp(),
                                              journal_.nextWakeUp(),
                                              compactor_.nextWakeUp(),
                                              programs_.nextWakeUp(),
                                              router_.nextWakeUp(),
                                              borrowers_.nextWakeUp(),
                                              lenders_.nextWakeUp(),
                                              dispatcher_.nextWakeUp(),
                                              slotLenders_.nextWakeUp()};
    std::optional<Instant> next;
    for (const std::optional<Instant> &wakeUp : wakeUps) {
        if (wakeUp && (!next || *wakeUp < *next)) {
            next = wakeUp;
        }
    }
    return next;
}

void DaemonCore::Private::processActions(Instant now)
{
    // Each round takes the actions of every machine once; a round without any action ends the loop.
    size_t before = 0;
    do {
        before = processedActions_;
        configActions(now);
        editorActions(now);
        membershipActions(now);
        ownershipActions(now);
        takeover_.startPending(now);
        takeoverActions(now);
        loaderActions(now);
        journalActions(now);
        compactorActions(now);
        programActions(now);
        routerActions(now);
        borrowerActions(now);
        slotActions(now);
        dispatchActions(now);
        drainPartitions(now);
        while (!selfMessages_.empty()) {
            PeerMessage message = std::move(selfMessages_.front());
            selfMessages_.pop_front();
            ++processedActions_;
            receive(settings_.self.incarnation, message, now);
        }
    } while (before != processedActions_);
}

void DaemonCore::Private::callStore(StoreClient client,
                                    std::uint64_t instance,
                                    Platform::StoreRequest request)
{
    actions_.emplace_back(CallStore{store_.wrap(client, instance, std::move(request))});
}

void DaemonCore::Private::storeReplied(Platform::StoreReply reply, Instant now)
{
    const std::optional<RoutedReply> routed = store_.unwrap(std::move(reply));
    if (!routed) {
        return;
    }
    switch (routed->client) {
    case StoreClient::Config:
        config_.storeReplied(routed->reply, now);
        break;
    case StoreClient::ConfigEditor:
        editor_.storeReplied(routed->reply, now);
        break;
    case StoreClient::Ownership:
        if (leaseExpiry_.replyReceived(routed->reply)) {
            extendLending(now);
        }
        ownership_.handle(routed->reply, now);
        break;
    case StoreClient::Journal:
        journal_.handle(routed->reply, now);
        break;
    case StoreClient::Compactor:
        compactor_.handle(routed->reply, now);
        break;
    case StoreClient::Takeover:
        takeover_.storeReplied(routed->instance, routed->reply, now);
        break;
    case StoreClient::Loader:
        loader_.storeReplied(routed->instance, routed->reply, now);
        break;
    }
    processActions(now);
}

void DaemonCore::Private::send(const IncarnationId &to, PeerMessage message, Instant now)
{
    if (to == settings_.self.incarnation) {
        selfMessages_.push_back(std::move(message));
        return;
    }
    std::optional<Fleet::PeerAddress> address = ownership_.peerAddress(to);
    if (!address) {
        const Fleet::Daemon *daemon = membership_.find(to);
        if (!daemon) {
            return;
        }
        address = daemon->address;
    }
    if (std::holds_alternative<Journal::WitnessAppend>(message)) {
        witnessLeases_.appendSent(to, now);
    }
    actions_.emplace_back(SendToPeer{to, *address, std::move(message)});
}

void DaemonCore::Private::sendToOwner(Base::PartitionId partition, PeerMessage message, Instant now)
{
    const std::optional<Ownership::Owner> owner = ownership_.ownerOf(partition);
    if (owner) {
        send(owner->incarnation, std::move(message), now);
    }
}

void DaemonCore::Private::receive(const IncarnationId &from, PeerMessage &message, Instant now)
{
    std::visit(
        Visitor{
            [&](const ForwardedRequest &request) { requestForwarded(from, request, now); },
            [&](ForwardedReply &reply) {
                router_.replied(reply.request, std::move(reply.reply), now);
            },
            [&](const ForwardedCancel &cancel) {
                if (const auto id = remoteCallers_.localId({from, cancel.request})) {
                    remoteCallers_.remove(*id);
                    programs_.callerGone(*id, now);
                }
            },
            [&](const Fleet::Heartbeat &heartbeat) {
                config_.peerVersionReceived(from, heartbeat.versions.config, now);
                membership_.handle(heartbeat, now);
            },
            [&](const Fleet::HeartbeatAck &ack) {
                config_.peerVersionReceived(from, ack.versions.config, now);
                membership_.handle(ack, now);
            },
            [&](const Ownership::AssignmentChanged &changed) { ownership_.handle(changed, now); },
            [&](const Journal::WitnessAppend &append) { send(from, witness_.append(append), now); },
            [&](const Journal::WitnessAppendReply &reply) {
                witnessLeases_.replyReceived(from,
                                             reply.verdict == Journal::WitnessVerdict::Accepted);
                extendLending(now);
                journal_.handle(reply, now);
            },
            [&](const Journal::WitnessSeal &seal) {
                if (auto reply = witness_.seal(seal)) {
                    send(from, std::move(*reply), now);
                }
            },
            [&](const Journal::WitnessSealReply &reply) { takeover_.witnessReplied(reply, now); },
            [&](const Contracts::ConfigPush &push) { config_.messageReceived(from, push, now); },
            [&](const Contracts::ConfigRequest &request) {
                config_.messageReceived(from, request, now);
            },
            [&](const Contracts::ConfigResponse &response) {
                config_.messageReceived(from, response, now);
            },
            [&](const Admission::GrantRequest &request) { lenders_.requested(request, now); },
            [&](const Admission::Grant &grant) { borrowers_.granted(grant, now); },
            [&](const Admission::GrantReturn &grant) { lenders_.returned(grant, now); },
            [&](const Dispatch::SlotRequest &request) { slotLenders_.requested(request, now); },
            [&](const Dispatch::SlotGrant &grant) { dispatcher_.slotGranted(grant, now); },
            [&](const Dispatch::SlotReturn &slot) { slotLenders_.returned(from, slot, now); }},
        message);
}

Base::PartitionId DaemonCore::Private::partitionOfTeam(const Base::TeamId &team) const
{
    return Base::partitionOf(team, settings_.partitionCount);
}

Base::PartitionId DaemonCore::Private::partitionOfServer(const Base::ServerId &server) const
{
    return Base::partitionOf(server, settings_.partitionCount);
}

DaemonCore::DaemonCore(const CoreSettings &settings)
    : d_(std::make_unique<Private>(settings))
{}

DaemonCore::~DaemonCore() = default;

void DaemonCore::start(Instant now)
{
    d_->start(now);
}

void DaemonCore::call(IncomingCall call, Instant now)
{
    d_->call(std::move(call), now);
    d_->processActions(now);
}

std::optional<Base::Error> DaemonCore::earlyRefusal(
    const std::string &key,
    const std::optional<Base::ServiceId> &plainService,
    Base::Instant now) const
{
    return d_->earlyRefusal(key, plainService, now);
}

void DaemonCore::callerGone(Base::RequestId request, Instant now)
{
    d_->callerGone(request, now);
    d_->processActions(now);
}

void DaemonCore::peerMessage(const IncarnationId &from, PeerMessage message, Instant now)
{
    d_->receive(from, message, now);
    d_->processActions(now);
}

void DaemonCore::peerFailed(const IncarnationId &to,
                            const std::vector<PeerMessage> &messages,
                            Instant now)
{
    d_->membership_.handleUnreachable(to, now);
    for (const PeerMessage &message : messages) {
        if (const auto *request = std::get_if<ForwardedRequest>(&message)) {
            d_->router_.deliveryFailed(request->request, to, now);
        } else if (std::holds_alternative<Journal::WitnessAppend>(message)) {
            d_->witnessLeases_.sendFailed(to, now);
        }
    }
    d_->processActions(now);
}

void DaemonCore::storeReplied(Platform::StoreReply reply, Instant now)
{
    d_->storeReplied(std::move(reply), now);
}

void DaemonCore::configurationEventReceived(const Platform::StoredObject &object, Instant now)
{
    d_->config_.watchEventReceived(object);
    d_->processActions(now);
}

void DaemonCore::vmsListed(std::span<const Fleet::Vm> vms, Instant now)
{
    d_->membership_.handlePlatformList(vms, now);
    d_->processActions(now);
}

void DaemonCore::outputReceived(Dispatch::DispatchId id, const std::string &text, Instant now)
{
    d_->outputReceived(id, text, now);
    d_->processActions(now);
}

void DaemonCore::modelFinished(Dispatch::DispatchId id, const Dispatch::Usage &usage, Instant now)
{
    d_->modelFinished(id, usage, now);
    d_->processActions(now);
}

void DaemonCore::plainFinished(Dispatch::DispatchId id, PlainResult result, Instant now)
{
    d_->plainFinished(id, std::move(result), now);
    d_->processActions(now);
}

void DaemonCore::runFailed(Dispatch::DispatchId id, const Dispatch::Failure &failure, Instant now)
{
    d_->runFailed(id, failure, now);
    d_->processActions(now);
}

void DaemonCore::probed(const Base::ServerId &server, bool isUp, Instant now)
{
    d_->dispatcher_.probed(server, isUp, now);
    d_->processActions(now);
}

void DaemonCore::memoryReleased(const Base::ServerId &server,
                                const Base::ProgramId &program,
                                Instant now)
{
    d_->dispatcher_.memoryReleased(server, program);
    d_->processActions(now);
}

void DaemonCore::engineLoadReported(const EngineLoadReport &report, Instant now)
{
    d_->engineLoadReported(report, now);
    d_->processActions(now);
}

void DaemonCore::edit(Contracts::SubmitEdit edit, Instant now)
{
    d_->editor_.submit(std::move(edit), now);
    d_->processActions(now);
}

void DaemonCore::beginShutdown(Instant now)
{
    d_->isShuttingDown_ = true;
    d_->membership_.beginLeaving(now);
    d_->ownership_.beginShutdown(now);
    d_->processActions(now);
}

size_t DaemonCore::openRequests() const
{
    return d_->router_.pending() + d_->awaitingPermit_.size();
}

size_t DaemonCore::openRuns() const
{
    return d_->runs_.size();
}

void DaemonCore::tick(Instant now)
{
    d_->tick(now);
}

Instant DaemonCore::nextWakeUp(Instant now) const
{
    const std::optional<Instant> next = d_->nextWakeUp();
    return next ? std::min(*next, now + maxTickInterval) : now + maxTickInterval;
}

std::vector<CoreAction> DaemonCore::takeActions()
{
    return std::exchange(d_->actions_, {});
}

bool DaemonCore::isReady() const
{
    return d_->config_.isReady() && d_->ownership_.partitionCount() > 0 && !d_->isShuttingDown_;
}

std::shared_ptr<const Contracts::ConfigurationDocument> DaemonCore::configuration() const
{
    return d_->config_.document();
}

Base::Bytes DaemonCore::programMemory() const
{
    return d_->programs_.memory();
}

size_t DaemonCore::programCount() const
{
    return d_->programs_.size();
}

size_t DaemonCore::servedPartitions() const
{
    return d_->serving_.size();
}

} // namespace Scheduler
