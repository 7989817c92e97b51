#pragma once

#include "tlssettings.h"

#include <cstdint>
#include <memory>
#include <string>

namespace apache::thrift {
class TProcessor;
}

namespace Rpc {

struct ThriftServerSettings
{
    std::string address;
    std::uint16_t port = 0;
    TlsSettings tls;
    unsigned workers = 2;
};

/// Serves a Thrift processor: framed compact protocol over mutual TLS, event-driven connections.
class ThriftServer
{
public:
    ThriftServer(ThriftServerSettings settings,
                 std::shared_ptr<apache::thrift::TProcessor> processor);
    ~ThriftServer();

    ThriftServer(const ThriftServer &) = delete;
    ThriftServer &operator=(const ThriftServer &) = delete;

    /// Throws std::exception if the address cannot be bound or a certificate file cannot be read.
    void start();
    void stop();

    /// Reopens the listener if a certificate file changed, so that the new files are used.
    void reloadCertificates();

private:
    class Private;
    std::unique_ptr<Private> d_;
};

} // namespace Rpc
