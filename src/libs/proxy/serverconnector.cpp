#include "serverconnector.h"

#include "requestrelay.h"
#include "steadyclock.h"

#include <algorithm>

namespace Proxy {

using Dispatch::ServerInstance;
using Dispatch::ServerPath;

/// A direct connection and, if it is late, one through another daemon; the first one is used.
class ServerConnector::Attempt : public ConnectAttempt, public std::enable_shared_from_this<Attempt>
{
public:
    Attempt(ServerConnector &owner, Target target, Base::Duration timeout, Done done)
        : owner_(owner)
        , target_(std::move(target))
        , deadline_(steadyNow() + timeout)
        , done_(std::move(done))
        , headStart_(owner.context_)
        , timer_(owner.context_)
    {}

    void start()
    {
        auto self = shared_from_this();
        timer_.expires_after(timeLeft());
        timer_.async_wait([self](const std::error_code &error) {
            if (!error) {
                self->finish(nullptr, "no connection before the timeout");
            }
        });
        if (owner_.paths_.choose(target_.instance) == ServerPath::Relay) {
            connectThroughRelay();
        } else {
            connectDirectly();
        }
    }

    void cancel() override
    {
        done_ = nullptr;
        end(nullptr);
    }

private:
    Base::Duration timeLeft() const
    {
        return std::max(Base::Duration::zero(), deadline_ - steadyNow());
    }

    void connectDirectly()
    {
        auto self = shared_from_this();
        direct_ = std::make_shared<ClientConnection>(owner_.context_, target_.address);
        direct_->setReceiveBytes(owner_.settings_.receiveBytes);
        direct_->connect(timeLeft(),
                         [self](const std::string &problem) { self->onDirect(problem); });
        headStart_.expires_after(owner_.settings_.headStart);
        headStart_.async_wait([self](const std::error_code &error) {
            if (!error && self->done_ && !self->isRelaying_) {
                self->connectThroughRelay();
            }
        });
    }

    void onDirect(const std::string &problem)
    {
        if (!done_) {
            return;
        }
        if (problem.empty()) {
            owner_.recordDirect(target_.instance);
            finish(std::exchange(direct_, nullptr), {});
            return;
        }
        direct_.reset();
        directProblem_ = problem;
        headStart_.cancel();
        if (!isRelaying_) {
            connectThroughRelay();
        } else if (!relay_) {
            finish(nullptr, directProblem_);
        }
    }

    void connectThroughRelay()
    {
        isRelaying_ = true;
        const RelayAddress *relay = nullptr;
        if (tried_.size() < owner_.settings_.maxRelays
            && owner_.paths_.mayRelay(target_.instance, steadyNow())) {
            relay = owner_.selectRelay(tried_);
        }
        if (!relay) {
            onNoRelay();
            return;
        }
        tried_.push_back(*relay);
        relay_ = std::make_shared<ClientConnection>(owner_.context_, relay->endpoint);
        relay_->setReceiveBytes(owner_.settings_.receiveBytes);
        relay_->setRelay(relay->vm);
        if (owner_.settings_.relaySource) {
            relay_->setSource(*owner_.settings_.relaySource);
        }
        auto self = shared_from_this();
        relay_->connect(timeLeft(), [self](const std::string &problem) {
            if (self->done_) {
                if (problem.empty()) {
                    self->requestRelay();
                } else {
                    self->onRelayFailed(0);
                }
            }
        });
    }

    void requestRelay()
    {
        auto self = shared_from_this();
        ClientConnection::Handlers handlers;
        handlers.onHead = [self](const ResponseHead &head, const Framing &) {
            self->relayStatus_ = head.status;
            return HeadVerdict::Accept;
        };
        handlers.onBody = [](const std::string &) {};
        handlers.onEnd = [self](ResponseEnd end, const std::string &) {
            if (!self->done_) {
                return;
            }
            // A closed connection reaches no server, and further bytes of a server would be lost.
            const bool isConnected = end == ResponseEnd::Complete && self->relayStatus_ == 200
                                     && self->relay_->isReusable();
            if (isConnected) {
                self->relay_->setConnected();
                self->owner_.recordRelayed(self->target_.instance, self->tried_);
                self->finish(std::exchange(self->relay_, nullptr), {});
            } else {
                self->onRelayFailed(end == ResponseEnd::Complete ? self->relayStatus_ : 0);
            }
        };
        relayStatus_ = 0;
        relay_->send(relayRequest(target_.instance), false, std::move(handlers));
    }

    void onRelayFailed(int status)
    {
        relay_->close();
        relay_.reset();
        if (status == relayNoServer) {
            isServerRefused_ = true;
        } else {
            owner_.unusableUntil_[tried_.back().vm] = steadyNow() + owner_.settings_.relayPause;
        }
        connectThroughRelay();
    }

    /// Without another daemon that can help, the direct attempt decides.
    void onNoRelay()
    {
        if (isServerRefused_) {
            owner_.paths_.relayFailed(target_.instance, steadyNow());
        }
        if (direct_) {
            return;
        }
        if (directProblem_.empty()) {
            connectDirectly();
        } else {
            finish(nullptr, directProblem_);
        }
    }

    void finish(const std::shared_ptr<ClientConnection> &connection, const std::string &problem)
    {
        const Done done = std::exchange(done_, nullptr);
        end(connection);
        if (done) {
            done(connection, problem);
        }
    }

    void end(const std::shared_ptr<ClientConnection> &used)
    {
        timer_.cancel();
        headStart_.cancel();
        for (auto *connection : {&direct_, &relay_}) {
            if (*connection && *connection != used) {
                (*connection)->close();
            }
            connection->reset();
        }
    }

    ServerConnector &owner_;
    Target target_;
    Base::Instant deadline_;
    Done done_;
    asio::steady_timer headStart_;
    asio::steady_timer timer_;
    std::shared_ptr<ClientConnection> direct_;
    std::shared_ptr<ClientConnection> relay_;
    std::string directProblem_;
    bool isRelaying_ = false;
    int relayStatus_ = 0;
    /// A daemon that was asked does not reach the server either.
    bool isServerRefused_ = false;
    std::vector<RelayAddress> tried_;
};

ServerConnector::ServerConnector(asio::io_context &context,
                                 ServerConnectorSettings settings,
                                 Telemetry::Log &log,
                                 Telemetry::Metrics &metrics,
                                 std::uint64_t seed)
    : context_(context)
    , settings_(std::move(settings))
    , log_(log)
    , metrics_(metrics)
    , random_(seed)
{}

std::shared_ptr<ConnectAttempt> ServerConnector::connect(const Target &target,
                                                         Base::Duration timeout,
                                                         Done done)
{
    auto attempt = std::make_shared<Attempt>(*this, target, timeout, std::move(done));
    attempt->start();
    return attempt;
}

void ServerConnector::probe(const Target &target,
                            Base::Duration timeout,
                            const std::function<void(std::shared_ptr<ClientConnection>)> &done)
{
    auto connection = std::make_shared<ClientConnection>(context_, target.address);
    connection->setReceiveBytes(settings_.receiveBytes);
    connection->connect(
        timeout, [this, connection, instance = target.instance, done](const std::string &problem) {
            if (problem.empty()) {
                recordDirect(instance);
                done(connection);
            }
        });
}

void ServerConnector::recordDirect(const ServerInstance &instance)
{
    const bool wasCutOff = paths_.isCutOff();
    if (paths_.directSucceeded(instance)) {
        log(wasCutOff ? "servers are reachable again" : "server is reachable again",
            instance.id.text(),
            {});
        onPathRestored_();
    }
}

void ServerConnector::recordRelayed(const ServerInstance &instance,
                                    const std::vector<RelayAddress> &tried)
{
    for (auto relay = tried.begin(); relay != tried.end() - 1; ++relay) {
        unusableUntil_[relay->vm] = steadyNow() + settings_.relayPause;
    }
    metrics_
        .counter("marjoram_relayed_connections_total",
                 "Connections to servers through other daemons")
        .add();
    const bool wasCutOff = paths_.isCutOff();
    if (!paths_.relaySucceeded(instance, steadyNow())) {
        return;
    }
    const bool isCutOff = paths_.isCutOff() && !wasCutOff;
    log(isCutOff ? "servers are reached through other daemons only"
                 : "server is reached through another daemon",
        instance.id.text(),
        {{"relay", tried.back().vm.text()}});
    if (isCutOff) {
        onCutOff_();
    }
}

void ServerConnector::log(const char *message,
                          const std::string &peer,
                          std::vector<Telemetry::LogDetail> more)
{
    metrics_
        .gauge("marjoram_relayed_servers", "Servers that are reached through other daemons only")
        .set(static_cast<double>(paths_.relayedServers()));
    log_.write(Telemetry::LogLevel::Warning,
               message,
               {.step = "connect", .peer = peer, .details = std::move(more)});
}

/// The notice of a stop is repeated until the process ends; the pause counts from the first one.
void ServerConnector::relayStops(const Base::VmId &vm)
{
    Base::Instant &until = stoppingUntil_[vm];
    if (steadyNow() >= until) {
        until = steadyNow() + settings_.stopPause;
    }
}

bool ServerConnector::isRelayUsable(const Base::VmId &vm) const
{
    const auto isOver = [&](const std::map<Base::VmId, Base::Instant> &pauses) {
        const auto entry = pauses.find(vm);
        return entry == pauses.end() || steadyNow() >= entry->second;
    };
    return isOver(unusableUntil_) && isOver(stoppingUntil_);
}

const RelayAddress *ServerConnector::selectRelay(const std::vector<RelayAddress> &tried)
{
    const auto rankOf = [&](const RelayAddress &relay) {
        const bool isZoneTried = std::any_of(tried.begin(), tried.end(), [&](const auto &other) {
            return other.zone == relay.zone;
        });
        return isZoneTried ? 2 : relay.zone == settings_.zone ? 0 : 1;
    };
    const RelayAddress *best = nullptr;
    std::uint64_t candidates = 0;
    for (const RelayAddress &relay : relays_) {
        const bool isTried = std::any_of(
            tried.begin(), tried.end(), [&](const auto &other) { return other.vm == relay.vm; });
        if (isTried || !isRelayUsable(relay.vm) || (best && rankOf(relay) > rankOf(*best))) {
            continue;
        }
        candidates = best && rankOf(relay) == rankOf(*best) ? candidates + 1 : 1;
        if (random_.below(candidates) == 0) {
            best = &relay;
        }
    }
    return best;
}

} // namespace Proxy
