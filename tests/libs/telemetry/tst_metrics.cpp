#include <telemetry/metrics.h>

#include <base/random.h>

#include <criterion/criterion.h>

#include <thread>

using namespace Telemetry;

Test(metrics, quantilesOfAUniformSeries)
{
    Distribution distribution;
    Base::Random random(5);
    for (int i = 0; i < 20'000; ++i) {
        distribution.add(random.unit() * 100);
    }
    const DistributionSummary summary = distribution.summary();
    cr_assert_eq(summary.count, 20'000U);
    cr_assert_float_eq(summary.mean, 50, 1);
    cr_assert_float_eq(summary.p50, 50, 2);
    cr_assert_float_eq(summary.p95, 95, 1);
    cr_assert_float_eq(summary.p99, 99, 0.5);
}

Test(metrics, quantilesOfAShortSeries)
{
    Distribution distribution;
    cr_assert_eq(distribution.summary().p99, 0);
    for (const double value : {4.0, 1.0, 3.0, 2.0}) {
        distribution.add(value);
    }
    cr_assert_eq(distribution.summary().p50, 3);
    cr_assert_eq(distribution.summary().p99, 4);
}

Test(metrics, prometheusText)
{
    Metrics metrics;
    metrics.counter("calls_total", "Calls.", {{"team", "a\"b"}}).add(3);
    metrics.counter("calls_total", "Calls.", {{"team", "c"}}).add();
    metrics.gauge("active", "Active calls.").set(1.5);
    metrics.distribution("seconds", "Time.").add(2);
    cr_assert_eq(metrics.prometheusText(),
                 "# HELP active Active calls.\n# TYPE active gauge\nactive 1.5\n"
                 "# HELP calls_total Calls.\n# TYPE calls_total counter\n"
                 "calls_total{team=\"a\\\"b\"} 3\ncalls_total{team=\"c\"} 1\n"
                 "# HELP seconds Time.\n# TYPE seconds summary\n"
                 "seconds{quantile=\"0.5\"} 2\nseconds{quantile=\"0.95\"} 2\n"
                 "seconds{quantile=\"0.99\"} 2\nseconds_sum 2\nseconds_count 1\n");
}

Test(metrics, threadsShareTheRegistry)
{
    constexpr int threadCount = 4;
    Metrics metrics;
    std::vector<std::thread> threads;
    threads.reserve(threadCount);
    for (int i = 0; i < threadCount; ++i) {
        threads.emplace_back([&metrics] {
            for (int count = 0; count < 1000; ++count) {
                metrics.counter("calls_total", "Calls.").add();
                metrics.distribution("seconds", "Time.").add(1);
            }
        });
    }
    metrics.prometheusText();
    for (std::thread &thread : threads) {
        thread.join();
    }
    cr_assert_eq(metrics.counter("calls_total", "Calls.").value(), 4000U);
    cr_assert_eq(metrics.distribution("seconds", "Time.").summary().count, 4000U);
}
