#include "prefixcache.h"

#include <algorithm>

namespace Fakes {

namespace {

constexpr std::size_t keptEvents = 10'000;

} // namespace

std::int64_t PrefixCache::match(const std::string &program, const std::vector<TokenHash> &context)
{
    const auto entry = position(program);
    if (entry == entries_.end()) {
        return 0;
    }
    entries_.splice(entries_.begin(), entries_, entry);
    const auto &kept = entry->context;
    const auto end = std::mismatch(kept.begin(), kept.end(), context.begin(), context.end());
    return end.first - kept.begin();
}

void PrefixCache::store(const std::string &program,
                        std::vector<TokenHash> context,
                        std::int64_t nowMs)
{
    const auto present = position(program);
    if (present != entries_.end()) {
        tokens_ -= static_cast<std::int64_t>(present->context.size());
        entries_.erase(present);
    }
    const auto size = static_cast<std::int64_t>(context.size());
    if (size > capacity_) {
        return;
    }
    while (tokens_ + size > capacity_) {
        remove(std::prev(entries_.end()), "evicted", nowMs);
    }
    tokens_ += size;
    entries_.push_front({program, std::move(context)});
    note("stored", program, size, nowMs);
}

bool PrefixCache::release(const std::string &program, std::int64_t nowMs)
{
    const auto entry = position(program);
    if (entry == entries_.end()) {
        return false;
    }
    remove(entry, "released", nowMs);
    return true;
}

const std::vector<TokenHash> *PrefixCache::find(const std::string &program) const
{
    for (const Entry &entry : entries_) {
        if (entry.program == program) {
            return &entry.context;
        }
    }
    return nullptr;
}

std::vector<std::string> PrefixCache::programs() const
{
    std::vector<std::string> names;
    for (const Entry &entry : entries_) {
        names.push_back(entry.program);
    }
    return names;
}

std::list<PrefixCache::Entry>::iterator PrefixCache::position(const std::string &program)
{
    return std::find_if(entries_.begin(), entries_.end(), [&](const Entry &entry) {
        return entry.program == program;
    });
}

void PrefixCache::remove(std::list<Entry>::iterator entry,
                         const std::string &type,
                         std::int64_t nowMs)
{
    const auto size = static_cast<std::int64_t>(entry->context.size());
    tokens_ -= size;
    note(type, entry->program, size, nowMs);
    entries_.erase(entry);
}

void PrefixCache::note(const std::string &type,
                       const std::string &program,
                       std::int64_t tokens,
                       std::int64_t nowMs)
{
    events_.push_back({nextSequence_++, type, program, tokens, nowMs});
    if (events_.size() > keptEvents) {
        events_.pop_front();
    }
}

} // namespace Fakes
