#include "peerlink.h"

#include <base/visitor.h>

namespace Proxy {

namespace {

/// A round trip between zones is under 3 ms; a daemon on a small share of a core may pause for
/// some tens of milliseconds.
constexpr Base::Duration answerTimeout = std::chrono::milliseconds(30);

/// The longest that a peer works on a question of which it has said that it has arrived; the wait
/// of a turn for a claim is shorter.
constexpr Base::Duration longestWork = std::chrono::milliseconds(900);

/// Each daemon states its part of the rates to some others every 500 ms, and they answer.
constexpr Base::Duration aloneAfter = std::chrono::milliseconds(800);

/// The number of the question that a body answers; nothing for questions.
std::optional<QuestionNumber> answeredNumber(const PeerBody &body)
{
    using Result = std::optional<QuestionNumber>;
    return std::visit(
        Base::Visitor{[](const PoolAnswer &answer) { return Result(answer.number); },
                      [](const PermitAnswer &answer) { return Result(answer.number); },
                      [](const TokenAnswer &answer) { return Result(answer.number); },
                      [](const ClaimRelayAnswer &answer) { return Result(answer.number); },
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
    // Numbers start anywhere: a late answer to an earlier process of this VM answers no question.
    , lastNumber_(seed >> 2)
{}

void PeerLink::start(Asked asked)
{
    asked_ = std::move(asked);
    socket_.open(address_.protocol());
    socket_.bind(address_);
    socket_.non_blocking(true);
    receive();
}

void PeerLink::setDaemons(const std::vector<PeerAddress> &daemons)
{
    endpoints_.clear();
    std::vector<Base::VmId> names;
    for (const PeerAddress &daemon : daemons) {
        endpoints_.emplace(daemon.vm, daemon.endpoint);
        names.push_back(daemon.vm);
    }
    roster_.setDaemons(names);
}

std::optional<asio::ip::udp::endpoint> PeerLink::endpointOf(const Base::VmId &peer) const
{
    const auto entry = endpoints_.find(peer);
    return entry == endpoints_.end() ? std::nullopt : std::optional(entry->second);
}

bool PeerLink::isAlone() const
{
    return now_() - lastHeardAt_ >= aloneAfter;
}

QuestionNumber PeerLink::nextNumber()
{
    lastNumber_ = lastNumber_.next();
    return lastNumber_;
}

void PeerLink::ask(const Base::VmId &peer, QuestionNumber number, PeerBody body, Answered answered)
{
    Question question;
    question.peer = peer;
    question.bytes = encode(std::move(body));
    question.answered = std::move(answered);
    question.due = now_() + answerTimeout;
    send(peer, question.bytes);
    questions_.emplace(number, std::move(question));
    armTimer();
}

void PeerLink::answer(const Base::VmId &peer, PeerBody body)
{
    send(peer, encode(std::move(body)));
}

std::string PeerLink::encode(PeerBody body) const
{
    return encodePeerMessage({self_,
                              routingVersion_,
                              std::move(body),
                              statedServers_ ? statedServers_() : std::nullopt});
}

void PeerLink::notify(const std::vector<Base::VmId> &peers)
{
    const std::string bytes = encode(Notice{});
    for (const Base::VmId &peer : peers) {
        send(peer, bytes);
    }
}

void PeerLink::notifyAll()
{
    std::vector<Base::VmId> others;
    for (const auto &[vm, endpoint] : endpoints_) {
        if (vm != self_) {
            others.push_back(vm);
        }
    }
    notify(others);
}

/// A datagram that can't be sent is as good as lost.
void PeerLink::send(const Base::VmId &peer, const std::string &bytes)
{
    const auto endpoint = endpoints_.find(peer);
    if (endpoint == endpoints_.end()) {
        return;
    }
    std::error_code error;
    socket_.send_to(asio::buffer(bytes), endpoint->second, 0, error);
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
    const bool isKnown = message && endpoints_.contains(message->sender);
    if (!isKnown) {
        metrics_.counter("marjoram_peer_unusable_total", "Datagrams from nobody known").add();
        return;
    }
    lastHeardAt_ = now_();
    if (onStated_) {
        onStated_(message->sender, message->routingVersion, message->servers);
    }
    if (std::holds_alternative<Notice>(message->body)) {
        return;
    }
    if (const auto *working = std::get_if<StillWorking>(&message->body)) {
        extend(working->number, message->sender);
    } else if (const auto number = answeredNumber(message->body)) {
        settle(*number, message->sender, message->body);
    } else {
        asked_(message->sender, message->body);
    }
}

void PeerLink::extend(QuestionNumber number, const Base::VmId &sender)
{
    const auto entry = questions_.find(number);
    if (entry != questions_.end() && entry->second.peer == sender) {
        entry->second.due = now_() + longestWork;
        entry->second.isRepeated = true;
    }
}

void PeerLink::settle(QuestionNumber number, const Base::VmId &sender, const PeerBody &body)
{
    const auto entry = questions_.find(number);
    if (entry == questions_.end() || entry->second.peer != sender) {
        return;
    }
    const Answered answered = std::move(entry->second.answered);
    questions_.erase(entry);
    noteAnswered(sender);
    answered(&body);
}

void PeerLink::noteUnanswered(const Base::VmId &peer, Base::Instant now)
{
    const bool wasSuspect = roster_.isSuspect(peer, now);
    roster_.unanswered(peer, now);
    if (!wasSuspect && roster_.isSuspect(peer, now) && silent_.insert(peer).second) {
        log_.write(Telemetry::LogLevel::Warning,
                   "peer does not answer",
                   {.step = "peer", .peer = peer.text()});
    }
}

void PeerLink::noteAnswered(const Base::VmId &peer)
{
    roster_.answered(peer);
    if (silent_.erase(peer) > 0) {
        log_.write(
            Telemetry::LogLevel::Info, "peer answers again", {.step = "peer", .peer = peer.text()});
    }
}

void PeerLink::armTimer()
{
    if (isTimerArmed_ || questions_.empty()) {
        return;
    }
    Base::Instant due = questions_.begin()->second.due;
    for (const auto &[number, question] : questions_) {
        due = std::min(due, question.due);
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
    std::vector<Answered> givenUp;
    for (auto entry = questions_.begin(); entry != questions_.end();) {
        Question &question = entry->second;
        if (now < question.due) {
            ++entry;
        } else if (!question.isRepeated) {
            question.isRepeated = true;
            question.due = now + answerTimeout;
            send(question.peer, question.bytes);
            ++entry;
        } else {
            noteUnanswered(question.peer, now);
            givenUp.push_back(std::move(question.answered));
            entry = questions_.erase(entry);
        }
    }
    for (const Answered &answered : givenUp) {
        answered(nullptr);
    }
    armTimer();
}

} // namespace Proxy
