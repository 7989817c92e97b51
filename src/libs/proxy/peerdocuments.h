#pragma once

#include "callerconnection.h"
#include "httpcaller.h"
#include "peerlink.h"

#include <asio/io_context.hpp>

#include <map>

namespace Proxy {

/// A document that daemons pass on to each other, such as the last configuration.
struct PeerDocument
{
    std::uint64_t version = 0;
    std::string body;
};

/// Hands the newest documents of this daemon to others and fetches theirs, so that a daemon which
/// the store turns away still learns what is new.
class PeerDocuments
{
public:
    using Fetched = std::function<void(std::optional<PeerDocument>)>;

    PeerDocuments(asio::io_context &context,
                  const asio::ip::tcp::endpoint &address,
                  Telemetry::Log &log,
                  std::function<Base::Instant()> now);

    /// Throws std::exception if the address cannot be bound.
    void start();
    /// Ignores versions that are not newer.
    void publish(const std::string &name, PeerDocument document);
    /// Nothing if the peer does not answer or has none.
    void fetch(const asio::ip::udp::endpoint &peer, const std::string &name, Fetched fetched);

private:
    void accept();
    void answer(const std::shared_ptr<CallerConnection> &caller, const CallerRequest &request);

    asio::io_context &context_;
    asio::ip::tcp::endpoint address_;
    Telemetry::Log &log_;
    asio::ip::tcp::acceptor acceptor_;
    std::shared_ptr<CallerServices> services_;
    std::map<std::string, PeerDocument> documents_;
    std::map<asio::ip::tcp::endpoint, std::shared_ptr<HttpCaller>> callers_;
};

} // namespace Proxy
