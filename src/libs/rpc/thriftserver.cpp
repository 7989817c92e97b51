#include "thriftserver.h"

#include "tlsfactory.h"

#include <thrift/concurrency/ThreadFactory.h>
#include <thrift/concurrency/ThreadManager.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/server/TNonblockingServer.h>
#include <thrift/transport/TNonblockingSSLServerSocket.h>
#include <thrift/transport/TSSLSocket.h>

#include <future>
#include <mutex>
#include <thread>

namespace Rpc {

namespace {

using apache::thrift::TProcessor;
using apache::thrift::concurrency::ThreadFactory;
using apache::thrift::concurrency::ThreadManager;
using apache::thrift::protocol::TCompactProtocolFactory;
using apache::thrift::server::TNonblockingServer;
using apache::thrift::transport::TNonblockingSSLServerSocket;

constexpr size_t maxFrameBytes = 64 * 1024 * 1024;

} // namespace

class ThriftServer::Private
{
public:
    Private(ThriftServerSettings settings, std::shared_ptr<TProcessor> processor)
        : settings_(std::move(settings))
        , processor_(std::move(processor))
    {}

    void start();
    void stop();

    ThriftServerSettings settings_;
    std::shared_ptr<TProcessor> processor_;
    std::mutex mutex_;
    std::string fingerprint_;
    std::shared_ptr<ThreadManager> workers_;
    std::shared_ptr<TNonblockingServer> server_;
    std::thread thread_;
};

void ThriftServer::Private::start()
{
    fingerprint_ = tlsFingerprint(settings_.tls);
    auto socket = std::make_shared<TNonblockingSSLServerSocket>(
        settings_.address, settings_.port, makeTlsFactory(settings_.tls, TlsRole::Server));
    workers_ = ThreadManager::newSimpleThreadManager(settings_.workers);
    workers_->threadFactory(std::make_shared<ThreadFactory>(false));
    workers_->start();
    server_ = std::make_shared<TNonblockingServer>(
        processor_, std::make_shared<TCompactProtocolFactory>(), socket, workers_);
    server_->setMaxFrameSize(maxFrameBytes);
    // stop() wakes the event loop only if it is called from another thread than the one that
    // registered the events, so the serving thread registers them. The future passes an exception,
    // such as for an address in use, to the caller.
    std::promise<void> listening;
    std::future<void> isListening = listening.get_future();
    thread_ = std::thread([server = server_, listening = std::move(listening)]() mutable {
        try {
            server->registerEvents(nullptr);
        } catch (...) {
            listening.set_exception(std::current_exception());
            return;
        }
        listening.set_value();
        server->serve();
    });
    try {
        isListening.get();
    } catch (...) {
        thread_.join();
        workers_->stop();
        server_.reset();
        throw;
    }
}

void ThriftServer::Private::stop()
{
    if (!server_) {
        return;
    }
    server_->stop();
    thread_.join();
    workers_->stop();
    server_.reset();
}

ThriftServer::ThriftServer(ThriftServerSettings settings, std::shared_ptr<TProcessor> processor)
    : d_(std::make_unique<Private>(std::move(settings), std::move(processor)))
{}

ThriftServer::~ThriftServer()
{
    stop();
}

void ThriftServer::start()
{
    const std::lock_guard lock(d_->mutex_);
    d_->start();
}

void ThriftServer::stop()
{
    const std::lock_guard lock(d_->mutex_);
    d_->stop();
}

void ThriftServer::reloadCertificates()
{
    const std::lock_guard lock(d_->mutex_);
    if (!d_->server_ || d_->fingerprint_ == tlsFingerprint(d_->settings_.tls)) {
        return;
    }
    d_->stop();
    d_->start();
}

} // namespace Rpc
