#pragma once

// Blocking HTTP/1.1 for the stand-ins of the cases: one thread for each connection.

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstring>
#include <functional>
#include <optional>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace Stand {

using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;

inline bool sameName(const std::string &a, const std::string &b)
{
    return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

struct Fields
{
    std::vector<std::pair<std::string, std::string>> all;

    std::string get(const std::string &name) const
    {
        for (const auto &[key, value] : all) {
            if (sameName(key, name)) {
                return value;
            }
        }
        return {};
    }
    bool has(const std::string &name) const
    {
        return std::any_of(
            all.begin(), all.end(), [&](const auto &field) { return sameName(field.first, name); });
    }
};

struct Message
{
    std::string first; // request line or status line
    Fields fields;
    std::string body;

    std::string word(int index) const
    {
        std::size_t begin = 0;
        for (int i = 0; i < index; ++i) {
            const std::size_t space = first.find(' ', begin);
            if (space == std::string::npos) {
                return {};
            }
            begin = space + 1;
        }
        return first.substr(begin, first.find(' ', begin) - begin);
    }
};

/// A connected socket with a buffer for reading.
class Connection
{
public:
    explicit Connection(int file)
        : file_(file)
    {
        const int one = 1;
        setsockopt(file_, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    }
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;
    ~Connection() { close(); }

    void close()
    {
        if (file_ >= 0) {
            ::close(file_);
            file_ = -1;
        }
    }
    void reset()
    {
        const linger option{1, 0};
        setsockopt(file_, SOL_SOCKET, SO_LINGER, &option, sizeof option);
        close();
    }
    bool write(const std::string &bytes)
    {
        std::size_t done = 0;
        while (done < bytes.size()) {
            const ssize_t size
                = ::send(file_, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
            if (size < 0 && errno == EINTR) {
                continue;
            }
            if (size <= 0) {
                return false;
            }
            done += static_cast<std::size_t>(size);
        }
        return true;
    }
    /// Reads more bytes; false at the end, on an error or when the time is up.
    bool fill(Clock::time_point until)
    {
        while (true) {
            const auto left = std::chrono::duration_cast<Ms>(until - Clock::now()).count();
            if (left <= 0) {
                return false;
            }
            pollfd entry{file_, POLLIN, 0};
            const int ready = ::poll(&entry, 1, static_cast<int>(std::min<long>(left, 200)));
            if (ready < 0 && errno != EINTR) {
                return false;
            }
            if (ready <= 0) {
                continue;
            }
            char buffer[16384];
            const ssize_t size = ::recv(file_, buffer, sizeof buffer, 0);
            if (size <= 0) {
                isEnded_ = true;
                return false;
            }
            in_.append(buffer, static_cast<std::size_t>(size));
            return true;
        }
    }
    bool isEnded() const { return isEnded_; }
    /// Whether the peer has closed or reset the connection, or sent more bytes.
    bool hasPeerLeft()
    {
        char byte = 0;
        const ssize_t size = ::recv(file_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }
    std::optional<Message> readHead(Clock::time_point until)
    {
        std::size_t end = 0;
        while ((end = in_.find("\r\n\r\n")) == std::string::npos) {
            if (!fill(until)) {
                return std::nullopt;
            }
        }
        Message message;
        std::string head = in_.substr(0, end + 2);
        in_.erase(0, end + 4);
        std::size_t at = head.find("\r\n");
        message.first = head.substr(0, at);
        at += 2;
        while (at < head.size()) {
            const std::size_t next = head.find("\r\n", at);
            const std::string line = head.substr(at, next - at);
            at = next + 2;
            const std::size_t colon = line.find(':');
            if (colon == std::string::npos) {
                continue;
            }
            std::string value = line.substr(colon + 1);
            value.erase(0, value.find_first_not_of(" \t"));
            value.erase(value.find_last_not_of(" \t") + 1);
            message.fields.all.emplace_back(line.substr(0, colon), value);
        }
        return message;
    }
    /// Reads the body with a length or in chunks; false if it is cut off.
    bool readBody(Message &message, Clock::time_point until, const std::function<void()> &onPiece = {})
    {
        if (sameName(message.fields.get("Transfer-Encoding"), "chunked")) {
            while (true) {
                std::size_t end = 0;
                while ((end = in_.find("\r\n")) == std::string::npos) {
                    if (!fill(until)) {
                        return false;
                    }
                }
                const std::size_t size = std::stoul(in_.substr(0, end), nullptr, 16);
                in_.erase(0, end + 2);
                while (in_.size() < size + 2) {
                    if (!fill(until)) {
                        return false;
                    }
                }
                message.body.append(in_, 0, size);
                in_.erase(0, size + 2);
                if (size == 0) {
                    return true;
                }
                if (onPiece) {
                    onPiece();
                }
            }
        }
        const std::string length = message.fields.get("Content-Length");
        const std::size_t size = length.empty() ? 0 : std::stoul(length);
        while (in_.size() < size) {
            if (!fill(until)) {
                return false;
            }
        }
        message.body = in_.substr(0, size);
        in_.erase(0, size);
        return true;
    }

private:
    int file_ = -1;
    std::string in_;
    bool isEnded_ = false;
};

inline sockaddr_in addressOf(const std::string &ip, int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    if (inet_pton(AF_INET, ip.c_str(), &address.sin_addr) != 1) {
        throw std::runtime_error("not an address: " + ip);
    }
    return address;
}

inline int connectTo(const std::string &ip, int port, Ms timeout)
{
    const int file = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const sockaddr_in address = addressOf(ip, port);
    const int result = ::connect(file, reinterpret_cast<const sockaddr *>(&address), sizeof address);
    if (result != 0) {
        pollfd entry{file, POLLOUT, 0};
        int error = 0;
        socklen_t size = sizeof error;
        const bool isConnected
            = errno == EINPROGRESS && ::poll(&entry, 1, static_cast<int>(timeout.count())) == 1
              && getsockopt(file, SOL_SOCKET, SO_ERROR, &error, &size) == 0 && error == 0;
        if (!isConnected) {
            ::close(file);
            return -1;
        }
    }
    int flags = 0;
    ::ioctl(file, FIONBIO, &flags);
    return file;
}

/// Accepts connections and handles each in its own thread.
class Listener
{
public:
    using Handler = std::function<void(Connection &)>;

    Listener(const std::string &ip, int port, Handler handler)
        : handler_(std::move(handler))
    {
        file_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int one = 1;
        setsockopt(file_, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
        sockaddr_in address = addressOf(ip, port);
        if (::bind(file_, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0
            || ::listen(file_, 512) != 0) {
            throw std::runtime_error("cannot listen on " + ip + ":" + std::to_string(port));
        }
        socklen_t size = sizeof address;
        getsockname(file_, reinterpret_cast<sockaddr *>(&address), &size);
        port_ = ntohs(address.sin_port);
        std::thread([this] { accept(); }).detach();
    }
    int port() const { return port_; }

private:
    void accept()
    {
        while (true) {
            const int file = ::accept4(file_, nullptr, nullptr, SOCK_CLOEXEC);
            if (file < 0) {
                continue;
            }
            std::thread([this, file] {
                Connection connection(file);
                try {
                    handler_(connection);
                } catch (const std::exception &) {
                }
            }).detach();
        }
    }

    Handler handler_;
    int file_ = -1;
    int port_ = 0;
};

} // namespace Stand
