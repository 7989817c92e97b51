#pragma once

#include "tokenledger.h"

namespace Programs {

/// Time for which a coordinator remembers its grants, so that repeated requests and returns count
/// once.
inline constexpr Base::Duration grantRetention = std::chrono::seconds(10);

/// Requests tokens from the program's coordinator; the response is passed to answered().
struct AskCoordinator
{
    ReservationId id;
    Base::ProgramId program;
    Base::Tokens budget;
    Base::Tokens needed;
    Base::Duration retention{};
    /// Tokens that this daemon has passed to callers, or reserved for turns in progress.
    Base::Tokens used;
    /// Maximum of the turn, of which `needed` is the part that this daemon lacks.
    Base::Tokens turnMaximum{};
};

/// Reserves the turn in the daemon's own ledger, as the coordinator cannot grant tokens now.
struct ReserveLocally
{
    TurnReservation turn;
    /// Overdraft of the program on the coordinator, if the coordinator reported one.
    Base::Tokens coordinatorOverdraft;
};

/// Returns unused tokens to the coordinator that granted them for that reservation.
struct ReturnGrant
{
    ReservationId grant;
    Base::Tokens amount;

    bool operator==(const ReturnGrant &) const = default;
};

using TokenGrantAction = std::variant<AnswerTurn, AskCoordinator, ReserveLocally, ReturnGrant>;

/// Admits turns of programs whose coordinator is another daemon, from tokens that it has granted.
class TokenGrantTable
{
public:
    /// Leads to one AnswerTurn or ReserveLocally.
    void reserve(const TurnReservation &turn, Base::Instant now);
    /// Whether the turn was admitted here and has to be settled here.
    bool isRunning(ReservationId id) const { return running_.contains(id); }
    void settle(ReservationId id, Base::Tokens used, Base::Instant now);

    /// Takes the coordinator's response to AskCoordinator of that reservation, or Unavailable if
    /// there was none. The amount is the granted tokens; with Unavailable, the program's overdraft
    /// on the coordinator.
    void answered(ReservationId id, TurnVerdict verdict, Base::Tokens amount, Base::Instant now);

    /// Evicts programs that have been idle for longer than their retention.
    void sweep(Base::Instant now);
    std::vector<TokenGrantAction> takeActions();

private:
    struct Grant
    {
        ReservationId id;
        Base::Tokens amount;
        Base::Instant receivedAt;
    };
    struct Account
    {
        std::optional<Grant> lastGrant;
        Base::Tokens free;
        Base::Tokens used;
        std::vector<TurnReservation> waiting;
        /// Reservation whose request to the coordinator is in flight.
        std::optional<ReservationId> pendingRequest;
        std::size_t running = 0;
        Base::Instant lastUse;
        Base::Duration retention{};
    };
    struct Running
    {
        Base::ProgramId program;
        Base::Tokens maxTokens;
    };

    void serve(const Base::ProgramId &program, Account &account);
    void returnUnused(Account &account, Base::Instant now);

    std::unordered_map<Base::ProgramId, Account> accounts_;
    std::unordered_map<ReservationId, Running> running_;
    std::unordered_map<ReservationId, Base::ProgramId> pendingRequests_;
    std::vector<TokenGrantAction> actions_;
};

} // namespace Programs
