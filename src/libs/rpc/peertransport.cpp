#include "peertransport.h"

#include "thriftserver.h"
#include "tlsfactory.h"

#include <peer/Peer.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>
#include <thrift/transport/TSSLSocket.h>

#include <asio/post.hpp>
#include <asio/thread_pool.hpp>

#include <atomic>
#include <deque>
#include <mutex>
#include <unordered_map>

namespace Rpc {

namespace {

using apache::thrift::protocol::TCompactProtocol;
using apache::thrift::transport::TFramedTransport;
using apache::thrift::transport::TSSLSocketFactory;
using Base::IncarnationId;
using PeerProtocol::PeerMessage;

int toMilliseconds(Base::Duration duration)
{
    return static_cast<int>(std::chrono::ceil<std::chrono::milliseconds>(duration).count());
}

/// A persistent connection to one peer.
class Connection
{
public:
    Connection(TSSLSocketFactory &factory,
               const PeerAddress &address,
               const PeerTransportSettings &settings)
    {
        auto socket = factory.createSocket(address.host, address.port);
        socket->setConnTimeout(toMilliseconds(settings.connectTimeout));
        socket->setRecvTimeout(toMilliseconds(settings.callTimeout));
        socket->setSendTimeout(toMilliseconds(settings.callTimeout));
        socket->setNoDelay(true);
        transport_ = std::make_shared<TFramedTransport>(socket);
        client_ = std::make_unique<PeerProtocol::PeerClient>(
            std::make_shared<TCompactProtocol>(transport_));
        transport_->open();
    }

    void exchange(const PeerProtocol::Batch &batch)
    {
        PeerProtocol::BatchAck ack;
        client_->exchange(ack, batch);
    }

private:
    std::shared_ptr<TFramedTransport> transport_;
    std::unique_ptr<PeerProtocol::PeerClient> client_;
};

/// Queue and connection of one peer. The transport's mutex guards the queue and the busy flag;
/// only the sender thread for which the busy flag is set uses the connection.
struct Link
{
    PeerAddress address;
    std::deque<PeerMessage> queue;
    bool isBusy = false;
    std::int64_t sequence = 0;
    std::unique_ptr<Connection> connection;
    std::uint64_t certificateGeneration = 0;
};

} // namespace

class PeerTransport::Private : public PeerProtocol::PeerIf
{
public:
    Private(PeerTransportSettings settings, Handlers handlers)
        : settings_(std::move(settings))
        , handlers_(std::move(handlers))
    {}

    void exchange(PeerProtocol::BatchAck &ack, const PeerProtocol::Batch &batch) override;
    void drain(const IncarnationId &peer, const std::shared_ptr<Link> &link);
    bool deliver(Link &link, const PeerProtocol::Batch &batch);
    bool isRepeat(const PeerProtocol::Batch &batch);

    PeerTransportSettings settings_;
    Handlers handlers_;
    std::unique_ptr<ThriftServer> server_;
    std::unique_ptr<asio::thread_pool> senders_;
    std::mutex mutex_;
    std::shared_ptr<TSSLSocketFactory> factory_;
    std::string fingerprint_;
    std::uint64_t certificateGeneration_ = 0;
    std::unordered_map<IncarnationId, std::shared_ptr<Link>> links_;
    std::unordered_map<std::string, std::int64_t> lastSequence_;
    std::atomic<std::uint64_t> messagesSent_ = 0;
    std::atomic<bool> isStopping_ = false;
};

bool PeerTransport::Private::isRepeat(const PeerProtocol::Batch &batch)
{
    const std::lock_guard lock(mutex_);
    std::int64_t &last = lastSequence_[batch.sender];
    if (batch.sequence <= last) {
        return true;
    }
    last = batch.sequence;
    return false;
}

void PeerTransport::Private::exchange(PeerProtocol::BatchAck &ack, const PeerProtocol::Batch &batch)
{
    ack.receiver = settings_.self.text();
    if (!isRepeat(batch)) {
        handlers_.onMessages(IncarnationId(batch.sender), batch.messages);
    }
}

bool PeerTransport::Private::deliver(Link &link, const PeerProtocol::Batch &batch)
{
    const bool wasConnected = link.connection != nullptr;
    // The peer may have closed a reused connection in the meantime, so a failed batch is sent once
    // more on a new connection. The receiver ignores the batch if the first attempt arrived.
    for (int attempt = wasConnected ? 0 : 1; attempt < 2; ++attempt) {
        try {
            if (!link.connection) {
                std::shared_ptr<TSSLSocketFactory> factory;
                {
                    const std::lock_guard lock(mutex_);
                    factory = factory_;
                    link.certificateGeneration = certificateGeneration_;
                }
                link.connection = std::make_unique<Connection>(*factory, link.address, settings_);
            }
            link.connection->exchange(batch);
            return true;
        } catch (const apache::thrift::transport::TTransportException &error) {
            link.connection.reset();
            if (error.getType() == apache::thrift::transport::TTransportException::TIMED_OUT) {
                return false;
            }
        } catch (const apache::thrift::TException &) {
            link.connection.reset();
        }
    }
    return false;
}

void PeerTransport::Private::drain(const IncarnationId &peer, const std::shared_ptr<Link> &link)
{
    PeerProtocol::Batch batch;
    batch.sender = settings_.self.text();
    {
        const std::lock_guard lock(mutex_);
        const size_t count = std::min(link->queue.size(), settings_.maxBatchMessages);
        if (count == 0 || isStopping_) {
            link->isBusy = false;
            return;
        }
        batch.messages.assign(
            std::make_move_iterator(link->queue.begin()),
            std::make_move_iterator(link->queue.begin() + static_cast<long>(count)));
        link->queue.erase(link->queue.begin(), link->queue.begin() + static_cast<long>(count));
        batch.sequence = ++link->sequence;
        if (link->certificateGeneration != certificateGeneration_) {
            link->connection.reset();
        }
    }
    if (deliver(*link, batch)) {
        messagesSent_ += batch.messages.size();
    } else {
        handlers_.onFailed(peer, std::move(batch.messages));
    }
    asio::post(*senders_, [this, peer, link] { drain(peer, link); });
}

PeerTransport::PeerTransport(PeerTransportSettings settings, Handlers handlers)
    : d_(std::make_unique<Private>(std::move(settings), std::move(handlers)))
{}

PeerTransport::~PeerTransport()
{
    stop();
}

void PeerTransport::start()
{
    d_->factory_ = makeTlsFactory(d_->settings_.tls, TlsRole::Client);
    d_->fingerprint_ = tlsFingerprint(d_->settings_.tls);
    d_->senders_ = std::make_unique<asio::thread_pool>(d_->settings_.senders);
    ThriftServerSettings server;
    server.address = d_->settings_.listen.host;
    server.port = d_->settings_.listen.port;
    server.tls = d_->settings_.tls;
    // The handler is owned by this object, whose destructor stops the server first.
    std::shared_ptr<PeerProtocol::PeerIf> handler(d_.get(), [](PeerProtocol::PeerIf *) {});
    d_->server_ = std::make_unique<ThriftServer>(
        server, std::make_shared<PeerProtocol::PeerProcessor>(handler));
    d_->server_->start();
}

void PeerTransport::stop()
{
    d_->isStopping_ = true;
    if (d_->server_) {
        d_->server_->stop();
        d_->server_.reset();
    }
    if (d_->senders_) {
        d_->senders_->join();
        d_->senders_.reset();
    }
}

bool PeerTransport::send(const IncarnationId &peer, const PeerAddress &address, PeerMessage message)
{
    std::shared_ptr<Link> link;
    {
        const std::lock_guard lock(d_->mutex_);
        std::shared_ptr<Link> &entry = d_->links_[peer];
        if (!entry) {
            entry = std::make_shared<Link>();
            entry->address = address;
        }
        link = entry;
        if (link->queue.size() >= d_->settings_.maxQueuedMessages || d_->isStopping_) {
            return false;
        }
        link->queue.push_back(std::move(message));
        if (link->isBusy) {
            return true;
        }
        link->isBusy = true;
    }
    asio::post(*d_->senders_, [d = d_.get(), peer, link] { d->drain(peer, link); });
    return true;
}

void PeerTransport::forget(const IncarnationId &peer)
{
    const std::lock_guard lock(d_->mutex_);
    const auto entry = d_->links_.find(peer);
    if (entry != d_->links_.end()) {
        entry->second->queue.clear();
        d_->links_.erase(entry);
    }
    d_->lastSequence_.erase(peer.text());
}

void PeerTransport::reloadCertificates()
{
    const std::string fingerprint = tlsFingerprint(d_->settings_.tls);
    {
        const std::lock_guard lock(d_->mutex_);
        if (fingerprint == d_->fingerprint_) {
            return;
        }
        d_->fingerprint_ = fingerprint;
        d_->factory_ = makeTlsFactory(d_->settings_.tls, TlsRole::Client);
        ++d_->certificateGeneration_;
    }
    d_->server_->reloadCertificates();
}

std::uint64_t PeerTransport::messagesSent() const
{
    return d_->messagesSent_;
}

} // namespace Rpc
