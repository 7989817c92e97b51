#pragma once

#include <sys/types.h>

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>

namespace Crowd {

/// The most that a process used at a time.
struct ProcessUse
{
    std::int64_t residentBytes = 0;
    /// Bytes that the system holds unread for the sockets of the process.
    std::int64_t unreadBytes = 0;
    /// The most resident bytes up to some time and the unread bytes at that time.
    std::int64_t memoryBytes = 0;
    std::size_t sockets = 0;
};

/// Samples a process on a thread of its own until it is destroyed. Connections that the process has
/// not accepted yet count as its own.
class ProcessWatch
{
public:
    /// \a ip is the address of the process, at which nothing else listens.
    ProcessWatch(pid_t pid, const std::string &ip);

    ProcessWatch(const ProcessWatch &) = delete;
    ProcessWatch &operator=(const ProcessWatch &) = delete;

    /// Samples the process now, in addition.
    void sample();
    ProcessUse most() const;

private:
    std::string folder_;
    /// As the system writes it.
    std::string address_;
    mutable std::mutex mutex_;
    ProcessUse most_;
    std::jthread thread_;
};

} // namespace Crowd
