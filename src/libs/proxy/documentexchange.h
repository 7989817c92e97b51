#pragma once

#include "callerlistener.h"
#include "connectionshares.h"
#include "httpcaller.h"
#include "peerlink.h"

#include <asio/io_context.hpp>

#include <map>

namespace Proxy {

/// A document that daemons share with each other, such as the latest configuration.
struct VersionedDocument
{
    std::uint64_t version = 0;
    std::string body;
};

/// Serves the latest documents of this daemon to others over HTTP and fetches theirs, so that a
/// daemon that cannot reach the store still gets updates.
class DocumentExchange
{
public:
    using FetchCallback = std::function<void(std::optional<VersionedDocument>)>;

    DocumentExchange(asio::io_context &context,
                     const asio::ip::tcp::endpoint &address,
                     Telemetry::Log &log,
                     std::function<Base::Instant()> now);

    /// Documents of peers are leased from the budget, which must outlive the calls to them.
    void setMemory(Base::MemoryBudget &budget) { memory_ = &budget; }
    /// Must be called before start(); by default, connections are not limited.
    void setConnections(const ConnectionShares &connections) { connections_ = connections; }
    /// Heads of requests are leased from the budget. Must be called before start().
    void setHeadMemory(Base::MemoryBudget &heads) { handlers_->heads = &heads; }
    /// Throws std::exception if the address cannot be bound.
    void start();
    /// Ignores \a document unless its version is newer.
    void publish(const std::string &name, VersionedDocument document);
    /// Calls back with nothing if the peer does not respond or has no such document.
    void fetch(const asio::ip::udp::endpoint &peer,
               const std::string &name,
               FetchCallback callback);

private:
    void respond(const std::shared_ptr<CallerConnection> &caller, const CallerRequest &request);

    asio::io_context &context_;
    asio::ip::tcp::endpoint address_;
    Telemetry::Log &log_;
    /// Null means unlimited.
    Base::MemoryBudget *memory_ = nullptr;
    ConnectionShares connections_;
    CallerListener listener_;
    std::shared_ptr<CallerHandlers> handlers_;
    std::map<std::string, VersionedDocument> documents_;
    std::map<asio::ip::tcp::endpoint, std::shared_ptr<HttpCaller>> callers_;
};

} // namespace Proxy
