#include "headcollector.h"

#include <utility>

namespace Proxy {

namespace {

constexpr std::string_view headEnd = "\r\n\r\n";

} // namespace

std::size_t HeadCollector::feed(std::string_view bytes, std::size_t maxBytes)
{
    const std::size_t used = search(bytes, maxBytes);
    head_.append(bytes.substr(0, used));
    processedBytes_ += 2 * used;
    return used;
}

/// Returns the number of bytes up to the one that decides the state, or all.
std::size_t HeadCollector::search(std::string_view bytes, std::size_t maxBytes)
{
    std::size_t used = 0;
    while (used < bytes.size() && state_ == State::Incomplete) {
        searchNext(bytes[used++]);
        if (head_.size() + used > maxBytes) {
            state_ = State::TooLarge;
        }
    }
    return used;
}

void HeadCollector::searchNext(char c)
{
    if (c == '\n' && last_ == '\n') {
        state_ = State::BareLineFeeds;
    }
    if (c == headEnd[matched_]) {
        ++matched_;
    } else {
        matched_ = c == headEnd.front() ? 1 : 0;
    }
    if (matched_ == headEnd.size()) {
        state_ = State::Complete;
    }
    last_ = c;
}

std::string HeadCollector::take()
{
    state_ = State::Incomplete;
    matched_ = 0;
    last_ = 0;
    return std::exchange(head_, {});
}

} // namespace Proxy
