#include "headcollector.h"

#include <algorithm>
#include <utility>

namespace Proxy {

namespace {

constexpr std::string_view headEnd = "\r\n\r\n";

/// The buffer grows by this or by a quarter, so that little of it is unused and each byte is copied
/// a few times at most.
constexpr std::size_t growthBytes = 1024;

} // namespace

std::size_t HeadCollector::feed(std::string_view bytes, std::size_t maxBytes)
{
    const std::size_t used = search(bytes, maxBytes);
    reserve(head_.size() + used);
    head_.append(bytes.substr(0, used));
    processedBytes_ += 2 * used;
    return used;
}

/// A string that grows by itself would double its buffer.
void HeadCollector::reserve(std::size_t needed)
{
    if (needed <= head_.capacity()) {
        return;
    }
    std::string larger;
    larger.reserve(std::max(needed, head_.size() + std::max(growthBytes, head_.size() / 4)));
    larger += head_;
    head_.swap(larger);
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
