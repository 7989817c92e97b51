#pragma once

namespace Contracts {

enum class ServiceKind {
    /// Served by model engines; calls consume tokens and may be streamed.
    Model,
    /// Any other service; requests are forwarded unchanged.
    Plain
};

} // namespace Contracts
