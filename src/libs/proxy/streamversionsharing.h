#pragma once

#include "passthrough.h"
#include "peerlink.h"

#include <dispatch/streamversions.h>

#include <functional>
#include <memory>

namespace Proxy {

/// Finds the software version of the server that began a stream, whichever daemon the stream was
/// read from. The daemon that forwards the first event tells some others, and record stores, which
/// are not restarted with the daemons; a daemon where the caller resumes the stream asks them.
class StreamVersionSharing
{
public:
    using FindCallback = StreamControls::FindCallback;
    using Settings = Dispatch::StreamVersions::Settings;

    StreamVersionSharing(PeerLink &peers,
                         Telemetry::Metrics &metrics,
                         std::function<Base::Instant()> now,
                         Settings settings = {});

    /// Must be called before the first event of the stream is sent to the caller.
    void streamBegan(const Dispatch::StreamName &stream, const Dispatch::StreamRecord &record);
    /// Calls back once, immediately or after the responses of the other daemons.
    void find(const Dispatch::StreamName &stream, FindCallback callback);

    void onNotice(const StreamNotice &notice);
    void onRequest(const Base::VmId &sender, const StreamVersionRequest &request);
    std::size_t recordCount() const { return streams_.size(); }

private:
    void add(const Dispatch::StreamName &stream, const Dispatch::StreamRecord &record);
    std::vector<Base::VmId> recipientsOf(const Dispatch::StreamName &stream) const;
    std::vector<Base::VmId> keepersOf(const Dispatch::StreamName &stream) const;

    PeerLink &peers_;
    Telemetry::Metrics &metrics_;
    std::function<Base::Instant()> now_;
    Dispatch::StreamVersions streams_;
};

/// The controls through which requests use the versions; \a sharing must outlive them.
StreamControls streamControls(StreamVersionSharing &sharing);

} // namespace Proxy
