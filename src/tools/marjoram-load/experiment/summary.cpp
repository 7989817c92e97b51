#include "summary.h"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <numeric>
#include <sstream>

namespace Experiment {

namespace {

Spread spreadOf(const std::vector<double> &values)
{
    if (values.empty()) {
        return {};
    }
    const auto count = static_cast<double>(values.size());
    const double mean = std::accumulate(values.begin(), values.end(), 0.0) / count;
    double squares = 0;
    for (const double value : values) {
        squares += (value - mean) * (value - mean);
    }
    return {mean, values.size() > 1 ? std::sqrt(squares / (count - 1)) : 0};
}

template<typename Value>
Spread over(const std::vector<RunResult> &runs, Value value)
{
    std::vector<double> values;
    values.reserve(runs.size());
    for (const RunResult &run : runs) {
        values.push_back(value(run));
    }
    return spreadOf(values);
}

double meanOf(const std::vector<double> &values)
{
    return spreadOf(values).mean;
}

std::string cell(const Spread &spread, int digits, double factor = 1)
{
    std::ostringstream text;
    text << std::fixed << std::setprecision(digits) << spread.mean * factor << " ± "
         << spread.deviation * factor;
    return text.str();
}

} // namespace

double percentile(std::vector<double> values, double share)
{
    if (values.empty()) {
        return 0;
    }
    const auto last = static_cast<double>(values.size() - 1);
    const auto index = static_cast<std::size_t>(std::lround(share * last));
    std::nth_element(
        values.begin(), values.begin() + static_cast<std::ptrdiff_t>(index), values.end());
    return values[index];
}

PolicySummary summarize(const std::vector<RunResult> &runs)
{
    const auto latency = [&runs](double share) {
        return over(
            runs, [share](const RunResult &run) { return percentile(run.programSeconds, share); });
    };
    PolicySummary sum;
    sum.policy = runs.front().policy;
    sum.meanLatency = over(runs, [](const RunResult &run) { return meanOf(run.programSeconds); });
    sum.p50 = latency(0.5);
    sum.p95 = latency(0.95);
    sum.p99 = latency(0.99);
    sum.toolP95
        = over(runs, [](const RunResult &run) { return percentile(run.toolSeconds, 0.95); });
    sum.wastedShare = over(runs, [](const RunResult &run) {
        return run.recomputedTokens / std::max(1.0, run.prefixTokens);
    });
    sum.wastedMillions
        = over(runs, [](const RunResult &run) { return run.recomputedTokens / 1e6; });
    sum.worstShare = over(runs, [](const RunResult &run) { return run.worstShare; });
    sum.refusals = over(runs, [](const RunResult &run) { return run.refusals; });
    sum.withinRateRefusals
        = over(runs, [](const RunResult &run) { return run.withinRateRefusals; });
    sum.utilisation = over(runs, [](const RunResult &run) { return run.utilisation; });
    sum.messagesPerSecond = over(runs, [](const RunResult &run) { return run.messagesPerSecond; });
    sum.worstExcess = -1e18;
    for (const RunResult &run : runs) {
        sum.worstExcess = std::max(sum.worstExcess, run.worstExcess);
        sum.abandoned += run.abandonedPrograms;
        sum.unfinished += run.unfinishedPrograms;
    }
    return sum;
}

void printTable(const std::vector<PolicySummary> &summaries, std::ostream &out)
{
    out << "| policy | mean s | p50 s | p95 s | p99 s | plain p95 s | wasted % | wasted Mtok "
           "| worst share % | refused % | of them within rate % | busy % | messages/s | above rate "
           "| abandoned | unfinished |\n"
        << "|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n";
    for (const PolicySummary &sum : summaries) {
        out << "| " << sum.policy << " | " << cell(sum.meanLatency, 1) << " | " << cell(sum.p50, 1)
            << " | " << cell(sum.p95, 1) << " | " << cell(sum.p99, 1) << " | "
            << cell(sum.toolP95, 2) << " | " << cell(sum.wastedShare, 1, 100) << " | "
            << cell(sum.wastedMillions, 2) << " | " << cell(sum.worstShare, 1, 100) << " | "
            << cell(sum.refusals, 3, 100) << " | " << cell(sum.withinRateRefusals, 3, 100) << " | "
            << cell(sum.utilisation, 1, 100) << " | " << cell(sum.messagesPerSecond, 0) << " | "
            << (sum.worstExcess > 1e-3 ? "yes" : "no") << " | " << sum.abandoned << " | "
            << sum.unfinished << " |\n";
    }
}

void printCsv(const std::vector<RunResult> &runs, std::ostream &out)
{
    out << "policy,seed,programs,mean_s,p50_s,p95_s,p99_s,plain_p95_s,prefix_tokens,"
           "recomputed_tokens,worst_share,refusals,within_rate_refusals,utilisation,messages_per_s,"
           "window_excess,abandoned,unfinished\n";
    for (const RunResult &run : runs) {
        out << run.policy << ',' << run.seed << ',' << run.programSeconds.size() << ','
            << meanOf(run.programSeconds) << ',' << percentile(run.programSeconds, 0.5) << ','
            << percentile(run.programSeconds, 0.95) << ',' << percentile(run.programSeconds, 0.99)
            << ',' << percentile(run.toolSeconds, 0.95) << ',' << run.prefixTokens << ','
            << run.recomputedTokens << ',' << run.worstShare << ',' << run.refusals << ','
            << run.withinRateRefusals << ',' << run.utilisation << ',' << run.messagesPerSecond
            << ',' << run.worstExcess << ',' << run.abandonedPrograms << ','
            << run.unfinishedPrograms << '\n';
    }
}

} // namespace Experiment
