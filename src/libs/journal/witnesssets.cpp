#include "witnesssets.h"

#include <algorithm>

namespace Journal {

namespace {

constexpr Base::Bytes maxMessageBytes{1'000'000};
// A witness that stays silent for this many repeats does not count on for commits.
constexpr int silentRepeats = 3;
constexpr int maxTrims = 10;

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

void WitnessSets::confirm(const WitnessSet &witnesses, Base::SegmentNumber barrier)
{
    const auto set = latest(witnesses);
    const bool isChange = set != sets_.end() && set != sets_.begin() && set->isReady;
    if (isChange && confirmed_ != witnesses) {
        confirmed_ = witnesses;
        barrier_ = barrier;
    }
}

bool WitnessSets::needsSegment(Base::SegmentNumber lastAssigned) const
{
    return confirmed_ && lastAssigned < barrier_;
}

void WitnessSets::segmentStored(Base::SegmentNumber number)
{
    if (!confirmed_ || number < barrier_) {
        return;
    }
    sets_.erase(sets_.begin(), latest(*confirmed_));
    confirmed_.reset();
    dropUnused();
}

WitnessSets::Sets::iterator WitnessSets::latest(const WitnessSet &witnesses)
{
    const auto found = std::find_if(sets_.rbegin(), sets_.rend(), [&](const SetInForce &set) {
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
    // A successor may read the new lease and seal only a new witness, so what earlier witnesses
    // committed has to be there too before the lease names it.
    std::vector<WitnessSet> ready;
    for (SetInForce &set : sets_) {
        const EntrySequence present = std::max(storedThrough, heldBy(set.witnesses));
        if (!set.isReady && present >= set.committedBefore) {
            set.isReady = true;
            ready.push_back(set.witnesses);
        }
    }
    return ready;
}

void WitnessSets::dropUnused()
{
    std::erase_if(progress_, [this](const auto &entry) {
        return std::none_of(sets_.begin(), sets_.end(), [&](const SetInForce &set) {
            return set.witnesses.contains(entry.first);
        });
    });
}

std::optional<EntrySequence> WitnessSets::heldThrough() const
{
    std::optional<EntrySequence> least;
    for (const SetInForce &set : sets_) {
        if (set.witnesses.empty()) {
            return std::nullopt;
        }
        const EntrySequence held = heldBy(set.witnesses);
        least = least ? std::min(*least, held) : held;
    }
    return least;
}

bool WitnessSets::isAnswering(Base::Instant now) const
{
    return std::all_of(progress_.begin(), progress_.end(), [&](const auto &entry) {
        const std::optional<Base::Instant> &since = entry.second.unansweredSince;
        return !since || now - *since < retryInterval_ * silentRepeats;
    });
}

void WitnessSets::send(const std::deque<UnstoredEntry> &entries,
                       EntrySequence storedThrough,
                       Base::Instant now,
                       std::vector<SendMessage> &messages)
{
    for (auto &[witness, progress] : progress_) {
        if (progress.isWaiting && now < progress.repeatAt) {
            continue;
        }
        std::vector<Entry> lacking = missing(entries, progress.heldThrough);
        if (lacking.empty()) {
            progress.isWaiting = false;
            continue;
        }
        post(
            witness, progress, {owner_, witness, storedThrough, std::move(lacking)}, now, messages);
    }
}

void WitnessSets::trim(EntrySequence storedThrough,
                       Base::Instant now,
                       std::vector<SendMessage> &messages)
{
    for (auto &[witness, progress] : progress_) {
        const bool isDue = !progress.isWaiting || now >= progress.repeatAt;
        const bool holdsStored
            = progress.toldStored < progress.heldThrough && progress.heldThrough <= storedThrough;
        if (!holdsStored || progress.trims >= maxTrims) {
            progress.isWaiting = progress.isWaiting && !isDue;
            continue;
        }
        if (isDue) {
            ++progress.trims;
            post(witness, progress, {owner_, witness, storedThrough, {}}, now, messages);
        }
    }
}

std::vector<Entry> WitnessSets::missing(const std::deque<UnstoredEntry> &entries,
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

void WitnessSets::post(const Base::IncarnationId &witness,
                       Progress &progress,
                       WitnessAppend message,
                       Base::Instant now,
                       std::vector<SendMessage> &messages)
{
    progress.sentStored = message.storedThrough;
    progress.isWaiting = true;
    progress.repeatAt = now + retryInterval_;
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
    progress.toldStored = std::max(progress.toldStored, progress.sentStored);
    if (reply.verdict != WitnessVerdict::Full) {
        progress.unansweredSince.reset();
    }
    progress.trims = 0;
    // A full witness is asked again after the interval, not at once.
    progress.isWaiting = reply.verdict == WitnessVerdict::Full;
    return reply.verdict;
}

std::optional<Base::Instant> WitnessSets::nextWakeUp() const
{
    std::optional<Base::Instant> earliest;
    for (const auto &[witness, progress] : progress_) {
        if (progress.isWaiting) {
            earliest = earliest ? std::min(*earliest, progress.repeatAt) : progress.repeatAt;
        }
    }
    return earliest;
}

} // namespace Journal
