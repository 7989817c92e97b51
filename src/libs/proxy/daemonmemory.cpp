#include "daemonmemory.h"

#include <telemetry/processmemory.h>

#include <algorithm>
#include <array>
#include <utility>

namespace Proxy {

namespace {

using Base::Bytes;

constexpr std::int64_t megabyte = 1'000'000;

/// Program, tables, cached turns, and the buffers of connections.
constexpr std::int64_t ownBytes = 32 * megabyte;

/// One part for each purpose, half a part for heads, and one for the buffers of the system and what
/// the allocator cannot use.
constexpr std::int64_t halfPartCount = 11;

/// A daemon that is given too little still serves small requests.
constexpr std::int64_t minPartBytes = megabyte;

Bytes partOf(const std::optional<Bytes> &processMemory)
{
    return processMemory ? Bytes(
               std::max(minPartBytes, 2 * (processMemory->value() - ownBytes) / halfPartCount))
                         : Base::MemoryBudget::unlimited;
}

Bytes halfPartOf(const std::optional<Bytes> &processMemory)
{
    return processMemory ? Bytes(partOf(processMemory).value() / 2) : Base::MemoryBudget::unlimited;
}

} // namespace

DaemonMemory::DaemonMemory(std::optional<Bytes> processMemory)
    : requests_(partOf(processMemory))
    , heads_(halfPartOf(processMemory))
    , responses_(partOf(processMemory))
    , backlogs_(partOf(processMemory))
    , calls_(partOf(processMemory))
{}

std::optional<Bytes> DaemonMemory::systemBuffers() const
{
    const Bytes part = requests_.capacity();
    return part == Base::MemoryBudget::unlimited ? std::nullopt : std::optional(part);
}

void DaemonMemory::updateGauges(Telemetry::Metrics &metrics) const
{
    const std::array<std::pair<const char *, const Base::MemoryBudget &>, 5> parts{
        {{"requests", requests_},
         {"heads", heads_},
         {"responses", responses_},
         {"backlogs", backlogs_},
         {"calls", calls_}}};
    for (const auto &[name, budget] : parts) {
        const Telemetry::MetricLabels labels{{"purpose", name}};
        const auto set = [&](const char *metric, const char *help, Bytes bytes) {
            metrics.gauge(metric, help, labels).set(static_cast<double>(bytes.value()));
        };
        set("marjoram_memory_bytes", "Bytes of others that are kept", budget.used());
        set("marjoram_memory_peak_bytes", "The most that was kept at a time", budget.peak());
        set("marjoram_memory_limit_bytes", "Limit on the bytes that are kept", budget.capacity());
        metrics
            .gauge("marjoram_memory_denials",
                   "Times that a holder was to keep more than its part since the start",
                   labels)
            .set(static_cast<double>(budget.denials()));
    }
    if (const auto resident = Telemetry::residentMemory()) {
        metrics.gauge("marjoram_resident_memory_bytes", "Resident memory of the process")
            .set(static_cast<double>(resident->value()));
    }
}

} // namespace Proxy
