#pragma once

#include "requestplacer.h"
#include "serverprocesses.h"

#include <base/instant.h>
#include <base/types.h>

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>

namespace Dispatch {

/// Hash of what all attempts of a caller at one request have in common.
using StreamKey = Base::StrongNumber<struct StreamKeyTag, std::uint64_t>;

/// Identifies a stream by the attempt that brought its first event, by its key, or by both.
struct StreamName
{
    /// Empty if it is not known.
    std::string attempt;
    std::optional<StreamKey> key;

    bool operator==(const StreamName &) const = default;
};

/// What is known about the first event of a stream.
struct StreamRecord
{
    Base::SoftwareVersion version;
    /// The server that began the stream; its id is empty if it is not known.
    ServerInstance server;
    /// Time since the first event.
    Base::Duration age{};
    /// Time from the opening of the connection to the server until the first event.
    Base::Duration openBefore{};
    /// Whether that connection led to the server instance, as known at the first event.
    ProcessCertainty certainty = ProcessCertainty::Probable;

    bool operator==(const StreamRecord &) const = default;
};

struct UnknownStream
{
    bool operator==(const UnknownStream &) const = default;
};

/// The key belongs to streams of several versions.
struct AmbiguousStream
{
    bool operator==(const AmbiguousStream &) const = default;
};

using StreamFinding = std::variant<UnknownStream, AmbiguousStream, StreamRecord>;

/// Combines what two daemons know about a stream. Of two records, the less certain one is kept, as
/// they may be of two streams with one key, and else the newer one.
StreamFinding combined(const StreamFinding &a, const StreamFinding &b);

/// The software version of the server that began each recent stream.
class StreamVersions
{
public:
    struct Settings
    {
        /// Callers resume a stream within their deadline for the whole request.
        Base::Duration retention = std::chrono::seconds(60);
        std::size_t maxStreams = 16'384;
    };

    explicit StreamVersions(Settings settings)
        : settings_(settings)
    {}

    /// The first record of an attempt is kept.
    void add(const StreamName &stream, const StreamRecord &record, Base::Instant now);
    /// Searches by the attempt if the name has one, otherwise by the key.
    StreamFinding find(const StreamName &stream, Base::Instant now) const;
    std::size_t size() const { return entries_.size(); }

private:
    /// Position of an entry in the order of all that were ever added.
    using Sequence = std::uint64_t;

    struct Entry
    {
        StreamName stream;
        StreamRecord record;
        Base::Instant beganAt;
    };

    /// The entries of one key and one version.
    struct VersionEntries
    {
        std::size_t count = 0;
        Sequence newest = 0;
        /// The newest one whose process was not certain.
        std::optional<Sequence> uncertain;
    };

    void removeOldest();
    StreamFinding findByKey(StreamKey key, Base::Instant now) const;
    StreamFinding recordAt(Sequence sequence, Base::Instant now) const;

    Settings settings_;
    /// Oldest first; the first one has the sequence number removed_.
    std::deque<Entry> entries_;
    Sequence removed_ = 0;
    std::unordered_map<std::string, Sequence> byAttempt_;
    std::unordered_map<StreamKey, std::map<Base::SoftwareVersion, VersionEntries>> byKey_;
};

} // namespace Dispatch
