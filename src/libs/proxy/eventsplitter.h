#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

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
    bool isEventTooLong() const { return partial_.size() > maxEventBytes; }

    /// Number of complete events with data.
    std::uint64_t eventCount() const { return events_; }
    /// The data of each complete event, each followed by a line feed; empty unless
    /// setDataCollected() was called before.
    const std::string &data() const { return data_; }
    void setDataCollected() { isDataCollected_ = true; }
    /// The id to send as Last-Event-Id to resume the stream.
    const std::optional<std::string> &lastEventId() const { return lastEventId_; }

private:
    void parseEvent(std::string_view event);

    std::string partial_;
    /// Bytes at the start of partial_ in which no event ends.
    std::size_t scanned_ = 0;
    std::string data_;
    bool isDataCollected_ = false;
    std::uint64_t events_ = 0;
    std::optional<std::string> lastEventId_;
};

} // namespace Proxy
