#pragma once

#include "eventsplitter.h"
#include "passthrough.h"

namespace Proxy {

/// One caller's attempt from its arrival to its final answer: admission, the servers that it is
/// offered to, and the relay of the answer.
class Exchange : public std::enable_shared_from_this<Exchange>
{
public:
    Exchange(PassThrough &owner, std::shared_ptr<CallerConnection> caller, CallerRequest request);

    void start();

private:
    /// Why the exchange has ended, for the log.
    struct Ending
    {
        int status = 0;
        const char *outcome = "";
        std::string detail;
    };

    Base::Instant now() const { return owner_.now(); }
    Base::Duration timeLeft() const { return deadline_ - now(); }

    bool findRoute();
    bool checkKey();
    bool isTurn() const;
    Admission::Urgency urgency() const;
    void checkRate();
    void onPermitVerdict(const Admission::PermitVerdict &verdict);
    void checkBudget();
    void onBudgetVerdict(BudgetVerdict verdict);
    void armDeadline();
    void onDeadline();
    void onCallerGone();

    void offer();
    void connect(const Dispatch::Placement &placement);
    void sendTo(std::shared_ptr<ClientConnection> connection);
    std::string serializeForServer() const;
    HeadVerdict onHead(const ResponseHead &head, const Framing &framing);
    void onBody(const std::string &bytes);
    void onEnd(ResponseEnd end, const std::string &problem);
    void onNotRun(const std::string &detail);
    void onBroken(const std::string &problem);
    bool mayRunAgain() const;
    bool isWholeAnswerKept() const;

    void passHead();
    void passBody(std::string_view bytes);
    void passOnEnd();
    void limitBacklog();
    void releaseServer(bool isConnectionReusable);

    void answerLocally(int status,
                       const char *outcome,
                       std::string detail,
                       std::optional<Base::Duration> retryAfter = std::nullopt);
    void cutOff(const char *outcome, std::string detail);
    void finish(Ending ending);
    void settle();
    void writeLog(Ending ending);

    PassThrough &owner_;
    std::shared_ptr<CallerConnection> caller_;
    CallerRequest request_;
    RequestTraits traits_;
    std::shared_ptr<const Contracts::RoutingTable> table_;
    const Contracts::Route *route_ = nullptr;
    const Contracts::RoutedService *service_ = nullptr;
    const Contracts::RoutedTeam *team_ = nullptr;
    Base::Instant deadline_;
    asio::steady_timer timer_;
    /// Runs while the request waits for a permit of its team.
    std::optional<asio::steady_timer> rateTimer_;

    /// The server that the request is offered to now.
    std::optional<Dispatch::Placement> placement_;
    std::shared_ptr<ClientConnection> connection_;
    Base::Instant sentAt_;
    std::vector<Base::ServerId> excluded_;
    std::uint32_t offers_ = 0;
    /// Servers on which the request ran or may have run.
    std::uint32_t runs_ = 0;
    bool mayHaveRun_ = false;

    ResponseHead head_;
    Framing framing_;
    std::string heldBody_;
    EventSplitter events_;
    bool isEventStream_ = false;
    bool isHeadPassed_ = false;
    Programs::ReservationId reservation_;
    bool isReserved_ = false;
    Admission::Urgency urgency_ = Admission::Urgency::Started;
    /// A permit was taken, and no server has got the request yet.
    bool hasPermit_ = false;
    bool isEnded_ = false;
};

} // namespace Proxy
