#pragma once

#include <base/memorybudget.h>
#include <telemetry/metrics.h>

#include <optional>

namespace Proxy {

/// The memory in which a daemon keeps bytes of others, a part for each purpose, so that none takes
/// what the others need.
class DaemonMemory
{
public:
    /// Divides the memory of a process between the parts; without a value they are unlimited.
    explicit DaemonMemory(std::optional<Base::Bytes> processMemory = std::nullopt);

    /// Bodies of callers' requests, and the turns that they continue.
    Base::MemoryBudget &requests() { return requests_; }
    /// Heads of requests, and requests that wait behind another on their connection.
    Base::MemoryBudget &heads() { return heads_; }
    /// Bytes of servers' responses that are kept until they are complete.
    Base::MemoryBudget &responses() { return responses_; }
    /// Bytes of responses that callers have not read.
    Base::MemoryBudget &backlogs() { return backlogs_; }
    /// Responses to the daemon's own calls.
    Base::MemoryBudget &calls() { return calls_; }

    /// Memory for buffers of the system, which is not counted; unset if memory is unlimited.
    std::optional<Base::Bytes> systemBuffers() const;

    void updateGauges(Telemetry::Metrics &metrics) const;

private:
    Base::MemoryBudget requests_;
    Base::MemoryBudget heads_;
    Base::MemoryBudget responses_;
    Base::MemoryBudget backlogs_;
    Base::MemoryBudget calls_;
};

} // namespace Proxy
