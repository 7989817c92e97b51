#pragma once

#include "tlssettings.h"

#include <memory>

namespace apache::thrift::transport {
class TSSLSocketFactory;
}

namespace Rpc {

enum class TlsRole {
    Client,
    Server
};

/// Socket factory that requires and checks the certificate of the other side.
/// Throws apache::thrift::transport::TSSLException if a file cannot be read.
std::shared_ptr<apache::thrift::transport::TSSLSocketFactory> makeTlsFactory(
    const TlsSettings &settings, TlsRole role);

/// Thrift prints failed connections to standard error unless told otherwise; errors come back to
/// the callers anyway.
void discardThriftOutput();

/// Changes whenever one of the files has changed on disk.
std::string tlsFingerprint(const TlsSettings &settings);

} // namespace Rpc
