#include "ssereader.h"

#include <utility>

namespace Backends {

void SseReader::feed(std::string_view bytes)
{
    buffer_.erase(0, position_);
    position_ = 0;
    buffer_.append(bytes);
}

std::optional<std::string> SseReader::next()
{
    constexpr std::string_view dataField = "data:";
    while (const auto line = nextLine()) {
        if (line->empty()) {
            if (hasData_) {
                hasData_ = false;
                return std::exchange(data_, std::string());
            }
            continue;
        }
        if (!line->starts_with(dataField)) {
            continue;
        }
        std::string_view value = line->substr(dataField.size());
        if (value.starts_with(' ')) {
            value.remove_prefix(1);
        }
        if (hasData_) {
            data_ += '\n';
        }
        data_.append(value);
        hasData_ = true;
    }
    return std::nullopt;
}

std::optional<std::string_view> SseReader::nextLine()
{
    const std::size_t end = buffer_.find('\n', position_);
    if (end == std::string::npos) {
        return std::nullopt;
    }
    std::string_view line(buffer_.data() + position_, end - position_);
    if (line.ends_with('\r')) {
        line.remove_suffix(1);
    }
    position_ = end + 1;
    return line;
}

} // namespace Backends
