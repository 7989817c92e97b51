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

/// Creates a socket factory that requires and verifies the certificate of the peer.
/// Throws apache::thrift::transport::TSSLException if a file cannot be read.
std::shared_ptr<apache::thrift::transport::TSSLSocketFactory> makeTlsFactory(
    const TlsSettings &settings, TlsRole role);

/// Disables the output of failed connections to standard error, which is the default of Thrift.
/// The errors are reported to the callers as exceptions.
void discardThriftOutput();

/// Returns a text that changes whenever one of the files is modified on disk.
std::string tlsFingerprint(const TlsSettings &settings);

} // namespace Rpc
