#include "turnstoreservice.h"

#include <turnhistory/turncodec.h>

#include <algorithm>
#include <chrono>

namespace TurnStore {

namespace {

using Telemetry::LogLevel;
using TurnHistory::ChainOutcome;
using TurnHistory::ChainResponse;
using TurnHistory::IndexedTurn;
using TurnHistory::PlannedOffer;
using TurnHistory::Turn;
using TurnHistory::TurnId;

/// Interval of offers; new turns of a holder that was replaced reach others within it.
constexpr Base::Duration tickInterval = std::chrono::milliseconds(500);

/// Interval of offers while this daemon holds no turns.
constexpr Base::Duration idleTickInterval = std::chrono::seconds(3);

constexpr Base::Duration offerTimeout = std::chrono::milliseconds(400);

/// A megabyte takes 15 ms on the network and a few more on the disk.
constexpr Base::Duration copyTimeout = std::chrono::seconds(2);

constexpr std::uint64_t maxCopyBytes = 1024 * 1024;
constexpr std::uint64_t maxChainBytes = 2 * 1024 * 1024;

constexpr const char *metricsPath = "/metrics";

TurnHistory::UnixTime unixNow()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return TurnHistory::UnixTime(
        std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

void respond(const std::shared_ptr<Proxy::CallerConnection> &caller,
             int status,
             const std::string &body = {})
{
    Proxy::ResponseHead head;
    head.status = status;
    head.reason = Proxy::reasonOf(status);
    caller->respond(head, body);
}

} // namespace

TurnStoreService::TurnStoreService(asio::io_context &context,
                                   const HolderAddress &self,
                                   TurnDisk &disk,
                                   TurnHistory::ReplicationPlan::Settings replication,
                                   std::function<Base::Instant()> now,
                                   Telemetry::Log &log,
                                   Telemetry::Metrics &metrics)
    : context_(context)
    , self_(self)
    , disk_(disk)
    , now_(std::move(now))
    , log_(log)
    , metrics_(metrics)
    , plan_(self.holder, disk.id(), disk.isSynchronized(), replication, index_)
    , listener_(context, log, &metrics)
    , timer_(context)
{
    handlers_ = std::make_shared<Proxy::CallerHandlers>();
    handlers_->onRequest
        = [this](const auto &caller, auto request) { onRequest(caller, std::move(request)); };
    handlers_->onRejected = [this](int, const std::string &problem) {
        log_.write(LogLevel::Warning, "request rejected: " + problem, {.step = "peer"});
    };
    handlers_->limits = [] {
        Contracts::CallerLimits limits;
        limits.bodyBytes = static_cast<std::size_t>(maxTurnsMessage.value());
        return limits;
    };
    handlers_->now = now_;
    handlers_->isStopping = [] { return false; };
    handlers_->onClosed
        = [this](const auto &connection, const auto &) { connections_.erase(connection); };
}

void TurnStoreService::start()
{
    disk_.load(index_);
    plan_.setDisk(disk_.id(), disk_.isSynchronized());
    listener_.start({"turns",
                     connectionShares_.callers,
                     connectionShares_.backlog,
                     connectionShares_.receiveBytes},
                    self_.endpoint,
                    handlers_,
                    [this](const CallerPtr &connection) { connections_.insert(connection); });
    scheduleTick();
}

void TurnStoreService::stop()
{
    listener_.close();
    timer_.cancel();
    peers_.clear();
    const std::set<std::shared_ptr<Proxy::CallerConnection>> open = std::exchange(connections_, {});
    for (const auto &connection : open) {
        connection->abort();
    }
}

void TurnStoreService::setHolders(const std::vector<HolderAddress> &holders)
{
    std::map<Base::VmId, Peer> next;
    std::vector<TurnHistory::Holder> others;
    for (const HolderAddress &address : holders) {
        if (address.holder.vm == self_.holder.vm) {
            continue;
        }
        others.push_back(address.holder);
        Peer peer;
        const auto known = peers_.find(address.holder.vm);
        if (known != peers_.end() && known->second.endpoint == address.endpoint) {
            peer = known->second;
        } else {
            peer.endpoint = address.endpoint;
            peer.caller = std::make_shared<Proxy::HttpCaller>(
                context_, address.endpoint, address.endpoint.address().to_string());
        }
        next.emplace(address.holder.vm, std::move(peer));
    }
    peers_ = std::move(next);
    plan_.setPeers(others, now_());
}

void TurnStoreService::setFirstRegistration()
{
    if (!plan_.isSynchronized()) {
        plan_.setSynchronized();
        onSynchronized();
    }
}

void TurnStoreService::leave(std::function<void()> onHandedOver)
{
    plan_.setLeaving();
    onHandedOver_ = std::move(onHandedOver);
    scheduleTick();
}

void TurnStoreService::onRequest(const CallerPtr &caller, Proxy::CallerRequest request)
{
    const std::string_view path = request.head.path();
    if (path == keepPath) {
        keep(caller, std::move(request));
    } else if (path == chainPath) {
        sendChain(caller, request.body);
    } else if (path == offerPath) {
        answerOffer(caller, request.body);
    } else if (path == metricsPath) {
        updateGauges();
        respond(caller, 200, metrics_.prometheusText());
    } else {
        respond(caller, 404);
    }
}

void TurnStoreService::updateGauges()
{
    metrics_.gauge("marjoram_turns", "Turns on the disk").set(static_cast<double>(index_.size()));
    metrics_.gauge("marjoram_turn_bytes", "Bytes of the segments on the disk")
        .set(static_cast<double>(disk_.usedBytes()));
    metrics_.gauge("marjoram_turn_synchronized", "1 if the disk holds all turns that it has to")
        .set(plan_.isSynchronized() ? 1 : 0);
    double behind = 0;
    for (const auto &[vm, peer] : peers_) {
        behind += plan_.isBehind(vm) ? 1 : 0;
    }
    metrics_.gauge("marjoram_turn_peers_behind", "Holders that have yet to confirm turns")
        .set(behind);
}

/// Responds once the turns are durable; another status tells that they may not be.
void TurnStoreService::keep(const CallerPtr &caller, Proxy::CallerRequest request)
{
    auto turns = TurnHistory::decodeKeepRequest(request.body);
    std::string().swap(request.body); // the lease is for the decoded turns from now on
    if (!turns) {
        log_.write(LogLevel::Warning, "turns cannot be decoded", {.step = "peer"});
        respond(caller, 400);
        return;
    }
    if (plan_.isLeaving()) {
        respond(caller, 503);
        return;
    }
    std::erase_if(*turns, [&](const Turn &turn) { return index_.find(turn.id) != nullptr; });
    if (turns->empty()) {
        respond(caller, 200);
        return;
    }
    if (const auto pending = pendingWriteOf(*turns)) {
        pending->push_back(caller);
        return;
    }
    auto shared = std::make_shared<std::vector<Turn>>(std::move(*turns));
    const auto callers = std::make_shared<std::vector<CallerPtr>>(1, caller);
    for (const Turn &turn : *shared) {
        writing_[turn.id] = callers;
    }
    ++pendingWrites_;
    const auto lease = std::make_shared<Base::MemoryLease>(std::move(request.bodyLease));
    disk_.append(*shared,
                 [this, callers, shared, lease](WriteResult result, const auto &positions) {
                     --pendingWrites_;
                     const int status = writeEnded(*shared, result, positions);
                     for (const CallerPtr &each : *callers) {
                         respond(each, status);
                     }
                 });
}

/// A write that is repeated while the disk is slow is not written again.
std::shared_ptr<std::vector<TurnStoreService::CallerPtr>> TurnStoreService::pendingWriteOf(
    const std::vector<Turn> &turns) const
{
    const auto first = writing_.find(turns.front().id);
    if (first == writing_.end()) {
        return nullptr;
    }
    const bool isSame = std::all_of(turns.begin(), turns.end(), [&](const Turn &turn) {
        const auto entry = writing_.find(turn.id);
        return entry != writing_.end() && entry->second == first->second;
    });
    return isSame ? first->second : nullptr;
}

int TurnStoreService::writeEnded(const std::vector<Turn> &turns,
                                 WriteResult result,
                                 const std::vector<TurnHistory::TurnPosition> &positions)
{
    for (const Turn &turn : turns) {
        writing_.erase(turn.id);
    }
    if (result != WriteResult::Durable) {
        log_.write(LogLevel::Warning,
                   result == WriteResult::Full ? "turn not kept: disk is full"
                                               : "turn not kept: disk failed",
                   {.request = turns.front().id.text(),
                    .step = "keep",
                    .details = {{"used_bytes", static_cast<std::int64_t>(disk_.usedBytes())}}});
        return result == WriteResult::Full ? diskFullStatus : 503;
    }
    for (std::size_t i = 0; i < positions.size(); ++i) {
        index_.add(turns[i], positions[i]);
    }
    metrics_.counter("marjoram_turns_kept_total", "Turns written to disk").add(positions.size());
    return 200;
}

ChainResponse TurnStoreService::readChain(const TurnId &id)
{
    ChainResponse response;
    response.isSynchronized = plan_.isSynchronized();
    const std::vector<const IndexedTurn *> chain = index_.chain(id, maxChainBytes);
    if (chain.empty()) {
        response.outcome = ChainOutcome::Absent;
        return response;
    }
    for (const IndexedTurn *indexed : chain) {
        auto turn = disk_.read(indexed->position);
        if (!turn || turn->id != indexed->id) {
            break;
        }
        response.turns.push_back(std::move(*turn));
    }
    response.outcome = response.turns.empty() ? ChainOutcome::Unreadable : ChainOutcome::Found;
    return response;
}

void TurnStoreService::sendChain(const CallerPtr &caller, const std::string &body)
{
    const auto id = TurnHistory::decodeChainRequest(body);
    if (!id) {
        respond(caller, 400);
        return;
    }
    respond(caller, 200, TurnHistory::encodeChainResponse(readChain(*id)));
}

void TurnStoreService::answerOffer(const CallerPtr &caller, const std::string &body)
{
    const auto offer = TurnHistory::decodeOfferRequest(body);
    if (!offer) {
        respond(caller, 400);
        return;
    }
    const bool wasSynchronized = plan_.isSynchronized();
    TurnHistory::OfferResponse response = plan_.offerReceived(*offer, now_());
    if (!wasSynchronized && plan_.isSynchronized()) {
        onSynchronized();
    }
    for (const TurnId &id : offer->turns) {
        if (!index_.find(id)) {
            response.missing.push_back(id);
        }
    }
    respond(caller, 200, TurnHistory::encodeOfferResponse(response));
}

void TurnStoreService::onSynchronized()
{
    log_.write(
        LogLevel::Info,
        "disk holds all turns that it has to",
        {.step = "replicate", .details = {{"turns", static_cast<std::int64_t>(index_.size())}}});
    disk_.markSynchronized();
}

void TurnStoreService::scheduleTick()
{
    const bool isIdle = index_.size() == 0 && plan_.isSynchronized() && !plan_.isLeaving();
    timer_.expires_after(isIdle ? idleTickInterval : tickInterval);
    timer_.async_wait([this](const std::error_code &error) {
        if (!error) {
            tick();
        }
    });
}

void TurnStoreService::tick()
{
    disk_.removeExpired(index_, unixNow());
    for (const auto &[vm, peer] : peers_) {
        offerTo(vm);
    }
    if (onHandedOver_ && pendingWrites_ == 0 && plan_.isHandedOver(now_())) {
        log_.write(
            LogLevel::Info,
            "all turns are held by others",
            {.step = "retire", .details = {{"turns", static_cast<std::int64_t>(index_.size())}}});
        std::exchange(onHandedOver_, nullptr)();
    }
    scheduleTick();
}

void TurnStoreService::offerTo(const Base::VmId &vm)
{
    const auto peer = peers_.find(vm);
    if (peer == peers_.end() || peer->second.isBusy) {
        return;
    }
    peer->second.isBusy = true;
    const PlannedOffer offer = plan_.nextOffer(vm, now_());
    peer->second.caller->call(
        "POST",
        offerPath,
        TurnHistory::encodeOfferRequest(offer.request),
        // The response names no more turns than the request, which has the same limit.
        {.timeout = offerTimeout, .responseBytes = maxTurnsMessage},
        [this, offer](const Proxy::CallResult &result) { onOfferAnswer(offer, result); });
}

void TurnStoreService::onOfferAnswer(const PlannedOffer &offer, const Proxy::CallResult &result)
{
    const auto peer = peers_.find(offer.peer);
    if (peer == peers_.end()) {
        return;
    }
    peer->second.isBusy = false;
    const auto response
        = result.status == 200 ? TurnHistory::decodeOfferResponse(result.body) : std::nullopt;
    logPeerChange(offer.peer, response.has_value(), result.problem);
    if (!response) {
        return;
    }
    plan_.offerAnswered(offer.peer, *response, now_());
    if (!response->isLeaving && !response->missing.empty()) {
        sendMissing(offer, response->missing);
        return;
    }
    plan_.offerConfirmed(offer);
    if (plan_.isBehind(offer.peer)) {
        offerTo(offer.peer);
    }
}

/// Sends the turns in batches, one after another; confirms the offer after the last.
void TurnStoreService::sendMissing(const PlannedOffer &offer, std::vector<TurnId> missing)
{
    std::vector<Turn> batch;
    std::uint64_t bytes = 0;
    while (!missing.empty() && bytes < maxCopyBytes) {
        const IndexedTurn *indexed = index_.find(missing.back());
        missing.pop_back();
        auto turn = indexed ? disk_.read(indexed->position) : std::nullopt;
        if (turn) {
            bytes += turn->content.size();
            batch.push_back(std::move(*turn));
        }
    }
    const auto peer = peers_.find(offer.peer);
    if (peer == peers_.end()) {
        return;
    }
    peer->second.isBusy = true;
    metrics_.counter("marjoram_turns_copied_total", "Turns copied to other holders")
        .add(batch.size());
    peer->second.caller->call(
        "POST",
        keepPath,
        TurnHistory::encodeKeepRequest(batch),
        {.timeout = copyTimeout, .responseBytes = maxKeepResponse},
        [this, offer, missing = std::move(missing)](const Proxy::CallResult &result) {
            const auto receiver = peers_.find(offer.peer);
            if (receiver == peers_.end()) {
                return;
            }
            receiver->second.isBusy = false;
            if (result.status != 200) {
                return; // the next tick offers the turns again
            }
            if (!missing.empty()) {
                sendMissing(offer, missing);
                return;
            }
            plan_.offerConfirmed(offer);
            offerTo(offer.peer);
        });
}

void TurnStoreService::logPeerChange(const Base::VmId &vm,
                                     bool isReachable,
                                     const std::string &problem)
{
    if (isReachable ? unreachable_.erase(vm) > 0 : unreachable_.insert(vm).second) {
        log_.write(isReachable ? LogLevel::Info : LogLevel::Warning,
                   isReachable ? "holder answers again" : "holder does not answer: " + problem,
                   {.step = "replicate", .peer = vm.text()});
    }
}

} // namespace TurnStore
