#pragma once

#include <base/instant.h>
#include <telemetry/log.h>
#include <telemetry/metrics.h>

#include <asio/ip/address.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace Proxy {

/// Counts what was refused because of its source address, and logs it at a bounded rate.
class RefusedSources
{
public:
    RefusedSources(std::string step,
                   std::string message,
                   Telemetry::Log &log,
                   Telemetry::Counter &counter);

    /// \a claimed is the daemon that the refused message names as its sender, if any.
    void record(const asio::ip::address &source, const std::string &claimed, Base::Instant now);

private:
    std::string step_;
    std::string message_;
    Telemetry::Log &log_;
    Telemetry::Counter &counter_;
    std::optional<Base::Instant> lastLoggedAt_;
    /// Number of refusals since the last log line.
    std::uint64_t unlogged_ = 0;
};

} // namespace Proxy
