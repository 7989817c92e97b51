#include "metrics.h"

// Boost's header of extended_p_square_quantile uses it without including it.
#include <sstream>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <algorithm>
#include <array>
#include <charconv>

namespace Telemetry {

namespace {

namespace Accumulators = boost::accumulators;
namespace Tag = boost::accumulators::tag;

using Accumulator = Accumulators::accumulator_set<
    double,
    Accumulators::stats<Tag::count, Tag::sum, Tag::mean, Tag::extended_p_square_quantile>>;

/// Markers of the P-square algorithm; they include neighbors of the reported quantiles.
constexpr std::array quantileMarkers{0.25, 0.5, 0.75, 0.9, 0.95, 0.97, 0.99, 0.995};

/// P-square initializes its markers from the first values and is inaccurate for short series.
constexpr std::size_t exactSamples = 64;

std::string number(double value)
{
    std::array<char, 32> text{};
    const auto end = std::to_chars(text.data(), text.data() + text.size(), value);
    return {text.data(), end.ptr};
}

std::string escaped(const std::string &text)
{
    std::string result;
    for (const char letter : text) {
        if (letter == '\n') {
            result += "\\n";
            continue;
        }
        if (letter == '"' || letter == '\\') {
            result += '\\';
        }
        result += letter;
    }
    return result;
}

std::string labelText(const MetricLabels &labels)
{
    std::string text;
    for (const MetricLabel &label : labels) {
        text += text.empty() ? "{" : ",";
        text += label.name + "=\"" + escaped(label.value) + "\"";
    }
    return text.empty() ? text : text + "}";
}

std::string line(const std::string &name, const MetricLabels &labels, double value)
{
    return name + labelText(labels) + " " + number(value) + "\n";
}

std::string familyHead(const std::string &name, const std::string &help, const std::string &type)
{
    return "# HELP " + name + " " + escaped(help) + "\n# TYPE " + name + " " + type + "\n";
}

std::string quantileLine(const std::string &name,
                         MetricLabels labels,
                         const char *quantile,
                         double value)
{
    labels.push_back({"quantile", quantile});
    return line(name, labels, value);
}

std::string summaryLines(const std::string &name,
                         const MetricLabels &labels,
                         const DistributionSummary &summary)
{
    return quantileLine(name, labels, "0.5", summary.p50)
           + quantileLine(name, labels, "0.95", summary.p95)
           + quantileLine(name, labels, "0.99", summary.p99)
           + line(name + "_sum", labels, summary.sum)
           + line(name + "_count", labels, static_cast<double>(summary.count));
}

} // namespace

struct Distribution::Series
{
    Accumulator accumulator{Accumulators::extended_p_square_probabilities = quantileMarkers};
    std::vector<double> first;

    double quantile(double probability) const
    {
        if (first.empty()) {
            return 0;
        }
        if (Accumulators::count(accumulator) > exactSamples) {
            return Accumulators::quantile(accumulator,
                                          Accumulators::quantile_probability = probability);
        }
        std::vector<double> sorted = first;
        std::sort(sorted.begin(), sorted.end());
        const auto rank = probability * static_cast<double>(sorted.size());
        return sorted[std::min(static_cast<std::size_t>(rank), sorted.size() - 1)];
    }
};

Distribution::Distribution()
    : series_(std::make_unique<Series>())
{}

Distribution::~Distribution() = default;

void Distribution::add(double value)
{
    const std::lock_guard lock(mutex_);
    series_->accumulator(value);
    if (series_->first.size() < exactSamples) {
        series_->first.push_back(value);
    }
}

DistributionSummary Distribution::summary() const
{
    const std::lock_guard lock(mutex_);
    DistributionSummary summary;
    summary.count = Accumulators::count(series_->accumulator);
    if (summary.count == 0) {
        return summary;
    }
    summary.sum = Accumulators::sum(series_->accumulator);
    summary.mean = Accumulators::mean(series_->accumulator);
    summary.p50 = series_->quantile(0.5);
    summary.p95 = series_->quantile(0.95);
    summary.p99 = series_->quantile(0.99);
    return summary;
}

template<typename Metric>
Metric &Metrics::find(Families<Metric> &families,
                      const std::string &name,
                      const std::string &help,
                      MetricLabels labels)
{
    const std::lock_guard lock(mutex_);
    Family<Metric> &family = families[name];
    if (family.help.empty()) {
        family.help = help;
    }
    std::unique_ptr<Metric> &member = family.members[std::move(labels)];
    if (!member) {
        member = std::make_unique<Metric>();
    }
    return *member;
}

Counter &Metrics::counter(const std::string &name, const std::string &help, MetricLabels labels)
{
    return find(counters_, name, help, std::move(labels));
}

Gauge &Metrics::gauge(const std::string &name, const std::string &help, MetricLabels labels)
{
    return find(gauges_, name, help, std::move(labels));
}

Distribution &Metrics::distribution(const std::string &name,
                                    const std::string &help,
                                    MetricLabels labels)
{
    return find(distributions_, name, help, std::move(labels));
}

std::string Metrics::prometheusText() const
{
    const std::lock_guard lock(mutex_);
    std::map<std::string, std::string> texts;
    for (const auto &[name, family] : counters_) {
        std::string &text = texts[name] = familyHead(name, family.help, "counter");
        for (const auto &[labels, counter] : family.members) {
            text += line(name, labels, static_cast<double>(counter->value()));
        }
    }
    for (const auto &[name, family] : gauges_) {
        std::string &text = texts[name] = familyHead(name, family.help, "gauge");
        for (const auto &[labels, gauge] : family.members) {
            text += line(name, labels, gauge->value());
        }
    }
    for (const auto &[name, family] : distributions_) {
        std::string &text = texts[name] = familyHead(name, family.help, "summary");
        for (const auto &[labels, distribution] : family.members) {
            text += summaryLines(name, labels, distribution->summary());
        }
    }
    std::string all;
    for (const auto &[name, text] : texts) {
        all += text;
    }
    return all;
}

} // namespace Telemetry
