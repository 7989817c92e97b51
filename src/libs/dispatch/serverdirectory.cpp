#include "serverdirectory.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace Dispatch {

namespace {

bool contains(const std::vector<ListedServer> &list, const Base::ServerId &id)
{
    return std::any_of(
        list.begin(), list.end(), [&](const ListedServer &each) { return each.server.id == id; });
}

/// A missing entry with the address of a listed server is outdated: its server has been replaced.
bool hasAddress(const std::vector<ListedServer> &list, const std::string &address)
{
    return std::any_of(list.begin(), list.end(), [&](const ListedServer &each) {
        return each.server.address == address;
    });
}

bool hasChanged(const ListedServer &before, const ListedServer &after)
{
    const bool isCountdown = before.coldLeft && after.coldLeft
                             && *after.coldLeft > Base::Duration::zero()
                             && *after.coldLeft <= *before.coldLeft;
    if (!isCountdown) {
        return before != after;
    }
    return std::tie(before.server, before.startedAt, before.version)
           != std::tie(after.server, after.startedAt, after.version);
}

} // namespace

bool hasChanged(const std::vector<ListedServer> &before, const std::vector<ListedServer> &after)
{
    return !std::equal(
        before.begin(),
        before.end(),
        after.begin(),
        after.end(),
        [](const ListedServer &a, const ListedServer &b) { return !hasChanged(a, b); });
}

void ServerDirectory::storeReadFailed(Base::Instant now)
{
    storeReadFailedAt_ = now;
}

/// The grace period starts when the store is available again, not with the next change of the list.
void ServerDirectory::listConfirmed(Base::Instant asOf, Base::Instant now)
{
    if (storeReadFailedAt_ && asOf > *storeReadFailedAt_) {
        storeReadFailedAt_.reset();
        graceUntil_ = now + expiryGrace_;
    }
}

bool ServerDirectory::applyList(std::vector<ListedServer> list, Base::Instant now)
{
    if (std::exchange(storeReadFailedAt_, std::nullopt)) {
        graceUntil_ = now + expiryGrace_;
    }
    const bool isGrace = graceUntil_ && now < *graceUntil_;
    std::map<Base::ServerId, Base::Instant> keptUntil;
    const std::size_t listedCount = list.size();
    for (const ListedServer &known : servers_) {
        const bool isListed = contains(list, known.server.id);
        const bool isReplaced = hasAddress(list, known.server.address);
        const bool isKept = isGrace && !known.server.isLeaving;
        if (!isListed && !isReplaced && isKept) {
            keptUntil[known.server.id] = *graceUntil_;
        }
    }
    for (const ListedServer &known : servers_) {
        if (keptUntil.contains(known.server.id)) {
            list.push_back(known);
        }
    }
    if (listedCount != list.size()) {
        std::sort(list.begin(), list.end(), [](const ListedServer &a, const ListedServer &b) {
            return a.server.id < b.server.id;
        });
    }
    keptUntil_ = std::move(keptUntil);
    const bool isChanged = !isKnown_ || hasChanged(servers_, list);
    isKnown_ = true;
    servers_ = std::move(list);
    return isChanged;
}

bool ServerDirectory::removeExpired(Base::Instant now)
{
    const std::size_t before = servers_.size();
    std::erase_if(servers_, [&](const ListedServer &each) {
        const auto entry = keptUntil_.find(each.server.id);
        return entry != keptUntil_.end() && now >= entry->second;
    });
    std::erase_if(keptUntil_, [&](const auto &entry) { return now >= entry.second; });
    return servers_.size() != before;
}

std::optional<Base::Instant> ServerDirectory::nextExpiry() const
{
    std::optional<Base::Instant> next;
    for (const auto &[id, until] : keptUntil_) {
        next = next ? std::min(*next, until) : until;
    }
    return next;
}

} // namespace Dispatch
