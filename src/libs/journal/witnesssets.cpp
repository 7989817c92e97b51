#include "witnesssets.h"

#include <algorithm>

namespace Journal {

namespace {

constexpr Base::Bytes maxMessageBytes{1'000'000};
// A witness that does not answer for this many retry intervals is not relied on for commits.
constexpr int maxUnansweredIntervals = 3;
constexpr int maxUnansweredTrims = 10;

} // namespace

std::size_t indexAfter(const std::deque<UnstoredEntry> &entries, EntrySequence sequence)
{
    if (entries.empty() || sequence < entries.front().entry.sequence) {
        return 0;
    }
    const std::uint64_t offset = sequence.next().value() - entries.front().entry.sequence.value();
    return std::min<std::uint64_t>(offset, entries.size());
}

WitnessSets::WitnessSets(Base::IncarnationId owner, Base::Duration retryInterval)
    : owner_(std::move(owner))
    , retryInterval_(retryInterval)
{}

void WitnessSets::add(const WitnessSet &witnesses, EntrySequence committedThrough)
{
    if (sets_.back().witnesses == witnesses) {
        return;
    }
    sets_.push_back({witnesses, committedThrough, false});
    for (const Base::IncarnationId &witness : witnesses) {
        progress_.try_emplace(witness);
    }
}

void WitnessSets::confirm(const WitnessSet &witnesses, Base::SegmentNumber switchoverSegment)
{
    const auto set = findLatest(witnesses);
    const bool isChange = set != sets_.end() && set != sets_.begin() && set->isReady;
    if (isChange && confirmed_ != witnesses) {
        confirmed_ = witnesses;
        switchoverSegment_ = switchoverSegment;
    }
}

bool WitnessSets::needsSegment(Base::SegmentNumber lastAssigned) const
{
    return confirmed_ && lastAssigned < switchoverSegment_;
}

void WitnessSets::segmentStored(Base::SegmentNumber number)
{
    if (!confirmed_ || number < switchoverSegment_) {
        return;
    }
    sets_.erase(sets_.begin(), findLatest(*confirmed_));
    confirmed_.reset();
    dropUnusedWitnesses();
}

WitnessSets::Sets::iterator WitnessSets::findLatest(const WitnessSet &witnesses)
{
    const auto found = std::find_if(sets_.rbegin(), sets_.rend(), [&](const ActiveSet &set) {
        return set.witnesses == witnesses;
    });
    return found == sets_.rend() ? sets_.end() : std::prev(found.base());
}

EntrySequence WitnessSets::heldBy(const WitnessSet &witnesses) const
{
    std::optional<EntrySequence> least;
    for (const Base::IncarnationId &witness : witnesses) {
        const EntrySequence held = progress_.at(witness).heldThrough;
        least = least ? std::min(*least, held) : held;
    }
    return least.value_or(EntrySequence());
}

std::vector<WitnessSet> WitnessSets::takeReady(EntrySequence storedThrough)
{
    // A successor may read the new lease and seal only a new witness, so entries committed at
    // earlier witnesses must be held by the new one, or stored, before the lease names it.
    std::vector<WitnessSet> ready;
    for (ActiveSet &set : sets_) {
        const EntrySequence present = std::max(storedThrough, heldBy(set.witnesses));
        if (!set.isReady && present >= set.committedBefore) {
            set.isReady = true;
            ready.push_back(set.witnesses);
        }
    }
    return ready;
}

void WitnessSets::dropUnusedWitnesses()
{
    std::erase_if(progress_, [this](const auto &entry) {
        return std::none_of(sets_.begin(), sets_.end(), [&](const ActiveSet &set) {
            return set.witnesses.contains(entry.first);
        });
    });
}

std::optional<EntrySequence> WitnessSets::heldThrough() const
{
    std::optional<EntrySequence> least;
    for (const ActiveSet &set : sets_) {
        if (set.witnesses.empty()) {
            return std::nullopt;
        }
        const EntrySequence held = heldBy(set.witnesses);
        least = least ? std::min(*least, held) : held;
    }
    return least;
}

bool WitnessSets::isResponsive(Base::Instant now) const
{
    return std::all_of(progress_.begin(), progress_.end(), [&](const auto &entry) {
        const std::optional<Base::Instant> &since = entry.second.unansweredSince;
        return !since || now - *since < retryInterval_ * maxUnansweredIntervals;
    });
}

void WitnessSets::send(const std::deque<UnstoredEntry> &entries,
                       EntrySequence storedThrough,
                       Base::Instant now,
                       std::vector<SendMessage> &messages)
{
    for (auto &[witness, progress] : progress_) {
        if (progress.isAwaitingReply && now < progress.retryAt) {
            continue;
        }
        std::vector<Entry> missing = missingEntries(entries, progress.heldThrough);
        if (missing.empty()) {
            progress.isAwaitingReply = false;
            continue;
        }
        sendAppend(
            witness, progress, {owner_, witness, storedThrough, std::move(missing)}, now, messages);
    }
}

void WitnessSets::trim(EntrySequence storedThrough,
                       Base::Instant now,
                       std::vector<SendMessage> &messages)
{
    for (auto &[witness, progress] : progress_) {
        const bool isDue = !progress.isAwaitingReply || now >= progress.retryAt;
        const bool holdsStored = progress.acknowledgedStored < progress.heldThrough
                                 && progress.heldThrough <= storedThrough;
        if (!holdsStored || progress.unansweredTrims >= maxUnansweredTrims) {
            progress.isAwaitingReply = progress.isAwaitingReply && !isDue;
            continue;
        }
        if (isDue) {
            ++progress.unansweredTrims;
            sendAppend(witness, progress, {owner_, witness, storedThrough, {}}, now, messages);
        }
    }
}

std::vector<Entry> WitnessSets::missingEntries(const std::deque<UnstoredEntry> &entries,
                                               EntrySequence after)
{
    std::vector<Entry> result;
    Base::Bytes size;
    for (std::size_t i = indexAfter(entries, after); i < entries.size(); ++i) {
        const UnstoredEntry &unstored = entries[i];
        if (!result.empty() && size + unstored.size > maxMessageBytes) {
            break;
        }
        result.push_back(unstored.entry);
        size += unstored.size;
    }
    return result;
}

void WitnessSets::sendAppend(const Base::IncarnationId &witness,
                             Progress &progress,
                             WitnessAppend message,
                             Base::Instant now,
                             std::vector<SendMessage> &messages)
{
    progress.sentStored = message.storedThrough;
    progress.isAwaitingReply = true;
    progress.retryAt = now + retryInterval_;
    if (!progress.unansweredSince) {
        progress.unansweredSince = now;
    }
    messages.push_back({witness, std::move(message)});
}

WitnessVerdict WitnessSets::handle(const WitnessAppendReply &reply)
{
    const auto found = progress_.find(reply.witness);
    if (reply.owner != owner_ || found == progress_.end()) {
        return WitnessVerdict::WrongWitness;
    }
    if (reply.verdict == WitnessVerdict::WrongWitness) {
        return reply.verdict;
    }
    Progress &progress = found->second;
    const bool isGap = reply.verdict == WitnessVerdict::Gap;
    progress.heldThrough
        = isGap ? reply.heldThrough : std::max(progress.heldThrough, reply.heldThrough);
    progress.acknowledgedStored = std::max(progress.acknowledgedStored, progress.sentStored);
    if (reply.verdict != WitnessVerdict::Full) {
        progress.unansweredSince.reset();
    }
    progress.unansweredTrims = 0;
    // Entries are resent to a full witness only after the retry interval.
    progress.isAwaitingReply = reply.verdict == WitnessVerdict::Full;
    return reply.verdict;
}

std::optional<Base::Instant> WitnessSets::nextWakeUp() const
{
    std::optional<Base::Instant> earliest;
    for (const auto &[witness, progress] : progress_) {
        if (progress.isAwaitingReply) {
            earliest = earliest ? std::min(*earliest, progress.retryAt) : progress.retryAt;
        }
    }
    return earliest;
}

} // namespace Journal
