#pragma once

namespace Contracts {

enum class ServiceKind {
    /// Served by model engines; calls cost tokens and may stream.
    Model,
    /// Any other service; requests are passed on as they are.
    Plain
};

} // namespace Contracts
