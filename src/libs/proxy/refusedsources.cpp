#include "refusedsources.h"

#include <utility>

namespace Proxy {

namespace {

/// Senders decide how often something is refused, so the rate of log lines must not follow them.
constexpr Base::Duration logInterval = std::chrono::seconds(10);

} // namespace

RefusedSources::RefusedSources(std::string step,
                               std::string message,
                               Telemetry::Log &log,
                               Telemetry::Counter &counter)
    : step_(std::move(step))
    , message_(std::move(message))
    , log_(log)
    , counter_(counter)
{}

void RefusedSources::record(const asio::ip::address &source,
                            const std::string &claimed,
                            Base::Instant now)
{
    counter_.add();
    ++unlogged_;
    if (lastLoggedAt_ && now - *lastLoggedAt_ < logInterval) {
        return;
    }
    lastLoggedAt_ = now;
    log_.write(Telemetry::LogLevel::Warning,
               message_,
               {.step = step_,
                .peer = claimed,
                .details = {{"source", source.to_string()},
                            {"count", static_cast<std::int64_t>(std::exchange(unlogged_, 0))}}});
}

} // namespace Proxy
