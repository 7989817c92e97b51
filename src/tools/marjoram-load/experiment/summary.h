#pragma once

#include "simulation.h"

#include <ostream>

namespace Experiment {

/// Mean and standard deviation over seeds.
struct Spread
{
    double mean = 0;
    double deviation = 0;
};

/// The runs of one policy over all seeds.
struct PolicySummary
{
    std::string policy;
    Spread meanLatency;
    Spread p50;
    Spread p95;
    Spread p99;
    Spread toolP95;
    /// Recomputed prefix tokens, as a share of all prefix tokens and in millions.
    Spread wastedShare;
    Spread wastedMillions;
    Spread worstShare;
    Spread refusals;
    Spread withinRateRefusals;
    Spread utilisation;
    Spread messagesPerSecond;
    double worstExcess = 0;
    std::size_t abandoned = 0;
    std::size_t unfinished = 0;
};

/// The value below which the given share of the values lies; 0 if there are none.
double percentile(std::vector<double> values, double share);

PolicySummary summarize(const std::vector<RunResult> &runs);

void printTable(const std::vector<PolicySummary> &summaries, std::ostream &out);
void printCsv(const std::vector<RunResult> &runs, std::ostream &out);
/// Bars of program latency (p50, p95, p99) and wasted cache for each policy.
void printSvg(const std::string &title,
              const std::vector<PolicySummary> &summaries,
              std::ostream &out);

} // namespace Experiment
