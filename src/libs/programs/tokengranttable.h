#pragma once

#include "tokenledger.h"

namespace Programs {

/// Ask the program's home for tokens; answer with answered().
struct AskCoordinator
{
    ReservationId id;
    Base::ProgramId program;
    Base::Tokens budget;
    Base::Tokens needed;
    Base::Duration retention{};
    /// Tokens that this daemon has handed to callers, or may hand to them in turns under way.
    Base::Tokens used;
};

/// The home does not answer: the turn is to be reserved in the daemon's own ledger.
struct ReserveLocally
{
    TurnReservation turn;
    /// What the home has let turns use without a claim, as far as it said so.
    Base::Tokens coordinatorOverdraft;
};

using TokenGrantAction = std::variant<AnswerTurn, AskCoordinator, ReserveLocally>;

/// Tokens of programs whose home is another daemon, as far as the home has handed them over.
class TokenGrantTable
{
public:
    /// Answered by AnswerTurn, or passed on by ReserveLocally.
    void reserve(const TurnReservation &turn, Base::Instant now);
    /// Whether the turn was admitted here and has to be settled here.
    bool isRunning(ReservationId id) const { return running_.contains(id); }
    void settle(ReservationId id, Base::Tokens used, Base::Instant now);

    /// The home's answer to AskCoordinator of that reservation; Unavailable if it gave none. The
    /// amount is what it granted, or with Unavailable what it has let turns use without a claim.
    void answered(ReservationId id, TurnVerdict verdict, Base::Tokens amount, Base::Instant now);

    /// Forgets programs that have paused for longer than their retention.
    void sweep(Base::Instant now);
    std::vector<TokenGrantAction> takeActions();

private:
    struct TokenGrant
    {
        Base::Tokens free;
        Base::Tokens used;
        std::vector<TurnReservation> waiting;
        /// The reservation for which the home is asked now.
        std::optional<ReservationId> asking;
        std::size_t running = 0;
        Base::Instant lastUse;
        Base::Duration retention{};
    };
    struct Running
    {
        Base::ProgramId program;
        Base::Tokens maxTokens;
    };

    void serve(const Base::ProgramId &program, TokenGrant &tokenGrant);

    std::unordered_map<Base::ProgramId, TokenGrant> tokenGrants_;
    std::unordered_map<ReservationId, Running> running_;
    std::unordered_map<ReservationId, Base::ProgramId> asked_;
    std::vector<TokenGrantAction> actions_;
};

} // namespace Programs
