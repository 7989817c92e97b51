#pragma once

#include "requesttraits.h"
#include "serverconnector.h"

namespace Proxy {

/// What a server says about the process that serves a connection.
enum class ProcessFinding {
    /// It is the listed process.
    Listed,
    /// Another process has taken its place.
    Other,
    /// The server does not say which process it is.
    Untold,
    /// No response.
    Unanswered
};

/// Asks a server on an idle connection whether its process is the listed one.
class ProcessCheck : public ConnectAttempt, public std::enable_shared_from_this<ProcessCheck>
{
public:
    /// Receives the connection, or null if it cannot be used any more.
    using Done = std::function<void(ProcessFinding, std::shared_ptr<ClientConnection>)>;

    ProcessCheck(asio::io_context &context,
                 const HeaderTranslator &translator,
                 Dispatch::ServerInstance process,
                 std::shared_ptr<ClientConnection> connection);

    /// Calls back once, unless the check is cancelled.
    void start(Base::Duration timeout, Done done);
    void cancel() override;

private:
    HeadVerdict onHead(const ResponseHead &head);
    void onBody(const std::string &bytes);
    void onEnd(ResponseEnd end);
    ProcessFinding finding() const;
    void finish(ProcessFinding finding, bool isUsable);

    const HeaderTranslator &translator_;
    Dispatch::ServerInstance process_;
    std::shared_ptr<ClientConnection> connection_;
    asio::steady_timer timer_;
    int status_ = 0;
    std::string body_;
    Done done_;
};

/// Returns the name of the finding, for logs and metrics.
const char *nameOf(ProcessFinding finding);

} // namespace Proxy
