#include "streamversionsharing.h"

#include <base/visitor.h>

#include <algorithm>

namespace Proxy {

namespace {

using Dispatch::StreamFinding;
using Dispatch::StreamName;
using Dispatch::StreamRecord;

/// With the daemon that forwards the stream, one copy is left after the loss of any two.
constexpr std::size_t peerCopies = 2;
constexpr std::size_t copiesOfKey = 2;

bool isUnknown(const StreamFinding &finding)
{
    return std::holds_alternative<Dispatch::UnknownStream>(finding);
}

/// One search; ends with the first record of the attempt, or with the last response.
struct Search
{
    std::size_t pending = 0;
    /// Streams of one key may differ, so that all responses count.
    bool isNamed = false;
    StreamFinding finding;
    StreamVersionSharing::FindCallback callback;
    bool isConfirmed = false;
    std::size_t silent = 0;

    /// Without a finding, the daemon did not respond.
    void add(const std::optional<StreamFinding> &response)
    {
        --pending;
        if (response) {
            isConfirmed = isConfirmed || !isUnknown(*response);
            finding = Dispatch::combined(finding, *response);
        } else {
            ++silent;
        }
        if (callback && (pending == 0 || (isNamed && isConfirmed))) {
            std::exchange(callback, nullptr)(result());
        }
    }

    /// The records of a key name an earlier stream if the later one is recorded elsewhere: in place
    /// of this daemon's own records, or at daemons that are all silent.
    StreamFinding result() const
    {
        const bool isComplete = isConfirmed && (isNamed || silent < copiesOfKey);
        const bool isRecord = std::holds_alternative<StreamRecord>(finding);
        return isRecord && !isComplete ? StreamFinding() : finding;
    }
};

std::string subjectOf(Dispatch::StreamKey key)
{
    return "stream " + std::to_string(key.value());
}

const char *nameOf(const StreamFinding &finding)
{
    return std::visit(Base::Visitor{[](const Dispatch::UnknownStream &) { return "unknown"; },
                                    [](const Dispatch::AmbiguousStream &) { return "ambiguous"; },
                                    [](const StreamRecord &) { return "found"; }},
                      finding);
}

} // namespace

StreamVersionSharing::StreamVersionSharing(PeerLink &peers,
                                           Telemetry::Metrics &metrics,
                                           std::function<Base::Instant()> now,
                                           Settings settings)
    : peers_(peers)
    , metrics_(metrics)
    , now_(std::move(now))
    , streams_(settings)
{}

void StreamVersionSharing::streamBegan(const StreamName &stream, const StreamRecord &record)
{
    add(stream, record);
    peers_.sendToEach(recipientsOf(stream), StreamNotice{stream, record});
}

void StreamVersionSharing::onNotice(const StreamNotice &notice)
{
    add(notice.stream, notice.record);
}

void StreamVersionSharing::add(const StreamName &stream, const StreamRecord &record)
{
    streams_.add(stream, record, now_());
    metrics_.gauge("marjoram_stream_records", "Streams whose software version this daemon keeps")
        .set(static_cast<double>(streams_.size()));
}

void StreamVersionSharing::onRequest(const Base::VmId &sender, const StreamVersionRequest &request)
{
    peers_.send(sender,
                StreamVersionResponse{request.number, streams_.find(request.stream, now_())});
}

/// At most four. The peers are ranked by the attempt, as in builds that know no keys. Without
/// record stores, peers that are ranked by the key find streams whose attempt is not named.
std::vector<Base::VmId> StreamVersionSharing::recipientsOf(const StreamName &stream) const
{
    std::vector<Base::VmId> recipients = peers_.keepersOf(stream.attempt);
    recipients.resize(std::min(recipients.size(), peerCopies));
    if (!stream.key) {
        return recipients;
    }
    const std::string subject = subjectOf(*stream.key);
    std::vector<Base::VmId> byKey = peers_.recordStoresOf(subject, copiesOfKey);
    if (byKey.empty()) {
        byKey = peers_.keepersOf(subject);
        byKey.resize(std::min(byKey.size(), copiesOfKey));
    }
    for (Base::VmId &vm : byKey) {
        if (std::find(recipients.begin(), recipients.end(), vm) == recipients.end()) {
            recipients.push_back(std::move(vm));
        }
    }
    return recipients;
}

std::vector<Base::VmId> StreamVersionSharing::keepersOf(const StreamName &stream) const
{
    std::vector<Base::VmId> keepers;
    if (!stream.attempt.empty()) {
        keepers = peers_.keepersOf(stream.attempt);
    }
    if (!stream.key) {
        return keepers;
    }
    const std::string subject = subjectOf(*stream.key);
    const std::vector<Base::VmId> stores = peers_.recordStoresOf(subject, copiesOfKey);
    keepers.insert(keepers.end(), stores.begin(), stores.end());
    if (stores.empty() && stream.attempt.empty()) {
        keepers = peers_.keepersOf(subject);
    }
    return keepers;
}

void StreamVersionSharing::find(const StreamName &stream, FindCallback callback)
{
    const bool isNamed = !stream.attempt.empty();
    const auto done = [this, callback = std::move(callback)](const StreamFinding &finding) {
        metrics_
            .counter("marjoram_stream_lookups_total",
                     "Searches for the software version of a resumed stream by result",
                     {{"result", nameOf(finding)}})
            .add();
        callback(finding);
    };
    const StreamFinding known = streams_.find(stream, now_());
    const std::vector<Base::VmId> keepers = keepersOf(stream);
    if (keepers.empty() || (isNamed && !isUnknown(known))) {
        done(known);
        return;
    }
    const auto search = std::make_shared<Search>(Search{keepers.size(), isNamed, known, done});
    for (const Base::VmId &keeper : keepers) {
        const RequestNumber number = peers_.nextRequestNumber();
        peers_.sendRequest(
            keeper, number, StreamVersionRequest{number, stream}, [search](const PeerBody *body) {
                const auto *response = body ? std::get_if<StreamVersionResponse>(body) : nullptr;
                search->add(response ? std::optional(response->finding) : std::nullopt);
            });
    }
}

StreamControls streamControls(StreamVersionSharing &sharing)
{
    StreamControls controls;
    controls.began = [&sharing](const auto &stream, const auto &record) {
        sharing.streamBegan(stream, record);
    };
    controls.find = [&sharing](const auto &stream, auto callback) {
        sharing.find(stream, std::move(callback));
    };
    return controls;
}

} // namespace Proxy
