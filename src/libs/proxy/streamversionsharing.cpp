#include "streamversionsharing.h"

namespace Proxy {

namespace {

/// One search; ends with the first daemon that knows the stream, or with the last response.
struct Search
{
    std::size_t pending = 0;
    StreamVersionSharing::FindCallback callback;

    void end(const std::optional<Base::SoftwareVersion> &version)
    {
        if (auto done = std::exchange(callback, nullptr)) {
            done(version);
        }
    }
};

} // namespace

StreamVersionSharing::StreamVersionSharing(PeerLink &peers, std::function<Base::Instant()> now)
    : peers_(peers)
    , now_(std::move(now))
    , streams_({})
{}

void StreamVersionSharing::streamBegan(const std::string &attempt,
                                       const Base::SoftwareVersion &version)
{
    streams_.add(attempt, version, now_());
    peers_.sendToKeepers(attempt, StreamNotice{attempt, version});
}

void StreamVersionSharing::onNotice(const StreamNotice &notice)
{
    streams_.add(notice.attempt, notice.version, now_());
}

void StreamVersionSharing::onRequest(const Base::VmId &sender, const StreamVersionRequest &request)
{
    peers_.send(sender, StreamVersionResponse{request.number, streams_.find(request.attempt)});
}

void StreamVersionSharing::find(const std::string &attempt, FindCallback callback)
{
    const auto known = streams_.find(attempt);
    const std::vector<Base::VmId> keepers = peers_.keepersOf(attempt);
    if (known || keepers.empty()) {
        callback(known);
        return;
    }
    const auto search = std::make_shared<Search>(Search{keepers.size(), std::move(callback)});
    for (const Base::VmId &keeper : keepers) {
        const RequestNumber number = peers_.nextRequestNumber();
        peers_.sendRequest(
            keeper, number, StreamVersionRequest{number, attempt}, [search](const PeerBody *body) {
                --search->pending;
                const auto *response = body ? std::get_if<StreamVersionResponse>(body) : nullptr;
                if (response && response->version) {
                    search->end(response->version);
                } else if (search->pending == 0) {
                    search->end({});
                }
            });
    }
}

StreamControls streamControls(StreamVersionSharing &sharing)
{
    StreamControls controls;
    controls.began = [&sharing](const auto &attempt, const Base::SoftwareVersion &version) {
        sharing.streamBegan(attempt, version);
    };
    controls.find = [&sharing](const auto &attempt, auto callback) {
        sharing.find(attempt, std::move(callback));
    };
    return controls;
}

} // namespace Proxy
