#include "peerlink.h"

#include <base/random.h>
#include <base/visitor.h>

#include <algorithm>

namespace Proxy {

namespace {

/// A round trip between zones is under 3 ms; a daemon on a small share of a core may pause for
/// some tens of milliseconds.
constexpr Base::Duration responseTimeout = std::chrono::milliseconds(30);

/// Longest processing time of a request that the peer has acknowledged with RequestInProgress;
/// exceeds the longest wait of a turn for an allocation.
constexpr Base::Duration maxProcessingTime = std::chrono::milliseconds(900);

/// Every daemon sends join requests of the rate pools to some others every 500 ms, and they
/// respond.
constexpr Base::Duration isolationTimeout = std::chrono::milliseconds(800);

constexpr std::size_t keeperCount = 3;

Telemetry::Counter &refusedCounter(Telemetry::Metrics &metrics)
{
    return metrics.counter("marjoram_peer_refused_total",
                           "Datagrams whose sender is not listed at their source address");
}

/// Returns the number of the request that \a body responds to, or nothing if it is no response.
std::optional<RequestNumber> requestNumberOfResponse(const PeerBody &body)
{
    using Result = std::optional<RequestNumber>;
    return std::visit(
        Base::Visitor{
            [](const PoolJoinResponse &response) { return Result(response.number); },
            [](const PermitResponse &response) { return Result(response.number); },
            [](const TokenResponse &response) { return Result(response.number); },
            [](const AllocationRelayResponse &response) { return Result(response.number); },
            [](const StreamVersionResponse &response) { return Result(response.number); },
            [](const OverdraftRecorded &response) { return Result(response.number); },
            [](const auto &) { return Result(); }},
        body);
}

} // namespace

PeerLink::PeerLink(asio::io_context &context,
                   Base::VmId self,
                   const asio::ip::udp::endpoint &address,
                   Telemetry::Log &log,
                   Telemetry::Metrics &metrics,
                   std::uint64_t seed,
                   std::function<Base::Instant()> now)
    : self_(self)
    , address_(address)
    , log_(log)
    , metrics_(metrics)
    , now_(std::move(now))
    , socket_(context)
    , timer_(context)
    , roster_(std::move(self))
    , refused_("peer",
               "datagram of a daemon that is not listed at the source address",
               log,
               refusedCounter(metrics))
    // Starts at a random number, so that late responses to an earlier process of this VM match no
    // request.
    , lastRequestNumber_(seed >> 2)
{}

void PeerLink::start(RequestHandler onRequest)
{
    onRequest_ = std::move(onRequest);
    socket_.open(address_.protocol());
    socket_.bind(address_);
    socket_.non_blocking(true);
    receive();
}

void PeerLink::setDaemons(const std::vector<PeerAddress> &daemons)
{
    addresses_.setDaemons(daemons);
    seed_.reset();
    std::vector<Base::VmId> names;
    names.reserve(daemons.size());
    for (const PeerAddress &daemon : daemons) {
        names.push_back(daemon.vm);
    }
    roster_.setDaemons(names);
}

std::optional<asio::ip::udp::endpoint> PeerLink::endpointOf(const Base::VmId &peer) const
{
    const auto entry = addresses_.daemons().find(peer);
    if (entry != addresses_.daemons().end()) {
        return entry->second;
    }
    return seed_ && seed_->vm == peer ? std::optional(seed_->endpoint) : std::nullopt;
}

bool PeerLink::isIsolated() const
{
    return now_() - lastReceivedAt_ >= isolationTimeout;
}

RequestNumber PeerLink::nextRequestNumber()
{
    lastRequestNumber_ = lastRequestNumber_.next();
    return lastRequestNumber_;
}

void PeerLink::sendRequest(const Base::VmId &peer,
                           RequestNumber number,
                           PeerBody body,
                           ResponseCallback callback)
{
    PendingRequest request;
    request.peer = peer;
    request.bytes = encode(std::move(body));
    request.callback = std::move(callback);
    request.due = now_() + responseTimeout;
    sendDatagram(peer, request.bytes);
    pendingRequests_.emplace(number, std::move(request));
    armTimer();
}

void PeerLink::send(const Base::VmId &peer, PeerBody body)
{
    sendDatagram(peer, encode(std::move(body)));
}

std::vector<Base::VmId> PeerLink::keepersOf(const std::string &subject) const
{
    std::vector<Base::VmId> keepers = roster_.firstByRank(subject, keeperCount);
    std::erase(keepers, self_);
    return keepers;
}

void PeerLink::sendToKeepers(const std::string &subject, const PeerBody &body)
{
    const std::string bytes = encode(body);
    for (const Base::VmId &keeper : keepersOf(subject)) {
        sendDatagram(keeper, bytes);
    }
}

void PeerLink::setRecordStores(const std::vector<PeerAddress> &stores)
{
    addresses_.setRecordStores(stores);
}

std::vector<Base::VmId> PeerLink::recordStoresOf(const std::string &subject,
                                                 std::size_t count) const
{
    std::vector<std::pair<std::uint64_t, Base::VmId>> ranks;
    ranks.reserve(addresses_.recordStores().size());
    for (const auto &[vm, endpoint] : addresses_.recordStores()) {
        ranks.emplace_back(Base::hash64(subject, Base::hash64(vm.text())), vm);
    }
    std::sort(ranks.begin(), ranks.end(), std::greater<>());
    std::vector<Base::VmId> first;
    for (std::size_t i = 0; i < std::min(count, ranks.size()); ++i) {
        first.push_back(ranks[i].second);
    }
    return first;
}

void PeerLink::sendToEach(const std::vector<Base::VmId> &peers, const PeerBody &body)
{
    const std::string bytes = encode(body);
    for (const Base::VmId &peer : peers) {
        sendDatagram(peer, bytes);
    }
}

void PeerLink::sendToAll(const PeerBody &body)
{
    const std::string bytes = encode(body);
    for (const auto &[vm, endpoint] : addresses_.daemons()) {
        if (vm != self_) {
            sendDatagram(vm, bytes);
        }
    }
}

std::string PeerLink::encode(PeerBody body) const
{
    return encodePeerMessage(
        {self_, routingVersion_, std::move(body), listReporter_ ? listReporter_() : std::nullopt});
}

void PeerLink::notify(const std::vector<Base::VmId> &peers)
{
    const std::string bytes = encode(Notice{});
    for (const Base::VmId &peer : peers) {
        sendDatagram(peer, bytes);
    }
}

/// A failed send is only counted, as it has the same effect as a lost datagram.
void PeerLink::sendDatagram(const Base::VmId &peer, const std::string &bytes)
{
    const auto endpoint = addresses_.endpointOf(peer);
    if (!endpoint) {
        return;
    }
    std::error_code error;
    socket_.send_to(asio::buffer(bytes), *endpoint, 0, error);
    if (error) {
        metrics_.counter("marjoram_peer_send_failures_total", "Datagrams that could not be sent")
            .add();
    }
}

void PeerLink::receive()
{
    socket_.async_receive_from(
        asio::buffer(buffer_), sender_, [this](const std::error_code &error, std::size_t size) {
            if (error == asio::error::operation_aborted) {
                return;
            }
            if (!error) {
                onDatagram(std::string_view(buffer_.data(), size));
            }
            receive();
        });
}

void PeerLink::onDatagram(std::string_view bytes)
{
    const std::optional<PeerMessage> message = decodePeerMessage(bytes);
    if (!message) {
        metrics_.counter("marjoram_peer_unusable_total", "Datagrams that cannot be decoded").add();
        return;
    }
    switch (addresses_.senderAt(message->sender, sender_)) {
    case SenderKind::Daemon:
        onDaemonMessage(*message);
        break;
    case SenderKind::RecordStore:
        onRecordStoreMessage(*message);
        break;
    case SenderKind::Seed:
        onSeedMessage(*message);
        break;
    case SenderKind::Unlisted:
    case SenderKind::OtherAddress:
        refuse(*message);
        break;
    }
}

/// The sender may be a daemon that is new or has moved, so the list is read. Before the first list,
/// all senders are unknown, which is not worth a log line.
void PeerLink::refuse(const PeerMessage &message)
{
    if (addresses_.hasList()) {
        refused_.record(sender_.address(), message.sender.text(), now_());
    } else {
        refusedCounter(metrics_).add();
    }
    if (onUnknownSender_) {
        onUnknownSender_();
    }
}

void PeerLink::report(const PeerMessage &message)
{
    lastReceivedAt_ = now_();
    if (onReport_) {
        onReport_(message.sender, message.routingVersion, message.servers);
    }
}

/// The seed may be any daemon of the list, as its name is not known yet. Grants depend on the list,
/// so only the report counts.
void PeerLink::onSeedMessage(const PeerMessage &message)
{
    seed_ = PeerAddress{message.sender, sender_};
    report(message);
    if (onUnknownSender_) {
        onUnknownSender_();
    }
}

void PeerLink::onDaemonMessage(const PeerMessage &message)
{
    report(message);
    if (std::holds_alternative<Notice>(message.body)) {
        return;
    }
    if (const auto *working = std::get_if<RequestInProgress>(&message.body)) {
        extendTimeout(working->number, message.sender);
    } else if (const auto number = requestNumberOfResponse(message.body)) {
        completeRequest(*number, message.sender, message.body);
    } else {
        onRequest_(message.sender, message.body);
    }
}

/// Record stores only respond. They do not count as peers that prove this daemon connected.
void PeerLink::onRecordStoreMessage(const PeerMessage &message)
{
    if (const auto number = requestNumberOfResponse(message.body)) {
        completeRequest(*number, message.sender, message.body);
    }
}

void PeerLink::extendTimeout(RequestNumber number, const Base::VmId &sender)
{
    const auto entry = pendingRequests_.find(number);
    if (entry != pendingRequests_.end() && entry->second.peer == sender) {
        entry->second.due = now_() + maxProcessingTime;
        entry->second.isRetransmitted = true;
    }
}

void PeerLink::completeRequest(RequestNumber number, const Base::VmId &sender, const PeerBody &body)
{
    const auto entry = pendingRequests_.find(number);
    if (entry == pendingRequests_.end() || entry->second.peer != sender) {
        return;
    }
    const ResponseCallback callback = std::move(entry->second.callback);
    pendingRequests_.erase(entry);
    recordResponse(sender);
    callback(&body);
}

void PeerLink::recordTimeout(const Base::VmId &peer, Base::Instant now)
{
    const bool wasSuspect = roster_.isSuspect(peer, now);
    roster_.recordTimeout(peer, now);
    if (!wasSuspect && roster_.isSuspect(peer, now) && unresponsive_.insert(peer).second) {
        log_.write(Telemetry::LogLevel::Warning,
                   "peer does not answer",
                   {.step = "peer", .peer = peer.text()});
    }
}

void PeerLink::recordResponse(const Base::VmId &peer)
{
    roster_.recordResponse(peer);
    if (unresponsive_.erase(peer) > 0) {
        log_.write(
            Telemetry::LogLevel::Info, "peer answers again", {.step = "peer", .peer = peer.text()});
    }
}

void PeerLink::armTimer()
{
    if (isTimerArmed_ || pendingRequests_.empty()) {
        return;
    }
    Base::Instant due = pendingRequests_.begin()->second.due;
    for (const auto &[number, request] : pendingRequests_) {
        due = std::min(due, request.due);
    }
    isTimerArmed_ = true;
    timer_.expires_after(std::max(Base::Duration::zero(), due - now_()));
    timer_.async_wait([this](const std::error_code &error) {
        isTimerArmed_ = false;
        if (!error) {
            onTimer();
        }
    });
}

void PeerLink::onTimer()
{
    const Base::Instant now = now_();
    std::vector<ResponseCallback> timedOut;
    for (auto entry = pendingRequests_.begin(); entry != pendingRequests_.end();) {
        PendingRequest &request = entry->second;
        if (now < request.due) {
            ++entry;
        } else if (!request.isRetransmitted) {
            request.isRetransmitted = true;
            request.due = now + responseTimeout;
            sendDatagram(request.peer, request.bytes);
            ++entry;
        } else {
            recordTimeout(request.peer, now);
            timedOut.push_back(std::move(request.callback));
            entry = pendingRequests_.erase(entry);
        }
    }
    for (const ResponseCallback &callback : timedOut) {
        callback(nullptr);
    }
    armTimer();
}

} // namespace Proxy
