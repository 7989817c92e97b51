#pragma once

#include <base/instant.h>
#include <base/types.h>

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

namespace Programs {

using ReservationId = Base::StrongNumber<struct ReservationIdTag, std::uint64_t>;

/// Version of a program's claims in the store; 0 stands for claims that do not exist yet.
using AllocationVersion = Base::StrongNumber<struct AllocationVersionTag, std::uint64_t>;

struct TokenLedgerSettings
{
    /// Share of what is left that one claim takes. Programs of the two deployments use a quarter of
    /// their budgets; after the loss of the daemon that claimed, the other half serves them.
    double allocationShare = 0.5;
    /// Share of what is free that one transfer hands over, so that a program served by many daemons
    /// finds something left for each.
    double transferShare = 0.25;
    /// Part of a budget that turns may use before the store has confirmed a claim, while it does
    /// not answer. It is lost with the daemon that gave it; programs that run away have budgets of
    /// three turns' most, and one turn's most may be handed out beyond a budget.
    double overdraftShare = 1.0 / 3;
    /// Pauses between claims while the store does not answer, first and longest. Calls to a store
    /// that is away are priced as well.
    Base::Duration firstProbe = std::chrono::milliseconds(200);
    Base::Duration longestProbe = std::chrono::seconds(1);
    /// Claims written at once when the store is back, and the pause before the next ones: 200 a
    /// second and daemon, as the store takes 400 writes a second.
    std::size_t writesPerRound = 10;
    Base::Duration writeRound = std::chrono::milliseconds(50);
    /// A turn waits no longer for a claim.
    Base::Duration longestWait = std::chrono::milliseconds(800);
};

struct TurnReservation
{
    ReservationId id;
    Base::ProgramId program;
    /// Tokens that all turns of the program may generate.
    Base::Tokens budget;
    /// The most that this turn generates.
    Base::Tokens maxTokens;
    /// How long the program may pause before it is forgotten.
    Base::Duration retention{};
    /// The tokens go to another daemon for good; it gets a share, of which `most` is the least.
    bool isTransfer = false;
    /// This daemon knows of every claim of the program, as it has been its home since its first
    /// turn; the turn may run before its claim is confirmed.
    bool mayOverdraw = false;
    /// Tokens that the daemon which asks has handed to callers so far, whoever gave them to it.
    std::optional<std::pair<Base::VmId, Base::Tokens>> reportedUse;
    /// Tokens that another daemon has let turns use without a claim.
    std::optional<std::pair<Base::VmId, Base::Tokens>> remoteOverdraft;
};

enum class TurnVerdict {
    Admitted,
    /// The budget does not hold the turn.
    Exhausted,
    /// The store gave no answer; nothing is known to be spent.
    Unavailable
};

/// The turn may run or is refused.
struct AnswerTurn
{
    ReservationId id;
    TurnVerdict verdict = TurnVerdict::Unavailable;
    /// Tokens that are reserved, or handed over; with Unavailable, those in use without a claim.
    Base::Tokens amount;

    bool operator==(const AnswerTurn &) const = default;
};

/// Write the program's claims on the condition that they have this version.
struct WriteAllocation
{
    Base::ProgramId program;
    AllocationVersion expected;
    /// All that daemons have claimed, this claim included.
    Base::Tokens total;
    /// Kept with the claims, so that a write whose answer was lost is recognised.
    Base::WriteId writeId;
    /// How long the claims are of use once the program has paused.
    Base::Duration retention{};
    /// A turn waits for the claim; others may be written together with later ones.
    bool isAwaited = true;

    bool operator==(const WriteAllocation &) const = default;
};

/// A turn waits for the program's claim, which was not awaited when it was made.
struct ExpediteAllocation
{
    Base::ProgramId program;

    bool operator==(const ExpediteAllocation &) const = default;
};

using TokenLedgerAction = std::variant<AnswerTurn, WriteAllocation, ExpediteAllocation>;

/// The store's claims of one program.
struct StoredAllocations
{
    AllocationVersion version;
    Base::Tokens total;
    Base::WriteId lastWrite;

    bool operator==(const StoredAllocations &) const = default;
};

struct AllocationWritten
{
    AllocationVersion version;

    bool operator==(const AllocationWritten &) const = default;
};

/// Another daemon has written; the claims are as given.
struct AllocationConflict
{
    StoredAllocations stored;

    bool operator==(const AllocationConflict &) const = default;
};

/// No answer: the write may have been done, or may be done later.
struct AllocationUnanswered
{
    bool operator==(const AllocationUnanswered &) const = default;
};

using AllocationOutcome = std::variant<AllocationWritten, AllocationConflict, AllocationUnanswered>;

/// Keeps programs within their token budgets across daemons and restarts. Each daemon claims parts
/// of a budget in the store; what a lost daemon had claimed counts as spent. Turns wait for the
/// claim, but for programs whose every claim this daemon knows: those may run on credit, which the
/// next claim covers.
class TokenLedger
{
public:
    TokenLedger(Base::IncarnationId self, TokenLedgerSettings settings);

    void reserve(const TurnReservation &turn, Base::Instant now);
    /// The turn has ended or was not run; what it did not use is free again.
    void settle(ReservationId id, Base::Tokens used, Base::Instant now);
    void allocationAnswered(const Base::ProgramId &program,
                            const AllocationOutcome &outcome,
                            Base::Instant now);

    void tick(Base::Instant now);
    std::optional<Base::Instant> nextWakeUp() const;
    std::vector<TokenLedgerAction> takeActions();

    std::size_t programCount() const { return accounts_.size(); }
    /// The last claim had no answer.
    bool isStoreAway() const { return probeAt_.has_value(); }

private:
    struct WaitingTurn
    {
        TurnReservation turn;
        Base::Instant since;
    };
    struct Account
    {
        Base::Tokens budget;
        /// Claimed by this daemon and confirmed by the store.
        Base::Tokens allocated;
        /// Handed to callers or other daemons, or reserved by turns under way.
        Base::Tokens used;
        /// Claims of all daemons at the last answer.
        Base::Tokens storedTotal;
        AllocationVersion version;
        /// The claim under way, or without an answer.
        std::optional<WriteAllocation> pending;
        Base::Tokens pendingAmount;
        bool isWriting = false;
        std::vector<WaitingTurn> waiting;
        std::map<Base::VmId, Base::Tokens> reportedUse;
        std::map<Base::VmId, Base::Tokens> remoteOverdraft;
        std::size_t running = 0;
        Base::Instant lastUse;
        Base::Duration retention{};

        /// Negative while turns run on credit.
        Base::Tokens free() const { return allocated - used; }
        Base::Tokens overdraft() const { return std::max(Base::Tokens(0), used - allocated); }
        /// What no daemon has claimed or is known to have used.
        Base::Tokens unallocated() const;
    };
    struct Running
    {
        Base::ProgramId program;
        Base::Tokens maxTokens;
    };

    bool mayOverdraw(const Account &account, const TurnReservation &turn) const;
    void admit(Account &account, const TurnReservation &turn);
    void handOver(Account &account, const TurnReservation &turn);
    void serveWaiting(const Base::ProgramId &program, Account &account, Base::Instant now);
    bool serveFirst(const Base::ProgramId &program, Account &account, Base::Instant now);
    void allocate(const Base::ProgramId &program,
                  Account &account,
                  Base::Tokens needed,
                  bool isAwaited);
    void awaitAllocation(Account &account);
    void write(Account &account);
    void writeDeferred();
    void coverOverdraft(const Base::ProgramId &program, Account &account);
    void answer(ReservationId id, TurnVerdict verdict, Base::Tokens amount = {});
    void resolve(Account &account, const AllocationOutcome &outcome);
    void noteStore(const AllocationOutcome &outcome, Base::Instant now);
    void forgetIdle(Base::Instant now);

    Base::IncarnationId self_;
    TokenLedgerSettings settings_;
    std::uint64_t lastWrite_ = 0;
    std::unordered_map<Base::ProgramId, Account> accounts_;
    std::unordered_map<ReservationId, Running> running_;
    /// Programs with waiting turns, and since when the first of them waits.
    std::map<Base::ProgramId, Base::Instant> waitingSince_;
    /// Programs whose claims wait until the store answers again, first come first.
    std::deque<Base::ProgramId> deferred_;
    /// Set while the store does not answer: when the next claim tries it.
    std::optional<Base::Instant> probeAt_;
    Base::Duration probePause_{};
    /// Set while deferred claims are written.
    std::optional<Base::Instant> nextRound_;
    std::optional<Base::Instant> nextSweep_;
    std::vector<TokenLedgerAction> actions_;
};

} // namespace Programs
