#pragma once

#include <base/instant.h>
#include <base/types.h>

#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

namespace Dispatch {

/// The software version of the server that began each recent stream, by the id of the caller's
/// attempt that brought the first event.
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

    /// The first version of a stream is kept.
    void add(const std::string &attempt, const Base::SoftwareVersion &version, Base::Instant now);
    std::optional<Base::SoftwareVersion> find(const std::string &attempt) const;
    std::size_t size() const { return versions_.size(); }

private:
    struct Entry
    {
        std::string attempt;
        Base::Instant addedAt;
    };

    Settings settings_;
    /// Oldest first.
    std::deque<Entry> entries_;
    std::unordered_map<std::string, Base::SoftwareVersion> versions_;
};

} // namespace Dispatch
