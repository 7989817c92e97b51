#pragma once

#include <base/instant.h>

#include <asio/steady_timer.hpp>

#include <functional>
#include <vector>

namespace Proxy {

/// Shares reads among requests that each need one that begins after them.
class SharedRead
{
public:
    using Done = std::function<void(bool isRead)>;
    /// Calls back once, immediately or later.
    using Read = std::function<void(Done)>;

    /// At most one read begins in each \a interval.
    SharedRead(asio::io_context &context, Base::Duration interval, Read read);

    /// Calls back once, immediately or later, with the result of a read that began after this call.
    void request(Done done);

private:
    void begin();
    void onRead(bool isRead);
    void pause();

    asio::steady_timer timer_;
    Base::Duration interval_;
    Read read_;
    /// Requests that the current read serves.
    std::vector<Done> served_;
    /// Requests that came after it began.
    std::vector<Done> waiting_;
    bool isReading_ = false;
    bool isPausing_ = false;
};

} // namespace Proxy
