#include "sharedread.h"

#include <utility>

namespace Proxy {

SharedRead::SharedRead(asio::io_context &context, Base::Duration interval, Read read)
    : timer_(context)
    , interval_(interval)
    , read_(std::move(read))
{}

void SharedRead::request(Done done)
{
    waiting_.push_back(std::move(done));
    begin();
}

void SharedRead::begin()
{
    if (isReading_ || isPausing_ || waiting_.empty()) {
        return;
    }
    isReading_ = true;
    served_ = std::exchange(waiting_, {});
    read_([this](bool isRead) { onRead(isRead); });
    if (isReading_) {
        pause();
    }
}

void SharedRead::pause()
{
    isPausing_ = true;
    timer_.expires_after(interval_);
    timer_.async_wait([this](const std::error_code &error) {
        if (!error) {
            isPausing_ = false;
            begin();
        }
    });
}

/// After a failure, those that wait are not held any longer.
void SharedRead::onRead(bool isRead)
{
    isReading_ = false;
    std::vector<Done> ended = std::exchange(served_, {});
    if (!isRead) {
        std::vector<Done> waiting = std::exchange(waiting_, {});
        ended.insert(ended.end(), waiting.begin(), waiting.end());
    }
    for (const Done &done : ended) {
        done(isRead);
    }
    begin();
}

} // namespace Proxy
