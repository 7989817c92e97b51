#include "refusal.h"

#include <array>
#include <cstdio>

namespace Proxy {

namespace {

std::string secondsText(Base::Duration duration)
{
    std::array<char, 32> text{};
    const int length = std::snprintf(text.data(), text.size(), "%.3f", Base::toSeconds(duration));
    return {text.data(), static_cast<std::size_t>(length)};
}

} // namespace

ResponseHead ownResponseHead(int status, std::optional<Base::Duration> retryAfter)
{
    ResponseHead head;
    head.status = status;
    head.reason = reasonOf(status);
    head.headers.add("Content-Type", "text/plain");
    if (retryAfter) {
        head.headers.add("Retry-After", secondsText(*retryAfter));
    }
    return head;
}

} // namespace Proxy
