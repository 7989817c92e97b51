#include "connectionshares.h"

#include <algorithm>

namespace Proxy {

namespace {

/// Descriptors that the platform reserves for files.
constexpr std::size_t fileDescriptors = 200;

/// Percent of the sockets of a front. As many as of callers are left for the servers of their
/// requests, and the rest for idle connections to servers, the store and listeners.
constexpr std::size_t callerPercent = 30;
constexpr std::size_t documentPercent = 5;
constexpr std::size_t statusPercent = 2;
constexpr std::size_t relayPercent = 15;

/// Of a daemon that keeps turns; the rest is for its copies to others, the store and listeners.
constexpr std::size_t turnPercent = 75;

/// A session has one to the daemon and one to the server.
constexpr std::size_t socketsPerSession = 2;

/// A window of a few packets; callers' bodies get a larger one once memory is leased for them.
constexpr std::int64_t minReceiveBytes = 8 * 1024;
constexpr std::int64_t maxReceiveBytes = 64 * 1024;

/// Connections that wait to be accepted, as a part of those that are kept.
constexpr std::size_t backlogDivisor = 4;
constexpr std::size_t minBacklog = 16;

std::size_t percentOf(std::size_t sockets, std::size_t percent)
{
    return std::max<std::size_t>(1, sockets * percent / 100);
}

std::size_t socketsOf(std::size_t descriptors)
{
    return descriptors - std::min(descriptors, fileDescriptors);
}

/// Connections that wait hold bytes, too.
void divideBuffers(ConnectionShares &shares, const std::optional<Base::Bytes> &buffers)
{
    if (buffers) {
        const auto all = static_cast<std::size_t>(buffers->value() / minReceiveBytes);
        shares.callers = std::min(shares.callers, all * backlogDivisor / (backlogDivisor + 1));
    }
    if (shares.callers == ConnectionLimit::unlimited) {
        return;
    }
    const std::size_t backlog = std::clamp(
        shares.callers / backlogDivisor, minBacklog, std::size_t{ConnectionShares::defaultBacklog});
    shares.backlog = static_cast<int>(backlog);
    if (buffers) {
        const auto connections = static_cast<std::int64_t>(shares.callers + backlog);
        shares.receiveBytes = static_cast<int>(
            std::clamp(buffers->value() / connections, minReceiveBytes, maxReceiveBytes));
    }
}

} // namespace

ConnectionShares ConnectionShares::forFront(const std::optional<std::size_t> &descriptors,
                                            const std::optional<Base::Bytes> &buffers)
{
    ConnectionShares shares;
    if (descriptors) {
        const std::size_t sockets = socketsOf(*descriptors);
        shares.callers = percentOf(sockets, callerPercent);
        shares.documents = percentOf(sockets, documentPercent);
        shares.status = percentOf(sockets, statusPercent);
        shares.relaySessions
            = std::min(shares.relaySessions, percentOf(sockets, relayPercent) / socketsPerSession);
    }
    divideBuffers(shares, buffers);
    return shares;
}

ConnectionShares ConnectionShares::forStore(const std::optional<std::size_t> &descriptors,
                                            const std::optional<Base::Bytes> &buffers)
{
    ConnectionShares shares;
    if (descriptors) {
        shares.callers = percentOf(socketsOf(*descriptors), turnPercent);
    }
    divideBuffers(shares, buffers);
    return shares;
}

} // namespace Proxy
