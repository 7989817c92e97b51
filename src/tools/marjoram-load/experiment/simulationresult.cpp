#include "simulation.h"

#include <algorithm>

namespace Experiment {

namespace {

/// Largest-minimum shares of a capacity among demands by weight.
std::vector<double> fairShares(const std::vector<double> &demands,
                               const std::vector<double> &weights,
                               double capacity)
{
    std::vector<double> shares(demands.size(), 0);
    std::vector<bool> isFull(demands.size(), false);
    for (std::size_t round = 0; round < demands.size(); round++) {
        double weight = 0;
        for (std::size_t i = 0; i < demands.size(); i++) {
            weight += isFull[i] ? 0 : weights[i];
        }
        if (weight <= 0) {
            break;
        }
        const double unit = capacity / weight;
        bool hasNewFull = false;
        for (std::size_t i = 0; i < demands.size(); i++) {
            if (!isFull[i] && demands[i] <= unit * weights[i]) {
                isFull[i] = true;
                hasNewFull = true;
                shares[i] = demands[i];
                capacity -= demands[i];
            }
        }
        if (!hasNewFull) {
            for (std::size_t i = 0; i < demands.size(); i++) {
                shares[i] = isFull[i] ? shares[i] : unit * weights[i];
            }
            break;
        }
    }
    return shares;
}

} // namespace

void Simulation::measureServed()
{
    double slotSeconds = 0;
    double busy = 0;
    for (const auto &[id, engine] : engines_) {
        if (engine->group().kind == Dispatch::ServiceKind::Model) {
            slotSeconds += engine->group().slots * scenario_->seconds;
            busy += engine->busySeconds();
        }
    }
    result_.utilisation = busy / slotSeconds;
    result_.worstShare = worstShare();
    const auto messages = static_cast<double>(admission_.messages() + slotMessages_);
    result_.messagesPerSecond = messages / scenario_->seconds;
}

double Simulation::worstShare() const
{
    const std::vector<double> demand
        = demandBy(*scenario_, trace_, scenario_->warmUpSeconds, scenario_->seconds);
    double capacity = 0;
    std::vector<double> weights;
    for (std::size_t i = 0; i < served_.size(); i++) {
        capacity += served_[i];
        weights.push_back(scenario_->teams[i].weight);
    }
    const std::vector<double> fair = fairShares(demand, weights, capacity);
    double worst = 1;
    for (std::size_t i = 0; i < served_.size(); i++) {
        if (fair[i] > 0 && scenario_->teams[i].flood <= 1) {
            worst = std::min(worst, served_[i] / fair[i]);
        }
    }
    return worst;
}

RunResult Simulation::result() const
{
    RunResult result = result_;
    double asked = 0;
    double refused = 0;
    double withinRate = 0;
    for (std::size_t team = 0; team < scenario_->teams.size(); team++) {
        if (scenario_->teams[team].flood <= 1) {
            asked += static_cast<double>(admission_.counts()[team].asked);
            refused += static_cast<double>(admission_.counts()[team].refused);
            withinRate += static_cast<double>(admission_.counts()[team].refusedWithinRate);
        }
    }
    result.refusals = asked > 0 ? refused / asked : 0;
    result.withinRateRefusals = asked > 0 ? withinRate / asked : 0;
    result.worstExcess = admission_.worstExcess();
    result.unfinishedPrograms = programs_.size() - finished_;
    return result;
}

} // namespace Experiment
