#include <proxy/daemonmemory.h>

#include <criterion/criterion.h>

using Base::Bytes;
using Proxy::DaemonMemory;

/// Guards against parts that together exceed the memory of a small VM.
Test(daemonmemory, partsFitIntoTheProcess)
{
    constexpr std::int64_t atRest = 11'000'000;
    for (const std::int64_t limit : {88'000'000, 96'000'000, 110'000'000, 512'000'000}) {
        DaemonMemory memory(Bytes{limit});
        const Bytes parts = memory.requests().capacity() + memory.responses().capacity()
                            + memory.backlogs().capacity() + memory.calls().capacity();
        cr_assert_leq(parts + Bytes(atRest), Bytes(limit));
    }
}

/// Guards against a limit on bodies that no request can reach on the smallest VMs.
Test(daemonmemory, aSmallDaemonServesABodyOfTheLargestSize)
{
    DaemonMemory memory(Bytes(88'000'000));
    Base::MemoryLease body(memory.requests().newHolder());
    cr_assert(body.resize(4 * 1024 * 1024));
}

Test(daemonmemory, isUnlimitedWithoutAStatedMemory)
{
    DaemonMemory memory;
    cr_assert_eq(memory.responses().capacity(), Base::MemoryBudget::unlimited);
}

Test(daemonmemory, metricsTellWhatEachPartHolds)
{
    DaemonMemory memory(Bytes(96'000'000));
    Base::MemoryLease lease(memory.backlogs().newHolder());
    cr_assert(lease.resize(1000));
    cr_assert(!lease.resize(90'000'000));
    Telemetry::Metrics metrics;
    memory.updateGauges(metrics);
    const std::string text = metrics.prometheusText();
    cr_assert(text.find("marjoram_memory_bytes{purpose=\"backlogs\"} 1000\n") != std::string::npos);
    cr_assert(text.find("marjoram_memory_denials{purpose=\"backlogs\"} 1\n") != std::string::npos);
    cr_assert(text.find("marjoram_memory_bytes{purpose=\"requests\"} 0\n") != std::string::npos);
}
