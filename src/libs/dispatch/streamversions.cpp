#include "streamversions.h"

namespace Dispatch {

StreamFinding combined(const StreamFinding &a, const StreamFinding &b)
{
    if (std::holds_alternative<UnknownStream>(a)) {
        return b;
    }
    if (std::holds_alternative<UnknownStream>(b)) {
        return a;
    }
    const auto *first = std::get_if<StreamRecord>(&a);
    const auto *second = std::get_if<StreamRecord>(&b);
    if (!first || !second || first->version != second->version) {
        return AmbiguousStream{};
    }
    if (first->certainty != second->certainty) {
        return first->certainty > second->certainty ? a : b;
    }
    return first->age <= second->age ? a : b;
}

void StreamVersions::add(const StreamName &stream, const StreamRecord &record, Base::Instant now)
{
    const Sequence sequence = removed_ + entries_.size();
    if (!byAttempt_.emplace(stream.attempt, sequence).second) {
        return;
    }
    if (stream.key) {
        VersionEntries &same = byKey_[*stream.key][record.version];
        ++same.count;
        same.newest = sequence;
        if (record.certainty != ProcessCertainty::Certain) {
            same.uncertain = sequence;
        }
    }
    entries_.push_back({stream, record, now - record.age});
    while (entries_.size() > settings_.maxStreams
           || now - entries_.front().beganAt >= settings_.retention) {
        removeOldest();
        if (entries_.empty()) {
            return;
        }
    }
}

void StreamVersions::removeOldest()
{
    const Entry &oldest = entries_.front();
    byAttempt_.erase(oldest.stream.attempt);
    if (oldest.stream.key) {
        const auto versions = byKey_.find(*oldest.stream.key);
        const auto same = versions->second.find(oldest.record.version);
        if (--same->second.count == 0) {
            versions->second.erase(same);
        }
        if (versions->second.empty()) {
            byKey_.erase(versions);
        }
    }
    entries_.pop_front();
    ++removed_;
}

StreamFinding StreamVersions::find(const StreamName &stream, Base::Instant now) const
{
    if (stream.attempt.empty()) {
        return stream.key ? findByKey(*stream.key, now) : UnknownStream{};
    }
    const auto entry = byAttempt_.find(stream.attempt);
    return entry == byAttempt_.end() ? UnknownStream{} : recordAt(entry->second, now);
}

StreamFinding StreamVersions::findByKey(StreamKey key, Base::Instant now) const
{
    const auto versions = byKey_.find(key);
    if (versions == byKey_.end()) {
        return UnknownStream{};
    }
    StreamFinding finding;
    for (const auto &[version, entries] : versions->second) {
        finding = combined(finding, recordAt(entries.newest, now));
        if (entries.uncertain && *entries.uncertain >= removed_) {
            finding = combined(finding, recordAt(*entries.uncertain, now));
        }
    }
    return finding;
}

/// Entries are removed only when others are added, so they may have expired.
StreamFinding StreamVersions::recordAt(Sequence sequence, Base::Instant now) const
{
    const Entry &entry = entries_[static_cast<std::size_t>(sequence - removed_)];
    StreamRecord record = entry.record;
    record.age = now - entry.beganAt;
    return record.age >= settings_.retention ? StreamFinding() : record;
}

} // namespace Dispatch
