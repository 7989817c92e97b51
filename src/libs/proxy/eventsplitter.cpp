#include "eventsplitter.h"

#include <algorithm>

namespace Proxy {

namespace {

/// Returns the position after the first blank line that begins at or after `from`, the beginning
/// of a line, or nothing if there is none.
std::optional<std::size_t> endOfEvent(std::string_view text, std::size_t from)
{
    bool isLineEmpty = true;
    for (std::size_t i = from; i < text.size(); ++i) {
        if (text[i] == '\n') {
            if (isLineEmpty && i > 0) {
                return i + 1;
            }
            isLineEmpty = true;
        } else if (text[i] != '\r') {
            isLineEmpty = false;
        }
    }
    return std::nullopt;
}

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

} // namespace

std::string EventSplitter::feed(std::string_view bytes)
{
    partial_.append(bytes);
    std::string complete;
    std::string_view rest = partial_;
    while (const std::optional<std::size_t> end = endOfEvent(rest, scanned_)) {
        parseEvent(rest.substr(0, *end));
        complete.append(rest.substr(0, *end));
        rest.remove_prefix(*end);
        scanned_ = 0;
    }
    partial_.erase(0, partial_.size() - rest.size());
    const std::size_t lastLine = partial_.rfind('\n');
    scanned_ = lastLine == std::string::npos ? 0 : lastLine + 1;
    return complete;
}

void EventSplitter::dropPartialEvent()
{
    partial_.clear();
    scanned_ = 0;
}

void EventSplitter::parseEvent(std::string_view event)
{
    bool hasData = false;
    while (!event.empty()) {
        const std::size_t end = std::min(event.find('\n'), event.size() - 1);
        std::string_view line = event.substr(0, end);
        event.remove_prefix(end + 1);
        if (line.ends_with('\r')) {
            line.remove_suffix(1);
        }
        if (const auto id = fieldValue(line, "id")) {
            lastEventId_ = std::string(*id);
        }
        if (const auto data = fieldValue(line, "data")) {
            hasData = true;
            if (isDataCollected_) {
                data_.append(*data).append("\n");
            }
        }
    }
    events_ += hasData ? 1 : 0;
}

} // namespace Proxy
