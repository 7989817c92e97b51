#pragma once

#include "passthrough.h"
#include "peerlink.h"

#include <programs/allocationgroups.h>
#include <programs/tokengranttable.h>

#include <asio/steady_timer.hpp>

#include <set>

namespace Proxy {

/// Writes a group of allocations to the store and calls back exactly once.
using GroupWriter = std::function<void(const Programs::WriteGroup &,
                                       std::function<void(const Programs::GroupOutcome &)>)>;

/// Admits turns of programs within their token budgets, either from the ledger of this daemon or
/// from token grants of the program's coordinator. Only coordinators allocate in the store; if one
/// does not respond, the next daemon by rank takes its place.
class TurnAdmission
{
public:
    TurnAdmission(asio::io_context &context,
                  Base::VmId self,
                  Base::IncarnationId incarnation,
                  PeerLink &peers,
                  GroupWriter writer,
                  std::function<Base::Instant()> now);

    /// Lets turns of programs that this daemon coordinates run before their allocation is
    /// confirmed. Only for a daemon that has run since the fleet first started, as it knows every
    /// program that it coordinates. \a hasMajority returns whether the daemon is in contact with
    /// the majority of the fleet: without it, others allocate for the same programs.
    void enableOverdraft(std::function<bool()> hasMajority)
    {
        hasMajority_ = std::move(hasMajority);
    }

    /// Returns the id to pass to settle().
    Programs::ReservationId reserve(const RequestTraits &turn,
                                    Base::Duration retention,
                                    std::function<void(BudgetVerdict)> callback);
    /// Ends an admitted turn; \a used are the tokens sent to the caller.
    void settle(Programs::ReservationId id, Base::Tokens used);

    void onTokenRequest(const Base::VmId &sender, const TokenRequest &request);
    void onTokenReturn(const Base::VmId &sender, const TokenReturn &tokenReturn);
    void onOverdraftNotice(const Base::VmId &sender, const OverdraftNotice &notice);
    void onAllocationRelay(const Base::VmId &sender, const AllocationRelayRequest &request);

private:
    using VerdictCallback = std::function<void(Programs::TurnVerdict, Base::Tokens)>;

    using AllocationCallback = std::function<void(const Programs::AllocationOutcome &)>;

    std::string coordinatorKey(const Base::ProgramId &program) const;
    Base::VmId coordinatorOf(const Base::ProgramId &program) const;
    void writeInGroup(const Programs::WriteAllocation &allocation, AllocationCallback callback);
    void runGroupActions();
    bool mayOverdraw(const Base::ProgramId &program) const;
    Programs::ReservationId addCallback(VerdictCallback callback);
    void runActions();
    void runLedgerActions();
    void runTokenGrantActions();
    void reserveLocally(const Programs::ReserveLocally &local);
    void askCoordinator(const Programs::AskCoordinator &ask, RequestNumber number, int attempt);
    void returnGrant(const Programs::ReturnGrant &unused);
    void deliverVerdict(const Programs::AnswerTurn &answer);
    void writeAllocation(const Programs::WriteAllocation &allocation);
    void relayAllocation(const Programs::WriteAllocation &allocation, int attempt);
    Base::VmId relayOf(Programs::AllocationGroup group, int rank) const;
    void allocationAnswered(const Base::ProgramId &program,
                            const Programs::AllocationOutcome &outcome);
    void recordOverdraft(const Programs::RecordOverdraft &overdraft);
    std::optional<Base::VmId> nextCoordinator(const Base::ProgramId &program) const;
    void armTimer();

    Base::VmId self_;
    PeerLink &peers_;
    Programs::TokenLedger ledger_;
    Programs::TokenGrantTable tokenGrants_;
    Programs::AllocationGroups groups_;
    GroupWriter writer_;
    /// Coordinators whose response to a reservation is being applied.
    std::map<Programs::ReservationId, Base::VmId> respondedBy_;
    /// Allocations passed to the groups and not yet answered.
    std::multimap<Base::WriteId, AllocationCallback> allocationCallbacks_;
    std::function<Base::Instant()> now_;
    asio::steady_timer timer_;
    std::optional<Base::Instant> timerDue_;
    std::optional<Base::Instant> nextSweep_;
    Programs::ReservationId lastId_;
    /// Empty unless overdrafts are enabled.
    std::function<bool()> hasMajority_;
    /// Set while the store does not respond to this daemon: allocations are relayed first.
    std::optional<Base::Instant> relayUntil_;
    /// Rank of the daemon that last wrote for this one.
    std::map<Programs::AllocationGroup, int> lastRelay_;
    std::unordered_map<Programs::ReservationId, VerdictCallback> callbacks_;
    /// Requests of other daemons in progress; retransmissions of them are ignored.
    std::set<std::pair<Base::VmId, RequestNumber>> activeRequests_;

    struct RecentGrant
    {
        TokenResponse response;
        Base::ProgramId program;
        Base::Instant sentAt;
        bool isReturned = false;
    };

    struct ReceivedGrant
    {
        Base::VmId coordinator;
        RequestNumber number;
        Base::Instant receivedAt;
    };

    /// Recent grants of other daemons by the reservation that requested them.
    std::map<Programs::ReservationId, ReceivedGrant> receivedGrants_;

    /// Grants that were sent recently. They are sent again for repeated requests, whose responses
    /// were lost or late.
    std::map<std::pair<Base::VmId, RequestNumber>, RecentGrant> recentGrants_;
};

} // namespace Proxy
