#pragma once

#include "messages.h"
#include "teamcounters.h"

#include <map>
#include <optional>
#include <unordered_map>

namespace Dispatch {

struct SlotLenderSettings
{
    /// Time that a new owner waits for borrowers to report the slots that they hold.
    Base::Duration settleTime = std::chrono::milliseconds(500);
    /// Minimum age of a loan to be freed because its borrower's request does not list the slot;
    /// covers a grant and a request that crossed in flight.
    Base::Duration reconcileGrace = std::chrono::seconds(1);
    /// The slots of a borrower are freed if it sent no request for this time.
    Base::Duration borrowerTimeout = std::chrono::seconds(10);
};

/// Send to the borrower.
struct SendSlotGrant
{
    Base::IncarnationId borrower;
    SlotGrant grant;
};

/// Lends the slots of one engine to dispatchers, at the owner of the server's partition. Each free
/// slot goes to the team with the least weighted service, and within it to the borrower whose first
/// call has the least order key.
class SlotLender
{
public:
    SlotLender(Base::ServerId server, std::uint32_t slots, SlotLenderSettings settings);

    void acquired(Base::Epoch epoch, Base::Instant now);
    void configured(std::uint32_t slots, bool isLeaving, Base::Instant now);
    void requested(const SlotRequest &request, Base::Instant now);
    void returned(const Base::IncarnationId &borrower, const SlotReturn &slot, Base::Instant now);
    /// The borrower's VM no longer exists: frees its slots and drops its demand.
    void borrowerGone(const Base::IncarnationId &borrower, Base::Instant now);

    void tick(Base::Instant now);
    std::optional<Base::Instant> nextWakeUp() const;
    std::vector<SendSlotGrant> takeActions();

    std::uint32_t lent() const { return static_cast<std::uint32_t>(loans_.size()); }
    std::uint32_t backlog() const;

private:
    using LoanKey = std::pair<Base::Epoch, SlotId>;
    struct Loan
    {
        Base::IncarnationId borrower;
        Base::TeamId team;
        Base::Tokens charged;
        Base::Instant since;
    };
    struct Borrower
    {
        SlotRequestNumber number;
        std::vector<TeamDemand> demands;
        Base::Instant lastRequestAt;
    };
    struct Candidate
    {
        Base::IncarnationId borrower;
        TeamDemand *demand = nullptr;
        TeamCounter *counter = nullptr;
    };

    void reconcile(const SlotRequest &request, Base::Instant now);
    void lendFree(Base::Instant now);
    std::optional<Candidate> nextCandidate();
    void lend(const Candidate &candidate, Base::Instant now);
    void removeLoan(std::map<LoanKey, Loan>::iterator loan);
    void removeTimedOut(Base::Instant now);

    Base::ServerId server_;
    std::uint32_t slots_;
    bool isLeaving_ = false;
    SlotLenderSettings settings_;
    Base::Epoch epoch_;
    Base::Instant lendFrom_;
    bool isSettling_ = false;
    SlotId lastSlot_;
    std::map<LoanKey, Loan> loans_;
    std::map<Base::IncarnationId, Borrower> borrowers_;
    /// Each borrower with demand of a team and each loan counts as one active call of the team.
    TeamCounters counters_;
    std::vector<SendSlotGrant> actions_;
};

} // namespace Dispatch
