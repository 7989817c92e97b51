#pragma once

#include "daemonsettings.h"

#include <memory>

namespace Runtime {

/// Why a daemon's run ended.
enum class RunEnd {
    /// Graceful shutdown; nothing was cut.
    Stopped,
    /// The shutdown did not complete in time.
    StoppedLate,
    /// A successor took over: start again with a new incarnation.
    Fenced
};

/// One incarnation of a daemon: its sockets, threads and clock.
class DaemonRuntime
{
public:
    /// The seed makes the incarnation's name and its random choices differ from others'.
    DaemonRuntime(const DaemonSettings &settings, std::uint64_t seed);
    ~DaemonRuntime();

    DaemonRuntime(const DaemonRuntime &) = delete;
    DaemonRuntime &operator=(const DaemonRuntime &) = delete;

    /// Throws std::exception if an address cannot be bound or a file cannot be read.
    void start();

    /// Begins a graceful shutdown; safe to call from any thread.
    void requestStop();

    /// Returns when the daemon has stopped.
    RunEnd wait();

private:
    class Private;
    std::unique_ptr<Private> d_;
};

} // namespace Runtime
