#pragma once

#include <string>

namespace Rpc {

/// PEM files of one endpoint of a mutually authenticated TLS connection.
struct TlsSettings
{
    std::string certificateFile;
    std::string privateKeyFile;
    /// Certificates of the authorities trusted to sign peers; may contain old and new ones at once.
    std::string trustFile;
    /// Required common name of a peer's certificate.
    std::string peerName;
};

} // namespace Rpc
