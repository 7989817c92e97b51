#pragma once

#include "profile.h"

#include <operator/Operator.h>

#include <memory>

/// A connection to one daemon's operators' interface.
/// Methods throw the schema's exceptions, or apache::thrift::TException without a connection.
class OperatorClient
{
public:
    explicit OperatorClient(const Profile &profile);
    ~OperatorClient();

    OperatorProtocol::ChangeResult change(const OperatorProtocol::ChangeRequest &request);
    OperatorProtocol::IssuedKey issueKey(const std::string &team, std::int64_t expectedVersion);
    OperatorProtocol::Configuration configuration();
    OperatorProtocol::DaemonStatus status();

private:
    class Private;
    std::unique_ptr<Private> d_;
};
