#pragma once

#include "passthrough.h"

#include <programs/tokenledger.h>

#include <asio/steady_timer.hpp>

namespace Proxy {

/// Writes claims to the store and answers each exactly once.
using ClaimWriter = std::function<void(const Programs::WriteClaim &,
                                       std::function<void(Programs::ClaimOutcome)>)>;

/// Runs a TokenLedger on the event loop: admits turns of programs within their token budgets.
class TurnAdmission
{
public:
    TurnAdmission(asio::io_context &context,
                  Base::IncarnationId self,
                  ClaimWriter writer,
                  std::function<Base::Instant()> now);

    /// Names the reservation that settle() ends.
    Programs::ReservationId reserve(const RequestTraits &turn,
                                    Base::Duration retention,
                                    std::function<void(BudgetVerdict)> answer);
    /// The turn was admitted and has ended; tokens are those handed to the caller.
    void settle(Programs::ReservationId id, Base::Tokens used);

private:
    void runActions();
    void armTimer();

    Programs::TokenLedger ledger_;
    ClaimWriter writer_;
    std::function<Base::Instant()> now_;
    asio::steady_timer timer_;
    std::optional<Base::Instant> timerDue_;
    Programs::ReservationId lastId_;
    std::unordered_map<Programs::ReservationId, std::function<void(BudgetVerdict)>> answers_;
};

} // namespace Proxy
