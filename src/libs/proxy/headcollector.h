#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace Proxy {

/// Collects the head of a message from what is read. The cost is linear in the size of the head,
/// however it is split and whatever follows it.
class HeadCollector
{
public:
    enum class State {
        Incomplete,
        /// The empty line at the end has arrived.
        Complete,
        TooLarge,
        /// An empty line ends with line feeds only.
        BareLineFeeds
    };

    /// Returns the number of bytes that belong to the head.
    std::size_t feed(std::string_view bytes, std::size_t maxBytes);
    State state() const { return state_; }
    /// Size of the buffer of the collected bytes.
    std::size_t capacity() const { return head_.capacity(); }
    /// Returns the collected bytes and starts the next head.
    std::string take();

    /// Bytes that were searched or copied so far.
    std::size_t processedBytes() const { return processedBytes_; }

private:
    std::size_t search(std::string_view bytes, std::size_t maxBytes);
    void searchNext(char c);
    void reserve(std::size_t needed);

    State state_ = State::Incomplete;
    std::string head_;
    /// Length of the part of the final line ends that the last bytes match.
    std::size_t matched_ = 0;
    char last_ = 0;
    std::size_t processedBytes_ = 0;
};

} // namespace Proxy
