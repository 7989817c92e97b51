#include "witnessbuffer.h"

#include "codec.h"

namespace Journal {

namespace {

constexpr std::int64_t replyBytes = 1'000'000;

std::int64_t sizeOf(const Entry &entry)
{
    std::int64_t size = static_cast<std::int64_t>(sizeof(Entry));
    for (const Record &record : entry.records) {
        size += sizeBound(record).value();
    }
    return size;
}

} // namespace

WitnessBuffer::WitnessBuffer(Base::IncarnationId self, Base::Bytes capacity)
    : self_(std::move(self))
    , capacity_(capacity)
{}

WitnessAppendReply WitnessBuffer::append(const WitnessAppend &message)
{
    WitnessAppendReply reply{message.owner, message.witness};
    if (message.witness != self_) {
        reply.verdict = WitnessVerdict::WrongWitness;
        return reply;
    }
    Held &held = owners_[message.owner];
    if (held.isSealed) {
        reply.verdict = WitnessVerdict::Sealed;
        reply.heldThrough = held.heldThrough;
        return reply;
    }
    dropStored(held, message.storedThrough);
    reply.verdict = take(held, message.entries);
    reply.heldThrough = held.heldThrough;
    return reply;
}

void WitnessBuffer::dropStored(Held &held, EntrySequence storedThrough)
{
    if (storedThrough <= held.storedThrough) {
        return;
    }
    held.storedThrough = storedThrough;
    while (!held.entries.empty() && held.entries.front().sequence <= storedThrough) {
        heldBytes_ -= held.sizes.front();
        held.entries.pop_front();
        held.sizes.pop_front();
    }
    held.heldThrough = std::max(held.heldThrough, storedThrough);
}

WitnessVerdict WitnessBuffer::take(Held &held, const std::vector<Entry> &entries)
{
    for (const Entry &entry : entries) {
        if (entry.sequence <= held.heldThrough) {
            continue;
        }
        if (entry.sequence != held.heldThrough.next()) {
            return WitnessVerdict::Gap;
        }
        const Base::Bytes size(sizeOf(entry));
        if (heldBytes_ + size > capacity_) {
            return WitnessVerdict::Full;
        }
        held.entries.push_back(entry);
        held.sizes.push_back(size);
        held.heldThrough = entry.sequence;
        heldBytes_ += size;
    }
    return WitnessVerdict::Accepted;
}

std::optional<WitnessSealReply> WitnessBuffer::seal(const WitnessSeal &message)
{
    if (message.witness != self_) {
        return std::nullopt;
    }
    Held &held = owners_[message.owner];
    held.isSealed = true;
    WitnessSealReply reply{
        message.owner, message.witness, message.successor, held.storedThrough, held.heldThrough};
    std::int64_t size = 0;
    for (std::size_t i = 0; i < held.entries.size() && size < replyBytes; ++i) {
        if (held.entries[i].sequence < message.from) {
            continue;
        }
        reply.entries.push_back(held.entries[i]);
        size += held.sizes[i].value();
    }
    return reply;
}

void WitnessBuffer::forget(const Base::IncarnationId &owner)
{
    const auto found = owners_.find(owner);
    if (found == owners_.end()) {
        return;
    }
    for (const Base::Bytes size : found->second.sizes) {
        heldBytes_ -= size;
    }
    owners_.erase(found);
}

bool WitnessBuffer::isSealed(const Base::IncarnationId &owner) const
{
    const auto found = owners_.find(owner);
    return found != owners_.end() && found->second.isSealed;
}

} // namespace Journal
