#pragma once

#include "daemonsettings.h"

#include <memory>

namespace Runtime {

/// Reason for the end of an incarnation.
enum class ExitReason {
    /// The graceful shutdown completed.
    Stopped,
    /// The graceful shutdown did not complete within DaemonSettings::drainTimeout.
    DrainTimedOut,
    /// Another daemon took over the partitions; a new incarnation must be started.
    Fenced
};

/// Runs one incarnation of a daemon with its sockets, threads and clock.
class DaemonRuntime
{
public:
    /// The seed determines the incarnation's name and its random choices.
    DaemonRuntime(const DaemonSettings &settings, std::uint64_t seed);
    ~DaemonRuntime();

    DaemonRuntime(const DaemonRuntime &) = delete;
    DaemonRuntime &operator=(const DaemonRuntime &) = delete;

    /// Throws std::exception if an address cannot be bound or a file cannot be read.
    void start();

    /// Begins a graceful shutdown; safe to call from any thread.
    void requestStop();

    /// Blocks until the daemon has stopped.
    ExitReason wait();

private:
    class Private;
    std::unique_ptr<Private> d_;
};

} // namespace Runtime
