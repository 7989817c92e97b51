#pragma once

#include "eventloop.h"
#include "fluidbucket.h"
#include "policy.h"
#include "scenario.h"

#include <admission/rateborrowertable.h>
#include <admission/ratelendertable.h>

#include <memory>
#include <set>

namespace Experiment {

/// Refusals of one team.
struct RefusalCounts
{
    std::size_t asked = 0;
    std::size_t refused = 0;
    /// Refused although the rate and burst, less all calls admitted so far and all that waited
    /// before, had a permit for the call within the longest wait.
    std::size_t refusedWithinRate = 0;
};

/// The daemons' admission on virtual time.
class AdmissionModel
{
public:
    using Admitted = std::function<void(Base::RequestId)>;
    using Refused = std::function<void(Base::RequestId)>;

    AdmissionModel(EventLoop &loop,
                   const Scenario &scenario,
                   AdmissionMode mode,
                   Admitted admitted,
                   Refused refused);

    void arrive(std::size_t team, std::size_t daemon, Base::RequestId request);
    const std::vector<RefusalCounts> &counts() const { return counts_; }
    std::size_t messages() const { return messages_; }
    /// Largest excess over burst + rate * w in any window, over all teams.
    double worstExcess() const;

private:
    struct Daemon
    {
        Base::IncarnationId id;
        std::unique_ptr<Admission::RateBorrowerTable> borrowers;
        std::unique_ptr<Admission::RateLenderTable> lenders;
        std::optional<Base::Instant> timer;
        bool isLost = false;
    };
    struct PendingCall
    {
        std::size_t team = 0;
        std::size_t daemon = 0;
        Base::Instant arrivedAt;
    };

    void startDaemons();
    void loseDaemon();
    void takeOver(std::size_t team);
    void arriveAtBucket(FluidBucket &bucket, Base::RequestId request);
    void arriveAtBorrower(std::size_t daemon, Base::RequestId request);
    void drain(std::size_t daemon);
    void perform(const Admission::BorrowerAction &action);
    void arm(std::size_t daemon);
    void admit(Base::RequestId request);
    void refuse(Base::RequestId request);
    bool isWithinRate(const PendingCall &call);
    void toOwner(const Base::TeamId &team,
                 std::function<void(Admission::RateLenderTable &)> deliver);

    EventLoop *loop_;
    const Scenario *scenario_;
    AdmissionMode mode_;
    Admitted admitted_;
    Refused refused_;
    Base::Duration oneWay_;
    Base::Duration longestWait_ = Admission::BorrowerSettings{}.maximumWait;
    std::vector<Daemon> daemons_;
    std::vector<std::size_t> owners_;
    std::unordered_map<Base::TeamId, std::size_t> teamIndex_;
    /// Per team: what rate and burst leave after the calls admitted; the one ideal bucket; the
    /// buckets of the static split.
    std::vector<FluidBucket> contracts_;
    std::vector<FluidBucket> single_;
    std::vector<std::vector<FluidBucket>> split_;
    std::unordered_map<Base::RequestId, PendingCall> pending_;
    std::vector<RefusalCounts> counts_;
    std::vector<std::size_t> pendingOfTeam_;
    std::vector<std::vector<Base::Instant>> admissions_;
    std::size_t messages_ = 0;
};

} // namespace Experiment
