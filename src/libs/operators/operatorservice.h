#pragma once

#include <contracts/configeditor.h>
#include <operator/Operator.h>
#include <scheduler/coreactions.h>
#include <telemetry/log.h>

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>

/// The operators' Thrift interface of a daemon.
namespace Operators {

/// An operator that is authorized to use the interface.
struct OperatorAccount
{
    std::string name;
    /// SHA-256 of the operator's token, in hexadecimal.
    std::string tokenHash;
};

/// Operations of the daemon that the interface uses. Called from several threads.
class DaemonAccess
{
public:
    virtual ~DaemonAccess() = default;

    virtual void submitEdit(Contracts::SubmitEdit edit) = 0;
    virtual std::shared_ptr<const Contracts::ConfigurationDocument> configuration() const = 0;
    virtual OperatorProtocol::DaemonStatus status() const = 0;
};

/// Authenticates operators, applies their changes and waits for the outcome.
class OperatorService : public OperatorProtocol::OperatorIf
{
public:
    OperatorService(std::vector<OperatorAccount> accounts,
                    DaemonAccess &daemon,
                    Telemetry::Log &log);

    /// Receives the outcome of an edit that the service submitted.
    void editAnswered(const Scheduler::AnswerEdit &answer);

    void change(OperatorProtocol::ChangeResult &result,
                const OperatorProtocol::Credential &credential,
                const OperatorProtocol::ChangeRequest &request) override;
    void issueKey(OperatorProtocol::IssuedKey &result,
                  const OperatorProtocol::Credential &credential,
                  const std::string &team,
                  std::int64_t expectedVersion) override;
    void configuration(OperatorProtocol::Configuration &result,
                       const OperatorProtocol::Credential &credential) override;
    void status(OperatorProtocol::DaemonStatus &result,
                const OperatorProtocol::Credential &credential) override;

private:
    using Answer = decltype(Scheduler::AnswerEdit::answer);

    void authenticate(const OperatorProtocol::Credential &credential) const;
    Base::ConfigVersion apply(const std::string &operatorName,
                              Contracts::ConfigEdit edit,
                              std::optional<Base::ConfigVersion> expected);
    Answer waitFor(Base::RequestId request);

    std::vector<OperatorAccount> accounts_;
    DaemonAccess &daemon_;
    Telemetry::Log &log_;
    std::mutex mutex_;
    std::condition_variable outcomeArrived_;
    std::uint64_t lastRequest_ = 0;
    /// Edits in progress; each value is set when the outcome arrives.
    std::map<Base::RequestId, std::optional<Answer>> edits_;
};

} // namespace Operators
