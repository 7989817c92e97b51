#pragma once

#include "passthrough.h"
#include "peerlink.h"

#include <programs/allocationgroups.h>
#include <programs/tokengranttable.h>

#include <asio/steady_timer.hpp>

#include <set>

namespace Proxy {

/// Writes groups of claims to the store and answers each exactly once.
using GroupWriter = std::function<void(const Programs::WriteGroup &,
                                       std::function<void(const Programs::GroupOutcome &)>)>;

/// Admits turns of programs within their token budgets: by the ledger of this daemon, or by tokens
/// that the program's home has handed over. Only homes claim from the store; a home that does not
/// answer is followed by the next in rank.
class TurnAdmission
{
public:
    TurnAdmission(asio::io_context &context,
                  Base::VmId self,
                  Base::IncarnationId incarnation,
                  PeerLink &peers,
                  GroupWriter writer,
                  std::function<Base::Instant()> now);

    /// This daemon has been there since the fleet first started, so it knows of every program whose
    /// home it is; their turns may run while the store does not answer.
    /// The check says whether this daemon is in touch with most of the fleet: others claim for the
    /// programs of a home that is not.
    void setKnowsAllPrograms(std::function<bool()> hasMajority)
    {
        hasMajority_ = std::move(hasMajority);
    }

    /// Names the reservation that settle() ends.
    Programs::ReservationId reserve(const RequestTraits &turn,
                                    Base::Duration retention,
                                    std::function<void(BudgetVerdict)> answer);
    /// The turn was admitted and has ended; tokens are those handed to the caller.
    void settle(Programs::ReservationId id, Base::Tokens used);

    /// Another daemon asks for tokens of a program.
    void onTokenRequest(const Base::VmId &sender, const TokenRequest &request);
    /// Another daemon can't reach the store.
    void onClaimRelay(const Base::VmId &sender, const ClaimRelay &relay);

private:
    using Answer = std::function<void(Programs::TurnVerdict, Base::Tokens)>;

    using AllocationCallback = std::function<void(const Programs::AllocationOutcome &)>;

    std::string dutyOf(const Base::ProgramId &program) const;
    Base::VmId coordinatorOf(const Base::ProgramId &program) const;
    void writeInGroup(const Programs::WriteAllocation &allocation, AllocationCallback answer);
    void runGroupActions();
    bool knowsAllOf(const Base::ProgramId &program) const;
    Programs::ReservationId addAnswer(Answer answer);
    void runActions();
    void runLedgerActions();
    void runTokenGrantActions();
    void reserveLocally(const Programs::ReserveLocally &local);
    void askCoordinator(const Programs::AskCoordinator &ask, int attempt);
    void giveAnswer(const Programs::AnswerTurn &answer);
    void writeAllocation(const Programs::WriteAllocation &allocation);
    void relayAllocation(const Programs::WriteAllocation &allocation, int attempt);
    void allocationAnswered(const Base::ProgramId &program,
                            const Programs::AllocationOutcome &outcome);
    void armTimer();

    Base::VmId self_;
    PeerLink &peers_;
    Programs::TokenLedger ledger_;
    Programs::TokenGrantTable tokenGrants_;
    Programs::AllocationGroups groups_;
    GroupWriter writer_;
    /// The homes that gave the last answers to reservations that may go on here.
    std::map<Programs::ReservationId, Base::VmId> answeredBy_;
    /// Claims that were given to the groups, by write id.
    std::multimap<Base::WriteId, AllocationCallback> allocationCallbacks_;
    std::function<Base::Instant()> now_;
    asio::steady_timer timer_;
    std::optional<Base::Instant> timerDue_;
    std::optional<Base::Instant> nextSweep_;
    Programs::ReservationId lastId_;
    /// Empty unless this daemon knows of every program whose home it is.
    std::function<bool()> hasMajority_;
    /// Set while the store does not answer this daemon: claims go to other daemons first.
    std::optional<Base::Instant> relayUntil_;
    std::unordered_map<Programs::ReservationId, Answer> answers_;
    /// Requests of other daemons under way; their repeats are not served again.
    std::set<std::pair<Base::VmId, QuestionNumber>> requests_;
};

} // namespace Proxy
