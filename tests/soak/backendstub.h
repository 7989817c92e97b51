#pragma once

#include "faultrelay.h"
#include "ledger.h"

#include <base/random.h>
#include <proxy/callerconnection.h>

#include <nlohmann/json.hpp>

#include <functional>

namespace Soak {

/// What a stand-in of a backend server does wrong.
enum class BackendFault {
    None,
    /// Runs some requests and closes the connection without an answer.
    LosesAnswers,
    /// Ends some answers early.
    CutsAnswers,
    /// Sends an answer once more behind itself.
    RepeatsAnswers,
    /// Refuses with the word that it has not run the request.
    Refuses
};

/// Stand-in of a backend server: streams events for turns, plain answers for the rest.
class BackendStub
{
public:
    BackendStub(asio::io_context &context,
                std::string id,
                std::string service,
                Ledger &ledger,
                std::function<Base::Instant()> now,
                std::uint64_t seed);

    const std::string &id() const { return id_; }
    FaultRelay &link() { return relay_; }
    void setFault(BackendFault fault) { fault_ = fault; }
    /// The entry in the platform's store.
    nlohmann::json entry(bool isLeaving) const;

private:
    using Caller = std::shared_ptr<Proxy::CallerConnection>;
    struct Stream;

    void accept();
    void onRequest(const Caller &caller, const Proxy::CallerRequest &request);
    void answerPlain(const Caller &caller, const std::string &id);
    void beginStream(const Caller &caller, const Proxy::CallerRequest &request);
    void continueStream(const std::shared_ptr<Stream> &stream);
    Proxy::ResponseHead head(int status, const std::string &id) const;
    bool strikes(BackendFault fault) { return fault_ == fault && random_.chance(faultShare); }

    static constexpr double faultShare = 0.2;

    asio::io_context &context_;
    std::string id_;
    std::string service_;
    Ledger &ledger_;
    std::function<Base::Instant()> now_;
    Base::Random random_;
    asio::ip::tcp::acceptor acceptor_;
    FaultRelay relay_;
    std::shared_ptr<Proxy::CallerHandlers> services_;
    BackendFault fault_ = BackendFault::None;
};

/// The event with that number of a turn, as a server makes it.
std::string eventText(const std::string &session, int number);

/// The whole answer to a plain request.
std::string plainAnswer(const std::string &id);

/// Events of a turn: a turn's body names them.
int eventsOf(const std::string &body);

constexpr int tokensPerEvent = 20;

} // namespace Soak
