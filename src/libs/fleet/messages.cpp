#include "messages.h"

#include <base/visitor.h>

namespace Fleet {

namespace {

// TCP and IP headers, the frame's length field, and the envelope of the peer protocol.
constexpr std::size_t envelopeBytes = 40 + 4 + 24;
// Compact encoding: a field header is one byte, a 64-bit number at most ten, an enum or port three.
constexpr std::size_t fieldBytes = 1;
constexpr std::size_t numberBytes = fieldBytes + 10;
constexpr std::size_t smallNumberBytes = fieldBytes + 3;
constexpr std::size_t structStopBytes = 1;
constexpr std::size_t listHeaderBytes = fieldBytes + 2;

std::size_t textSize(const std::string &text)
{
    return fieldBytes + 2 + text.size();
}

std::size_t daemonSize(const Daemon &daemon)
{
    return fieldBytes + textSize(daemon.incarnation.text()) + textSize(daemon.vm.text())
           + textSize(daemon.zone.text()) + textSize(daemon.address.ip) + 2 * smallNumberBytes
           + structStopBytes;
}

std::size_t digestsSize(const std::vector<DaemonDigest> &digests)
{
    std::size_t size = listHeaderBytes;
    for (const DaemonDigest &digest : digests) {
        size += daemonSize(digest.daemon) + numberBytes + structStopBytes;
    }
    return size;
}

constexpr std::size_t versionsSize = fieldBytes + 3 * numberBytes + structStopBytes;

} // namespace

std::size_t wireSize(const FleetMessage &message)
{
    const std::size_t common = envelopeBytes + versionsSize + numberBytes + structStopBytes;
    return std::visit(Base::Visitor{[&](const Heartbeat &heartbeat) {
                                        return common + daemonSize(heartbeat.from)
                                               + digestsSize(heartbeat.digests);
                                    },
                                    [&](const HeartbeatAck &ack) {
                                        return common + numberBytes + daemonSize(ack.from)
                                               + digestsSize(ack.digests);
                                    }},
                      message);
}

} // namespace Fleet
