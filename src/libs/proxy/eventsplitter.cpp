#include "eventsplitter.h"

#include <algorithm>

namespace Proxy {

namespace {

/// Returns the value of a line "name: value", or nothing if the line has another name.
std::optional<std::string_view> fieldValue(std::string_view line, std::string_view name)
{
    if (!line.starts_with(name)) {
        return std::nullopt;
    }
    line.remove_prefix(name.size());
    if (line.empty()) {
        return line;
    }
    if (line.front() != ':') {
        return std::nullopt;
    }
    line.remove_prefix(1);
    if (line.starts_with(' ')) {
        line.remove_prefix(1);
    }
    return line;
}

/// Removes the first line of the event, without its end, and returns it.
std::string_view takeLine(std::string_view &event)
{
    const std::size_t end = std::min(event.find('\n'), event.size() - 1);
    std::string_view line = event.substr(0, end);
    event.remove_prefix(end + 1);
    if (line.ends_with('\r')) {
        line.remove_suffix(1);
    }
    return line;
}

bool hasData(std::string_view event)
{
    while (!event.empty()) {
        if (fieldValue(takeLine(event), "data")) {
            return true;
        }
    }
    return false;
}

/// Whether the id can be sent as a header field: a faulty server may send anything.
bool isSendable(std::string_view id)
{
    constexpr std::size_t maxIdBytes = 256;
    return id.size() <= maxIdBytes && std::all_of(id.begin(), id.end(), [](char c) {
               const auto byte = static_cast<unsigned char>(c);
               return byte >= 0x20 && byte != 0x7f;
           });
}

} // namespace

/// Returns the position after the blank line that ends the current event, or nothing if the event
/// goes on. Each byte is searched once.
std::optional<std::size_t> EventSplitter::findEndOfEvent(std::string_view bytes)
{
    std::size_t at = 0;
    while (at < bytes.size()) {
        const std::size_t end = bytes.find('\n', at);
        const std::string_view line = bytes.substr(at, end - at);
        isLineEmpty_ = isLineEmpty_ && line.find_first_not_of('\r') == std::string_view::npos;
        const bool isFirstByte = isAtStart_ && end == at;
        isAtStart_ = false;
        if (end == std::string_view::npos) {
            return std::nullopt;
        }
        const bool isEnd = isLineEmpty_ && !isFirstByte;
        isLineEmpty_ = true;
        at = end + 1;
        if (isEnd) {
            isAtStart_ = true;
            return at;
        }
    }
    return std::nullopt;
}

std::string EventSplitter::feed(std::string_view bytes)
{
    std::string complete;
    while (const std::optional<std::size_t> end = findEndOfEvent(bytes)) {
        std::string event = std::exchange(partial_, {});
        event.append(bytes.substr(0, *end));
        bytes.remove_prefix(*end);
        if (!acceptEvent(event)) {
            return complete;
        }
        complete.append(event);
    }
    partial_.append(bytes);
    return complete;
}

void EventSplitter::dropPartialEvent()
{
    std::string().swap(partial_); // an assignment would keep the buffer
    isLineEmpty_ = true;
    isAtStart_ = true;
}

bool EventSplitter::acceptEvent(std::string_view event)
{
    if (events_ >= maxEvents_ && hasData(event)) {
        hasTooManyEvents_ = true;
        return false;
    }
    parseEvent(event);
    return true;
}

void EventSplitter::parseEvent(std::string_view event)
{
    bool isCounted = false;
    while (!event.empty()) {
        const std::string_view line = takeLine(event);
        if (const auto id = fieldValue(line, "id")) {
            lastEventId_.reset();
            if (isSendable(*id)) {
                lastEventId_ = std::string(*id);
            }
        }
        if (const auto data = fieldValue(line, "data")) {
            isCounted = true;
            if (isDataCollected_) {
                data_.append(*data).append("\n");
            }
        }
    }
    events_ += isCounted ? 1 : 0;
}

} // namespace Proxy
