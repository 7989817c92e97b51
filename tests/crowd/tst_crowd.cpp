#include "crowdenvironment.h"

#include <criterion/criterion.h>
#include <proxy/requestrelay.h>

namespace {

using namespace Crowd;
using namespace Soak;

constexpr std::size_t headBytes = 15'000;
constexpr std::size_t largestBody = 4 * 1024 * 1024;
constexpr std::size_t smallBody = 60'000;
/// Bytes of a body that its client holds back.
constexpr std::size_t heldBack = 10;
constexpr std::size_t pieceBytes = 16 * 1024;

const std::string chunkedLine = "Transfer-Encoding: chunked\r\n";
const std::string metricsRequest = "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n";

/// A head that stops short of its end.
std::string partOfHead()
{
    std::string head = requestHead("POST", "");
    head.resize(head.size() - 2);
    head += "X-Fill: ";
    head.resize(headBytes, 'x');
    return head;
}

/// A body that stops short of its end.
std::string partOfBody(std::size_t bytes, const std::string &lines = {})
{
    return requestHead("POST", lines + "Content-Length: " + std::to_string(bytes) + "\r\n")
           + std::string(bytes - heldBack, 'x');
}

/// A complete request of the sound service.
std::string wholeBody(std::size_t bytes)
{
    return requestHead("POST", "Content-Length: " + std::to_string(bytes) + "\r\n", "sound")
           + std::string(bytes, 'x');
}

std::string chunks(std::size_t bytes)
{
    constexpr std::size_t chunkBytes = 0x8000;
    std::string text;
    for (std::size_t sent = 0; sent < bytes; sent += chunkBytes) {
        text += "8000\r\n" + std::string(chunkBytes, 'x') + "\r\n";
    }
    return text;
}

/// A body in chunks that stops short of its end.
std::string partOfChunkedBody(std::size_t bytes)
{
    const std::string text = chunks(bytes);
    return requestHead("POST", chunkedLine) + text.substr(0, text.size() - heldBack);
}

std::string wholeChunkedBody(std::size_t bytes)
{
    return requestHead("POST", chunkedLine, "sound") + chunks(bytes) + "0\r\n\r\n";
}

/// Header lines that take far more memory once they are parsed.
std::string shortFields()
{
    std::string lines;
    while (lines.size() < headBytes - 500) {
        lines += "a:b\r\n";
    }
    return lines;
}

/// Checks that the daemon served ordinary requests beside the crowd and after it, and stayed within
/// its limits.
void checkFront(CrowdEnvironment &environment)
{
    environment.assertServed(FloodPorts::callers, soundRequest(), "beside the crowd");
    environment.leave();
    environment.assertServed(FloodPorts::callers, soundRequest(), "after the crowd");
    environment.assertWithinLimits();
}

} // namespace

/// Guards against a daemon that runs out of memory as it keeps any number of heads.
Test(crowd, headsWithoutEnd)
{
    CrowdEnvironment environment("front", {.memoryMegabytes = 44, .maxDescriptors = 4100});
    environment.hold(FloodPorts::callers, {partOfHead()}, 1200);
    checkFront(environment);
}

/// Guards against a daemon that keeps more bytes of parsed heads than it counts.
Test(crowd, headsOfShortFields)
{
    CrowdEnvironment environment("front", {.memoryMegabytes = 44, .maxDescriptors = 4100});
    constexpr std::size_t bodyBytes = 100;
    environment.hold(FloodPorts::callers, {partOfBody(bodyBytes, shortFields())}, 200);
    checkFront(environment);
}

/// Guards against a daemon without a descriptor for servers, other daemons and the store.
Test(crowd, connectionsThatSendNothing)
{
    CrowdEnvironment environment("front", {.memoryMegabytes = 88, .maxDescriptors = 600});
    environment.hold(FloodPorts::callers, {}, 500);
    checkFront(environment);
}

/// Guards against a daemon that runs out of memory as bodies of the largest size do not end.
Test(crowd, largeBodiesAtOnce)
{
    CrowdEnvironment environment("front", {.memoryMegabytes = 44, .maxDescriptors = 4100});
    environment.hold(FloodPorts::callers, {partOfBody(largestBody)}, 60);
    checkFront(environment);
}

Test(crowd, largeBodiesInPieces)
{
    CrowdEnvironment environment("front", {.memoryMegabytes = 44, .maxDescriptors = 4100});
    environment.hold(FloodPorts::callers, {partOfBody(largestBody), pieceBytes}, 60);
    checkFront(environment);
}

Test(crowd, largeBodiesWithoutLength)
{
    CrowdEnvironment environment("front", {.memoryMegabytes = 44, .maxDescriptors = 4100});
    environment.hold(FloodPorts::callers, {partOfChunkedBody(largestBody)}, 60);
    checkFront(environment);
}

/// Guards against whole bodies among others that do not end.
Test(crowd, largeBodiesOfWhichSomeAreWhole)
{
    CrowdEnvironment environment("front", {.memoryMegabytes = 88, .maxDescriptors = 4100});
    environment.hold(FloodPorts::callers, {partOfBody(largestBody)}, 60);
    environment.hold(FloodPorts::callers, {wholeBody(largestBody)}, 15);
    checkFront(environment);
}

/// Bodies without a stated length, where memory suffices for a few whole bodies.
Test(crowd, largeBodiesWithoutLengthThatFit)
{
    CrowdEnvironment environment("front", {.memoryMegabytes = 88, .maxDescriptors = 4100});
    environment.hold(FloodPorts::callers, {partOfChunkedBody(largestBody), pieceBytes}, 60);
    checkFront(environment);
}

/// Guards against bytes that wait unread in the system, or are drained, beyond the memory.
Test(crowd, smallBodies)
{
    CrowdEnvironment environment("front", {.memoryMegabytes = 44, .maxDescriptors = 4100});
    environment.hold(FloodPorts::callers, {partOfBody(smallBody)}, 1000);
    checkFront(environment);
}

/// Guards against responses that their callers do not read, beside heads and bodies without end.
Test(crowd, lateReadersBesideHeadsAndBodies)
{
    CrowdEnvironment environment("front", {.memoryMegabytes = 48, .maxDescriptors = 4100});
    environment.holdLateReaders(200);
    environment.hold(FloodPorts::callers, {partOfHead()}, 300);
    environment.hold(FloodPorts::callers, {partOfBody(smallBody)}, 300);
    checkFront(environment);
}

/// Guards against a crowd that comes back at once after each close.
Test(crowd, headsThatComeBack)
{
    CrowdEnvironment environment("front", {.memoryMegabytes = 44, .maxDescriptors = 600});
    environment.hold(FloodPorts::callers, {partOfHead(), 0, 20}, 500);
    checkFront(environment);
}

Test(crowd, largeBodiesThatComeBack)
{
    CrowdEnvironment environment("front", {.memoryMegabytes = 44, .maxDescriptors = 600});
    environment.hold(FloodPorts::callers, {partOfBody(largestBody), 0, 5}, 200);
    checkFront(environment);
}

/// Guards against a front that other daemons cannot reach for documents.
Test(crowd, peerAddress)
{
    CrowdEnvironment environment("front", {.memoryMegabytes = 44, .maxDescriptors = 600});
    environment.hold(FloodPorts::peers, {}, 250);
    environment.hold(FloodPorts::peers, {partOfHead()}, 250);
    const std::string request = "GET /documents/daemons HTTP/1.1\r\nHost: x\r\n\r\n";
    environment.assertServed(FloodPorts::peers, request, "of a peer");
    checkFront(environment);
}

/// Guards against a front through which other daemons reach no server.
Test(crowd, relayAddress)
{
    CrowdEnvironment environment("front", {.memoryMegabytes = 44, .maxDescriptors = 600});
    environment.hold(FloodPorts::relay, {}, 250);
    environment.hold(FloodPorts::relay, {partOfHead()}, 250);
    environment.assertServedLocally(
        FloodPorts::relay, Proxy::relayRequest({Base::ServerId("i-sound"), 1}), "of a peer");
    checkFront(environment);
}

/// Guards against a front that looks as if it were not ready.
Test(crowd, readinessAddress)
{
    CrowdEnvironment environment("front", {.memoryMegabytes = 44, .maxDescriptors = 600});
    environment.hold(FloodPorts::status, {}, 250);
    environment.hold(FloodPorts::status, {partOfHead()}, 250);
    environment.assertServed(FloodPorts::status, metricsRequest, "for metrics");
    checkFront(environment);
}

/// Guards against a store daemon that fronts cannot reach.
Test(crowd, turnAddressThatGetsNothing)
{
    CrowdEnvironment environment("store", {.memoryMegabytes = 88, .maxDescriptors = 600});
    environment.hold(FloodPorts::turns, {}, 500);
    environment.assertServed(FloodPorts::turns, metricsRequest, "beside the crowd");
    environment.leave();
    environment.assertServed(FloodPorts::turns, metricsRequest, "after the crowd");
    environment.assertWithinLimits();
}

Test(crowd, turnAddressThatGetsHeads)
{
    CrowdEnvironment environment("store", {.memoryMegabytes = 44, .maxDescriptors = 4100});
    environment.hold(FloodPorts::turns, {partOfHead()}, 1200);
    environment.assertServed(FloodPorts::turns, metricsRequest, "beside the crowd");
    environment.leave();
    environment.assertServed(FloodPorts::turns, metricsRequest, "after the crowd");
    environment.assertWithinLimits();
}

Test(crowd, turnAddressThatGetsBodies)
{
    CrowdEnvironment environment("store", {.memoryMegabytes = 44, .maxDescriptors = 4100});
    environment.hold(FloodPorts::turns, {partOfBody(largestBody)}, 60);
    environment.hold(FloodPorts::turns, {partOfBody(smallBody)}, 1800);
    environment.assertServed(FloodPorts::turns, metricsRequest, "beside the crowd");
    environment.leave();
    environment.assertServed(FloodPorts::turns, metricsRequest, "after the crowd");
    environment.assertWithinLimits();
}

/// Guards against limits that an ordinary client meets.
Test(crowd, oneLargestBodyInCalm)
{
    CrowdEnvironment environment("front", {.memoryMegabytes = 88, .maxDescriptors = 4100});
    environment.assertServed(FloodPorts::callers, wholeBody(largestBody), "in calm");
    environment.assertWithinLimits();
}

Test(crowd, oneLargestBodyWithoutLengthInCalm)
{
    CrowdEnvironment environment("front", {.memoryMegabytes = 88, .maxDescriptors = 4100});
    for (int i = 0; i < 10; ++i) {
        environment.assertServed(FloodPorts::callers, wholeChunkedBody(largestBody), "in calm");
    }
    environment.assertWithinLimits();
}
