#include "tlsfactory.h"

#include <thrift/TOutput.h>
#include <thrift/transport/TSSLSocket.h>

#include <filesystem>

namespace Rpc {

namespace {

using apache::thrift::transport::AccessManager;
using apache::thrift::transport::SSLProtocol;
using apache::thrift::transport::TSSLSocketFactory;

/// Accepts certificates with the expected name. The host name is not verified, because
/// daemons are addressed by IP address.
class NameCheck : public AccessManager
{
public:
    explicit NameCheck(std::string name)
        : name_(std::move(name))
    {}

    Decision verify(const sockaddr_storage & /*address*/) noexcept override { return SKIP; }

    Decision verify(const std::string & /*host*/, const char *name, int size) noexcept override
    {
        return name_.compare(0, std::string::npos, name, static_cast<size_t>(size)) == 0 ? ALLOW
                                                                                         : SKIP;
    }

    Decision verify(const sockaddr_storage & /*address*/,
                    const char * /*data*/,
                    int /*size*/) noexcept override
    {
        return SKIP;
    }

private:
    std::string name_;
};

std::string modificationTime(const std::string &file)
{
    std::error_code error;
    const auto time = std::filesystem::last_write_time(file, error);
    return error ? std::string("missing") : std::to_string(time.time_since_epoch().count());
}

} // namespace

std::shared_ptr<TSSLSocketFactory> makeTlsFactory(const TlsSettings &settings, TlsRole role)
{
    auto factory = std::make_shared<TSSLSocketFactory>(SSLProtocol::TLSv1_2);
    factory->server(role == TlsRole::Server);
    factory->authenticate(true);
    factory->loadCertificate(settings.certificateFile.c_str());
    factory->loadPrivateKey(settings.privateKeyFile.c_str());
    factory->loadTrustedCertificates(settings.trustFile.c_str());
    factory->access(std::make_shared<NameCheck>(settings.peerName));
    return factory;
}

void discardThriftOutput()
{
    apache::thrift::GlobalOutput.setOutputFunction([](const char * /*message*/) {});
}

std::string tlsFingerprint(const TlsSettings &settings)
{
    return modificationTime(settings.certificateFile) + "/"
           + modificationTime(settings.privateKeyFile) + "/" + modificationTime(settings.trustFile);
}

} // namespace Rpc
