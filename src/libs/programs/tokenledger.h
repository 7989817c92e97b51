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

/// Version of a program's allocations in the store; 0 if there are none yet.
using AllocationVersion = Base::StrongNumber<struct AllocationVersionTag, std::uint64_t>;

struct TokenLedgerSettings
{
    /// Share of the unallocated budget that one allocation takes. Programs of the two deployments
    /// use a quarter of their budgets, so half a budget suffices for them. If the daemon that
    /// allocated it is lost, the other half is still available.
    double allocationShare = 0.5;
    /// Share of the free tokens that one grant passes to another daemon, so that a program that is
    /// served by many daemons has tokens left for each.
    double grantShare = 0.25;
    /// Share of a budget that turns may use before the store has confirmed an allocation, while it
    /// does not respond. A lost daemon leaves no record in the store, and a program may exceed its
    /// budget by one turn's maximum. More than that is overdrawn only once another daemon has
    /// recorded it.
    double overdraftShare = 1.0 / 3;
    /// Pause after an attempt to have the overdraft recorded that failed.
    Base::Duration recordBackoff = std::chrono::seconds(1);
    /// Pauses between attempts to write while the store does not respond, doubled from the initial
    /// to the maximum one. Calls to an unavailable store are charged as well.
    Base::Duration initialBackoff = std::chrono::milliseconds(200);
    Base::Duration maxBackoff = std::chrono::seconds(1);
    /// Deferred allocations written at once when the store responds again, and the pause before
    /// the next batch. This is 200 writes per second and daemon; the store takes 400 per second.
    std::size_t writesPerBatch = 10;
    Base::Duration batchInterval = std::chrono::milliseconds(50);
    /// Maximum time that a turn waits for an allocation.
    Base::Duration allocationTimeout = std::chrono::milliseconds(800);
};

struct TurnReservation
{
    ReservationId id;
    Base::ProgramId program;
    /// Tokens that all turns of the program may generate.
    Base::Tokens budget;
    /// Maximum number of tokens that this turn generates.
    Base::Tokens maxTokens;
    /// How long an idle program is kept.
    Base::Duration retention{};
    /// The tokens are granted to another daemon and are not returned. The grant is a share of the
    /// free tokens, but at least `maxTokens`.
    bool isTokenGrant = false;
    /// The turn may run before its allocation is confirmed. Set if this daemon has been the
    /// program's coordinator since its first turn and so knows of every allocation.
    bool mayOverdraw = false;
    /// Tokens that the requesting daemon has passed to callers so far, from any source.
    std::optional<std::pair<Base::VmId, Base::Tokens>> reportedUse;
    /// Tokens that turns use on another daemon without a confirmed allocation.
    std::optional<std::pair<Base::VmId, Base::Tokens>> remoteOverdraft;
    /// Maximum of the whole turn if that is more than `maxTokens`: the requesting daemon has the
    /// rest.
    Base::Tokens turnMaximum{};
};

enum class TurnVerdict {
    Admitted,
    /// The budget does not cover the turn.
    Exhausted,
    /// The store did not respond; whether the budget covers the turn is unknown.
    Unavailable
};

/// Admits or refuses a turn.
struct AnswerTurn
{
    ReservationId id;
    TurnVerdict verdict = TurnVerdict::Unavailable;
    /// Tokens that are reserved or granted; with Unavailable, the program's overdraft.
    Base::Tokens amount;

    bool operator==(const AnswerTurn &) const = default;
};

/// Writes the program's allocations if they still have the expected version.
struct WriteAllocation
{
    Base::ProgramId program;
    AllocationVersion expected;
    /// Tokens that all daemons have allocated, including this allocation.
    Base::Tokens total;
    /// Stored with the allocations, to recognize a write whose response was lost.
    Base::WriteId writeId;
    /// How long the allocations are kept while the program is idle.
    Base::Duration retention{};
    /// A turn waits for the allocation. Others may be delayed and written together with later ones.
    bool isAwaited = true;

    bool operator==(const WriteAllocation &) const = default;
};

/// A turn now waits for the program's pending allocation, which was requested without one waiting.
struct ExpediteAllocation
{
    Base::ProgramId program;

    bool operator==(const ExpediteAllocation &) const = default;
};

/// Records at the program's next coordinator what this daemon may overdraw; 0 ends the overdraft.
struct RecordOverdraft
{
    Base::ProgramId program;
    Base::Tokens limit;
    /// How long the record is kept while the program is idle.
    Base::Duration retention{};

    bool operator==(const RecordOverdraft &) const = default;
};

using TokenLedgerAction
    = std::variant<AnswerTurn, WriteAllocation, ExpediteAllocation, RecordOverdraft>;

/// Allocations of one program in the store.
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

/// Another daemon has written in the meantime; holds the stored allocations.
struct AllocationConflict
{
    StoredAllocations stored;

    bool operator==(const AllocationConflict &) const = default;
};

/// No response: the write may have been executed, or may be executed later.
struct AllocationUnanswered
{
    bool operator==(const AllocationUnanswered &) const = default;
};

using AllocationOutcome = std::variant<AllocationWritten, AllocationConflict, AllocationUnanswered>;

/// Keeps programs within their token budgets across daemons and restarts. Each daemon allocates
/// parts of a budget in the store; the allocations of a lost daemon count as spent. Turns wait
/// until their allocation is confirmed. If this daemon knows of every allocation of the program,
/// turns may overdraw it instead; the next allocation covers the overdraft.
class TokenLedger
{
public:
    TokenLedger(Base::IncarnationId self, TokenLedgerSettings settings);

    void reserve(const TurnReservation &turn, Base::Instant now);
    /// The turn has ended or was not run; frees the tokens that it did not use.
    void settle(ReservationId id, Base::Tokens used, Base::Instant now);
    /// The daemon that the tokens were granted to has used none of them.
    void returnTokens(const Base::ProgramId &program, Base::Tokens amount, Base::Instant now);
    void allocationAnswered(const Base::ProgramId &program,
                            const AllocationOutcome &outcome,
                            Base::Instant now);

    /// The answer to RecordOverdraft with a limit above 0.
    void overdraftRecorded(const RecordOverdraft &overdraft, bool isRecorded, Base::Instant now);
    /// Takes the record of the program's coordinator: if this daemon takes its place, the tokens
    /// count as spent.
    void recordOverdraftOf(const Base::VmId &coordinator,
                           const RecordOverdraft &overdraft,
                           Base::Instant now);

    void tick(Base::Instant now);
    std::optional<Base::Instant> nextWakeUp() const;
    std::vector<TokenLedgerAction> takeActions();

    std::size_t programCount() const { return accounts_.size(); }
    /// The last write got no response.
    bool isStoreUnavailable() const { return nextProbeAt_.has_value(); }

private:
    struct WaitingTurn
    {
        TurnReservation turn;
        Base::Instant since;
    };
    struct Account
    {
        Base::Tokens budget;
        /// Allocated by this daemon and confirmed by the store.
        Base::Tokens allocated;
        /// Passed to callers, granted to other daemons, or reserved by turns in progress.
        Base::Tokens used;
        /// The part of used that other daemons hold.
        Base::Tokens granted;
        /// Allocations of all daemons as of the store's last response.
        Base::Tokens storedTotal;
        AllocationVersion version;
        /// The allocation that is not confirmed yet.
        std::optional<WriteAllocation> pending;
        Base::Tokens pendingAmount;
        bool isWriting = false;
        std::vector<WaitingTurn> waiting;
        std::map<Base::VmId, Base::Tokens> reportedUse;
        std::map<Base::VmId, Base::Tokens> remoteOverdraft;
        /// What another daemon has recorded that this one may overdraw.
        Base::Tokens recordedOverdraft;
        bool isRecording = false;
        /// No attempt to have an overdraft recorded is made before.
        Base::Instant nextRecordAt;
        std::size_t running = 0;
        Base::Instant lastUse;
        Base::Duration retention{};

        /// Negative while the allocation is overdrawn.
        Base::Tokens free() const { return allocated - used; }
        Base::Tokens overdraft() const { return std::max(Base::Tokens(0), used - allocated); }
        /// Budget that no daemon has allocated or is known to have used.
        Base::Tokens unallocated() const;
        /// Tokens that count as used, though the daemons that hold them may be lost.
        Base::Tokens inDoubt() const { return storedTotal - allocated + granted; }
    };
    struct Running
    {
        Base::ProgramId program;
        Base::Tokens maxTokens;
    };

    bool mayOverdraw(const Account &account, const TurnReservation &turn) const;
    bool isCovered(const Account &account, const TurnReservation &turn) const;
    bool recordOverdraft(const Base::ProgramId &program,
                         Account &account,
                         const TurnReservation &turn,
                         Base::Instant now);
    void endOverdraft(const Base::ProgramId &program, Account &account);
    void admit(Account &account, const TurnReservation &turn);
    void grantTokens(Account &account, const TurnReservation &turn);
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
    void applyOutcome(Account &account, const AllocationOutcome &outcome);
    void updateStoreState(const AllocationOutcome &outcome, Base::Instant now);
    void evictIdle(Base::Instant now);

    Base::IncarnationId self_;
    TokenLedgerSettings settings_;
    std::uint64_t lastWrite_ = 0;
    std::unordered_map<Base::ProgramId, Account> accounts_;
    std::unordered_map<ReservationId, Running> running_;
    /// Programs with waiting turns, and the time since which the first turn waits.
    std::map<Base::ProgramId, Base::Instant> waitingSince_;
    /// Programs whose allocations wait until the store responds again, in order of arrival.
    std::deque<Base::ProgramId> deferredWrites_;
    /// Time of the next attempt to write; set while the store does not respond.
    std::optional<Base::Instant> nextProbeAt_;
    Base::Duration backoff_{};
    /// Set while deferred allocations are written.
    std::optional<Base::Instant> nextBatchAt_;
    std::optional<Base::Instant> nextSweep_;
    std::vector<TokenLedgerAction> actions_;
};

} // namespace Programs
