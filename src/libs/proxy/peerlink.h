#pragma once

#include "peermessages.h"
#include "peerroster.h"

#include <telemetry/log.h>
#include <telemetry/metrics.h>

#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>
#include <asio/steady_timer.hpp>

#include <array>
#include <functional>
#include <map>
#include <set>
#include <unordered_map>

namespace Proxy {

struct PeerAddress
{
    Base::VmId vm;
    asio::ip::udp::endpoint endpoint;
};

/// Questions and answers between daemons, in datagrams. A question is repeated once.
class PeerLink
{
public:
    /// The answer's body; nothing if the peer did not answer in time.
    using Answered = std::function<void(const PeerBody *)>;
    using Asked = std::function<void(const Base::VmId &sender, const PeerBody &)>;

    PeerLink(asio::io_context &context,
             Base::VmId self,
             const asio::ip::udp::endpoint &address,
             Telemetry::Log &log,
             Telemetry::Metrics &metrics,
             std::uint64_t seed,
             std::function<Base::Instant()> now);

    /// Throws std::exception if the address cannot be bound.
    void start(Asked asked);
    void setDaemons(const std::vector<PeerAddress> &daemons);
    /// Goes into every message.
    void setRoutingVersion(Base::ConfigVersion version) { routingVersion_ = version; }
    /// What this daemon knows of the list of servers; goes into every message.
    void stateServers(std::function<std::optional<ListStatement>()> statement)
    {
        statedServers_ = std::move(statement);
    }
    /// Called with what a peer's message says: its version of the routing document and its list.
    using Stated = std::function<void(
        const Base::VmId &, Base::ConfigVersion, const std::optional<ListStatement> &)>;
    void onStated(Stated callback) { onStated_ = std::move(callback); }
    /// Tells the daemons what every message says.
    void notify(const std::vector<Base::VmId> &peers);
    void notifyAll();

    QuestionNumber nextNumber();
    /// The body's number has to be from nextNumber().
    void ask(const Base::VmId &peer, QuestionNumber number, PeerBody body, Answered answered);
    void answer(const Base::VmId &peer, PeerBody body);

    /// Whether nothing has been heard from any other daemon for some time.
    bool isAlone() const;

    PeerRoster &roster() { return roster_; }
    std::optional<asio::ip::udp::endpoint> endpointOf(const Base::VmId &peer) const;

private:
    struct Question
    {
        Base::VmId peer;
        std::string bytes;
        Answered answered;
        Base::Instant due;
        bool isRepeated = false;
    };

    std::string encode(PeerBody body) const;
    void receive();
    void onDatagram(std::string_view bytes);
    void send(const Base::VmId &peer, const std::string &bytes);
    void extend(QuestionNumber number, const Base::VmId &sender);
    void settle(QuestionNumber number, const Base::VmId &sender, const PeerBody &body);
    void noteUnanswered(const Base::VmId &peer, Base::Instant now);
    void noteAnswered(const Base::VmId &peer);
    void armTimer();
    void onTimer();

    Base::VmId self_;
    asio::ip::udp::endpoint address_;
    Telemetry::Log &log_;
    Telemetry::Metrics &metrics_;
    std::function<Base::Instant()> now_;
    asio::ip::udp::socket socket_;
    asio::ip::udp::endpoint sender_;
    std::array<char, 65'536> buffer_{};
    asio::steady_timer timer_;
    bool isTimerArmed_ = false;
    PeerRoster roster_;
    std::map<Base::VmId, asio::ip::udp::endpoint> endpoints_;
    std::unordered_map<QuestionNumber, Question> questions_;
    /// Peers that were logged as lost.
    std::set<Base::VmId> silent_;
    QuestionNumber lastNumber_;
    Base::ConfigVersion routingVersion_;
    Base::Instant lastHeardAt_;
    std::function<std::optional<ListStatement>()> statedServers_;
    Stated onStated_;
    Asked asked_;
};

} // namespace Proxy
