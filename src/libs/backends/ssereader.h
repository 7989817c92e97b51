#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace Backends {

/// Splits a stream of server-sent events into the data of its events.
class SseReader
{
public:
    /// Appends received bytes.
    void feed(std::string_view bytes);

    /// Data of the next complete event, its lines joined by line feeds; comments and events without
    /// data are skipped. Returns no value if no complete event is buffered.
    std::optional<std::string> next();

    /// Bytes of an incomplete event.
    std::size_t pendingBytes() const { return buffer_.size() - position_ + data_.size(); }

private:
    std::optional<std::string_view> nextLine();

    std::string buffer_;
    std::size_t position_ = 0;
    std::string data_;
    bool hasData_ = false;
};

} // namespace Backends
