#include "policy.h"

namespace Experiment {

namespace {

Policy policy(std::string name, AdmissionMode admission, bool isDistributed)
{
    Policy one;
    one.name = std::move(name);
    one.admission = admission;
    one.isDistributed = isDistributed;
    one.dispatch.isBorrowingSlots = isDistributed;
    // The experiment asks how calls are ordered, not how many a full queue turns away.
    one.dispatch.maximumWaitingPerService = 1'000'000;
    one.dispatch.maximumWaitingPerTeam = 1'000'000;
    return one;
}

Policy naive(std::string name, Dispatch::OrderPolicy order, Dispatch::PlacementPolicy placement)
{
    Policy one = policy(std::move(name), AdmissionMode::Grants, false);
    one.dispatch.order = order;
    one.dispatch.placement = placement;
    return one;
}

} // namespace

std::vector<Policy> allPolicies()
{
    using Dispatch::OrderPolicy;
    using Dispatch::PlacementPolicy;
    return {policy("marjoram", AdmissionMode::Grants, true),
            policy("one-dispatcher", AdmissionMode::Grants, false),
            naive("fifo", OrderPolicy::FirstComeFirstServed, PlacementPolicy::LeastLoaded),
            naive("round-robin", OrderPolicy::FirstComeFirstServed, PlacementPolicy::RoundRobin),
            naive("no-affinity", OrderPolicy::FairProgramAware, PlacementPolicy::LeastLoaded),
            policy("static-split", AdmissionMode::StaticSplit, true),
            policy("single-bucket", AdmissionMode::SingleBucket, true)};
}

} // namespace Experiment
