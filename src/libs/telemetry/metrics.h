#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <tuple>
#include <vector>

namespace Telemetry {

struct MetricLabel
{
    std::string name;
    std::string value;

    bool operator<(const MetricLabel &other) const
    {
        return std::tie(name, value) < std::tie(other.name, other.value);
    }
};

using MetricLabels = std::vector<MetricLabel>;

/// Monotonically increasing number.
class Counter
{
public:
    void add(std::uint64_t amount = 1) { value_.fetch_add(amount, std::memory_order_relaxed); }
    std::uint64_t value() const { return value_.load(std::memory_order_relaxed); }

private:
    std::atomic<std::uint64_t> value_{0};
};

/// Number that can increase and decrease.
class Gauge
{
public:
    void set(double value) { value_.store(value, std::memory_order_relaxed); }
    void add(double amount) { value_.fetch_add(amount, std::memory_order_relaxed); }
    double value() const { return value_.load(std::memory_order_relaxed); }

private:
    std::atomic<double> value_{0};
};

struct DistributionSummary
{
    std::uint64_t count = 0;
    double sum = 0;
    double mean = 0;
    double p50 = 0;
    double p95 = 0;
    double p99 = 0;
};

/// Mean and estimated quantiles of a series, calculated by Boost.Accumulators (P-square).
class Distribution
{
public:
    Distribution();
    ~Distribution();

    void add(double value);
    DistributionSummary summary() const;

private:
    struct Series;
    /// Locked after the mutex of the registry.
    mutable std::mutex mutex_;
    std::unique_ptr<Series> series_;
};

/// Registry of the daemon's metrics. Thread-safe; references to metrics stay valid for the lifetime
/// of the registry. Lock order: registry, then distribution.
class Metrics
{
public:
    Counter &counter(const std::string &name, const std::string &help, MetricLabels labels = {});
    Gauge &gauge(const std::string &name, const std::string &help, MetricLabels labels = {});
    Distribution &distribution(const std::string &name,
                               const std::string &help,
                               MetricLabels labels = {});

    /// Prometheus text format, sorted by name.
    std::string prometheusText() const;

private:
    template<typename Metric>
    struct Family
    {
        std::string help;
        std::map<MetricLabels, std::unique_ptr<Metric>> members;
    };
    template<typename Metric>
    using Families = std::map<std::string, Family<Metric>>;

    template<typename Metric>
    Metric &find(Families<Metric> &families,
                 const std::string &name,
                 const std::string &help,
                 MetricLabels labels);

    mutable std::mutex mutex_;
    Families<Counter> counters_;
    Families<Gauge> gauges_;
    Families<Distribution> distributions_;
};

} // namespace Telemetry
