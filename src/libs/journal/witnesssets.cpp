#include "witnesssets.h"

#include <algorithm>

namespace Journal {

namespace {

constexpr Base::Bytes maxMessageBytes{1'000'000};
// A witness that stays silent for this many repeats does not count on for commits.
constexpr int silentRepeats = 3;
constexpr int maxTrims = 10;

} // namespace

WitnessSets::WitnessSets(Base::IncarnationId owner, Base::Duration retryInterval)
    : owner_(std::move(owner))
    , retryInterval_(retryInterval)
{}

void WitnessSets::add(const WitnessSet &witnesses)
{
    if (sets_.back() == witnesses) {
        return;
    }
    sets_.push_back(witnesses);
    for (const Base::IncarnationId &witness : witnesses) {
        progress_.try_emplace(witness);
    }
}

void WitnessSets::confirm(const WitnessSet &witnesses, Base::SegmentNumber barrier)
{
    const auto latest = std::find(sets_.rbegin(), sets_.rend(), witnesses);
    const bool isChange = latest != sets_.rend() && std::next(latest) != sets_.rend();
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
    const auto latest = std::find(sets_.rbegin(), sets_.rend(), *confirmed_);
    sets_.erase(sets_.begin(), std::prev(latest.base()));
    confirmed_.reset();
    dropUnused();
}

void WitnessSets::dropUnused()
{
    std::erase_if(progress_, [this](const auto &entry) {
        return std::none_of(sets_.begin(), sets_.end(), [&](const WitnessSet &set) {
            return set.contains(entry.first);
        });
    });
}

std::optional<EntrySequence> WitnessSets::heldThrough() const
{
    const bool hasEmptySet = std::any_of(
        sets_.begin(), sets_.end(), [](const WitnessSet &set) { return set.empty(); });
    if (hasEmptySet) {
        return std::nullopt;
    }
    const auto least
        = std::min_element(progress_.begin(), progress_.end(), [](const auto &a, const auto &b) {
              return a.second.heldThrough < b.second.heldThrough;
          });
    return least->second.heldThrough;
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
    for (const UnstoredEntry &unstored : entries) {
        if (unstored.entry.sequence <= after) {
            continue;
        }
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
    progress.unansweredSince.reset();
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
