#include "operatorclient.h"

#include <rpc/tlsfactory.h>

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>
#include <thrift/transport/TSSLSocket.h>

namespace {

constexpr int connectTimeoutMs = 3000;
constexpr int callTimeoutMs = 30'000;

} // namespace

class OperatorClient::Private
{
public:
    explicit Private(const Profile &profile)
        : factory_(Rpc::makeTlsFactory(profile.tls, Rpc::TlsRole::Client))
    {
        auto socket = factory_->createSocket(profile.address, profile.port);
        socket->setConnTimeout(connectTimeoutMs);
        socket->setRecvTimeout(callTimeoutMs);
        socket->setSendTimeout(callTimeoutMs);
        transport_ = std::make_shared<apache::thrift::transport::TFramedTransport>(socket);
        client_ = std::make_unique<OperatorProtocol::OperatorClient>(
            std::make_shared<apache::thrift::protocol::TCompactProtocol>(transport_));
        transport_->open();
        who_.name = profile.operatorName;
        who_.token = profile.token;
    }

    std::shared_ptr<apache::thrift::transport::TSSLSocketFactory> factory_;
    std::shared_ptr<apache::thrift::transport::TFramedTransport> transport_;
    std::unique_ptr<OperatorProtocol::OperatorClient> client_;
    OperatorProtocol::Credential who_;
};

OperatorClient::OperatorClient(const Profile &profile)
    : d_(std::make_unique<Private>(profile))
{}

OperatorClient::~OperatorClient() = default;

OperatorProtocol::ChangeResult OperatorClient::change(
    const OperatorProtocol::ChangeRequest &request)
{
    OperatorProtocol::ChangeResult result;
    d_->client_->change(result, d_->who_, request);
    return result;
}

OperatorProtocol::IssuedKey OperatorClient::issueKey(const std::string &team,
                                                     std::int64_t expectedVersion)
{
    OperatorProtocol::IssuedKey result;
    d_->client_->issueKey(result, d_->who_, team, expectedVersion);
    return result;
}

OperatorProtocol::Configuration OperatorClient::configuration()
{
    OperatorProtocol::Configuration result;
    d_->client_->configuration(result, d_->who_);
    return result;
}

OperatorProtocol::DaemonStatus OperatorClient::status()
{
    OperatorProtocol::DaemonStatus result;
    d_->client_->status(result, d_->who_);
    return result;
}
