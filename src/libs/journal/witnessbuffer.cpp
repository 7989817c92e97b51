#include "witnessbuffer.h"

#include "codec.h"

namespace Journal {

namespace {

constexpr std::int64_t maxReplyBytes = 1'000'000;

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
    OwnerBuffer &buffer = owners_[message.owner];
    if (buffer.isSealed) {
        reply.verdict = WitnessVerdict::Sealed;
        reply.heldThrough = buffer.heldThrough;
        return reply;
    }
    dropStored(buffer, message.storedThrough);
    reply.verdict = acceptEntries(buffer, message.entries);
    reply.heldThrough = buffer.heldThrough;
    return reply;
}

void WitnessBuffer::dropStored(OwnerBuffer &buffer, EntrySequence storedThrough)
{
    if (storedThrough <= buffer.storedThrough) {
        return;
    }
    buffer.storedThrough = storedThrough;
    while (!buffer.entries.empty() && buffer.entries.front().sequence <= storedThrough) {
        heldBytes_ -= buffer.sizes.front();
        buffer.entries.pop_front();
        buffer.sizes.pop_front();
    }
    buffer.heldThrough = std::max(buffer.heldThrough, storedThrough);
}

WitnessVerdict WitnessBuffer::acceptEntries(OwnerBuffer &buffer, const std::vector<Entry> &entries)
{
    for (const Entry &entry : entries) {
        if (entry.sequence <= buffer.heldThrough) {
            continue;
        }
        if (entry.sequence != buffer.heldThrough.next()) {
            return WitnessVerdict::Gap;
        }
        const Base::Bytes size(sizeOf(entry));
        if (heldBytes_ + size > capacity_) {
            return WitnessVerdict::Full;
        }
        buffer.entries.push_back(entry);
        buffer.sizes.push_back(size);
        buffer.heldThrough = entry.sequence;
        heldBytes_ += size;
    }
    return WitnessVerdict::Accepted;
}

std::optional<WitnessSealReply> WitnessBuffer::seal(const WitnessSeal &message)
{
    if (message.witness != self_) {
        return std::nullopt;
    }
    OwnerBuffer &buffer = owners_[message.owner];
    buffer.isSealed = true;
    WitnessSealReply reply{message.owner,
                           message.witness,
                           message.successor,
                           buffer.storedThrough,
                           buffer.heldThrough};
    std::int64_t size = 0;
    for (std::size_t i = 0; i < buffer.entries.size() && size < maxReplyBytes; ++i) {
        if (buffer.entries[i].sequence < message.from) {
            continue;
        }
        reply.entries.push_back(buffer.entries[i]);
        size += buffer.sizes[i].value();
    }
    return reply;
}

void WitnessBuffer::removeOwner(const Base::IncarnationId &owner)
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
