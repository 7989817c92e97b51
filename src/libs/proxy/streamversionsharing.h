#pragma once

#include "passthrough.h"
#include "peerlink.h"

#include <dispatch/streamversions.h>

#include <functional>
#include <memory>

namespace Proxy {

/// Finds the software version of the server that began a stream, whichever daemon the stream was
/// read from. The daemon that forwards the first event tells some others, chosen by the id of the
/// caller's attempt; a daemon where the caller resumes the stream asks them.
class StreamVersionSharing
{
public:
    /// Receives the version, or nothing if no daemon that responds knows the stream.
    using FindCallback = std::function<void(const std::optional<Base::SoftwareVersion> &)>;

    StreamVersionSharing(PeerLink &peers, std::function<Base::Instant()> now);

    /// Must be called before the first event of the stream is sent to the caller.
    void streamBegan(const std::string &attempt, const Base::SoftwareVersion &version);
    /// Calls back once, immediately or after the responses of the other daemons.
    void find(const std::string &attempt, FindCallback callback);

    void onNotice(const StreamNotice &notice);
    void onRequest(const Base::VmId &sender, const StreamVersionRequest &request);

private:
    PeerLink &peers_;
    std::function<Base::Instant()> now_;
    Dispatch::StreamVersions streams_;
};

/// The controls through which requests use the versions; \a sharing must outlive them.
StreamControls streamControls(StreamVersionSharing &sharing);

} // namespace Proxy
