#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace Backends {

/// Cuts a stream of server-sent events into the data of its events.
class SseReader
{
public:
    /// Appends bytes as they arrived.
    void feed(std::string_view bytes);

    /// Data of the next whole event, its lines joined by line feeds; comments and events without
    /// data are skipped. No value until more bytes arrive.
    std::optional<std::string> next();

    /// Bytes that wait for the end of their event.
    std::size_t pendingBytes() const { return buffer_.size() - position_ + data_.size(); }

private:
    std::optional<std::string_view> nextLine();

    std::string buffer_;
    std::size_t position_ = 0;
    std::string data_;
    bool hasData_ = false;
};

} // namespace Backends
