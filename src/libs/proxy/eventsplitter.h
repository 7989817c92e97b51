#pragma once

#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace Proxy {

/// Splits a stream of server-sent events into complete events, so that a stream that breaks within
/// an event can be resumed after the last complete one.
class EventSplitter
{
public:
    /// A server may never end an event.
    static constexpr std::size_t maxEventBytes = 256 * 1024;

    /// Returns the bytes of the events that are complete; the rest is kept.
    std::string feed(std::string_view bytes);

    /// Whether bytes of an incomplete event are kept.
    bool hasPartialEvent() const { return !partial_.empty(); }
    void dropPartialEvent();
    /// Events with data beyond the given number are neither returned nor counted.
    void setMaxEvents(std::uint64_t count) { maxEvents_ = count; }
    bool hasTooManyEvents() const { return hasTooManyEvents_; }
    bool isEventTooLong() const { return partial_.size() > maxEventBytes; }

    /// Number of complete events with data.
    std::uint64_t eventCount() const { return events_; }
    /// The data of each complete event, each followed by a line feed; empty unless
    /// setDataCollected() was called before.
    const std::string &data() const { return data_; }
    std::string takeData() { return std::exchange(data_, {}); }
    /// Bytes of memory that the kept events take.
    std::size_t heldBytes() const { return partial_.capacity() + data_.capacity(); }
    void setDataCollected() { isDataCollected_ = true; }
    /// The id to send as Last-Event-Id to resume the stream; unset if it cannot be sent.
    const std::optional<std::string> &lastEventId() const { return lastEventId_; }

private:
    std::optional<std::size_t> findEndOfEvent(std::string_view bytes);
    bool acceptEvent(std::string_view event);
    void parseEvent(std::string_view event);

    std::string partial_;
    /// Whether the line that the next byte continues has no bytes yet but a carriage return.
    bool isLineEmpty_ = true;
    /// Whether the next byte is the first of an event.
    bool isAtStart_ = true;
    std::uint64_t maxEvents_ = std::numeric_limits<std::uint64_t>::max();
    bool hasTooManyEvents_ = false;
    std::string data_;
    bool isDataCollected_ = false;
    std::uint64_t events_ = 0;
    std::optional<std::string> lastEventId_;
};

} // namespace Proxy
