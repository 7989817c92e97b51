#pragma once

#include <string>

namespace Rpc {

/// Files of one end of a mutually authenticated TLS connection, in PEM.
struct TlsSettings
{
    std::string certificateFile;
    std::string privateKeyFile;
    /// Certificates of the authorities that peers may be signed by; old and new ones may overlap.
    std::string trustFile;
    /// Common name that a peer's certificate must carry.
    std::string peerName;
};

} // namespace Rpc
