#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Proxy {

/// Splits a stream of server-sent events into whole events, so that a stream which breaks within
/// an event can go on from the last whole one.
class EventSplitter
{
public:
    /// Returns the bytes of the events that are whole now; the rest is kept.
    std::string feed(std::string_view bytes);

    /// Bytes of an event that is not whole.
    bool hasPartialEvent() const { return !partial_.empty(); }
    void dropPartialEvent() { partial_.clear(); }

    /// Events with data that were whole.
    std::uint64_t eventCount() const { return events_; }
    /// The id that a resumed stream names as its last event.
    const std::optional<std::string> &lastEventId() const { return lastEventId_; }

private:
    void noteEvent(std::string_view event);

    std::string partial_;
    std::uint64_t events_ = 0;
    std::optional<std::string> lastEventId_;
};

} // namespace Proxy
