#include "processwatch.h"

#include <asio/ip/address_v4.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <unordered_set>

namespace Crowd {

namespace {

constexpr std::int64_t kilobyte = 1024;

/// Returns the inodes of the sockets that the process has open.
std::unordered_set<std::string> openSockets(const std::string &folder)
{
    const std::string prefix = "socket:[";
    std::unordered_set<std::string> inodes;
    std::error_code error; // the process may end at any time
    for (std::filesystem::directory_iterator entry(folder + "/fd", error), end;
         !error && entry != end;
         entry.increment(error)) {
        std::error_code gone;
        const std::string target = std::filesystem::read_symlink(entry->path(), gone).string();
        if (target.starts_with(prefix)) {
            inodes.insert(target.substr(prefix.size(), target.size() - prefix.size() - 1));
        }
    }
    return inodes;
}

std::int64_t peakResidentBytes(const std::string &folder)
{
    const std::string name = "VmHWM:";
    std::ifstream status(folder + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with(name)) {
            return std::stoll(line.substr(name.size())) * kilobyte;
        }
    }
    return 0;
}

/// Sums up the receive queues of connections of the given sockets or at the given address.
std::int64_t unreadBytes(const std::unordered_set<std::string> &inodes, const std::string &address)
{
    const std::string listening = "0A"; // its queue has connections instead of bytes
    std::int64_t sum = 0;
    std::ifstream table("/proc/net/tcp");
    std::string line;
    std::getline(table, line);
    while (std::getline(table, line)) {
        std::istringstream fields(line);
        std::string slot;
        std::string local;
        std::string remote;
        std::string state;
        std::string queues;
        std::string skipped;
        std::string inode;
        fields >> slot >> local >> remote >> state >> queues >> skipped >> skipped >> skipped
            >> skipped >> inode;
        const bool isOwn = local.starts_with(address) || inodes.contains(inode);
        const std::size_t colon = queues.find(':');
        if (isOwn && state != listening && colon != std::string::npos) {
            sum += std::stoll(queues.substr(colon + 1), nullptr, 16);
        }
    }
    return sum;
}

std::string addressInTable(const std::string &ip)
{
    const auto bytes = asio::ip::make_address_v4(ip).to_bytes();
    std::array<char, 10> text{};
    std::snprintf(
        text.data(), text.size(), "%02X%02X%02X%02X:", bytes[3], bytes[2], bytes[1], bytes[0]);
    return text.data();
}

} // namespace

ProcessWatch::ProcessWatch(pid_t pid, const std::string &ip)
    : folder_("/proc/" + std::to_string(pid))
    , address_(addressInTable(ip))
    , thread_([this](const std::stop_token &stop) {
        constexpr auto interval = std::chrono::milliseconds(20);
        while (!stop.stop_requested()) {
            sample();
            std::this_thread::sleep_for(interval);
        }
    })
{}

void ProcessWatch::sample()
{
    const std::unordered_set<std::string> sockets = openSockets(folder_);
    const std::int64_t resident = peakResidentBytes(folder_);
    const std::int64_t unread = unreadBytes(sockets, address_);
    const std::lock_guard lock(mutex_);
    most_.sockets = std::max(most_.sockets, sockets.size());
    most_.residentBytes = std::max(most_.residentBytes, resident);
    most_.unreadBytes = std::max(most_.unreadBytes, unread);
    most_.memoryBytes = std::max(most_.memoryBytes, most_.residentBytes + unread);
}

ProcessUse ProcessWatch::most() const
{
    const std::lock_guard lock(mutex_);
    return most_;
}

} // namespace Crowd
