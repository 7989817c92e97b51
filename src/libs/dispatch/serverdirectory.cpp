#include "serverdirectory.h"

#include <algorithm>
#include <utility>

namespace Dispatch {

namespace {

bool contains(const std::vector<ListedServer> &list, const Base::ServerId &id)
{
    return std::any_of(
        list.begin(), list.end(), [&](const ListedServer &each) { return each.server.id == id; });
}

/// Two servers at one address: the entry that lapsed is the older one, and its server is gone.
bool hasAddress(const std::vector<ListedServer> &list, const std::string &address)
{
    return std::any_of(list.begin(), list.end(), [&](const ListedServer &each) {
        return each.server.address == address;
    });
}

} // namespace

void ServerDirectory::storeLost(Base::Instant now)
{
    storeLostAt_ = now;
}

/// Entries have the grace to come back from the store's return on, not from the next change.
void ServerDirectory::confirmed(Base::Instant asOf, Base::Instant now)
{
    if (storeLostAt_ && asOf > *storeLostAt_) {
        storeLostAt_.reset();
        graceUntil_ = now + expiryGrace_;
    }
}

bool ServerDirectory::listed(std::vector<ListedServer> list, Base::Instant now)
{
    if (std::exchange(storeLostAt_, std::nullopt)) {
        graceUntil_ = now + expiryGrace_;
    }
    const bool isGrace = graceUntil_ && now < *graceUntil_;
    std::map<Base::ServerId, Base::Instant> expired;
    const std::size_t listedCount = list.size();
    for (const ListedServer &known : servers_) {
        const bool isListed = contains(list, known.server.id);
        const bool isReplaced = hasAddress(list, known.server.address);
        const bool isKept = isGrace && !known.server.isLeaving;
        if (!isListed && !isReplaced && isKept) {
            expired[known.server.id] = *graceUntil_;
        }
    }
    for (const ListedServer &known : servers_) {
        if (expired.contains(known.server.id)) {
            list.push_back(known);
        }
    }
    if (listedCount != list.size()) {
        std::sort(list.begin(), list.end(), [](const ListedServer &a, const ListedServer &b) {
            return a.server.id < b.server.id;
        });
    }
    expired_ = std::move(expired);
    const bool isChanged = !isKnown_ || list != servers_;
    isKnown_ = true;
    servers_ = std::move(list);
    return isChanged;
}

bool ServerDirectory::expire(Base::Instant now)
{
    const std::size_t before = servers_.size();
    std::erase_if(servers_, [&](const ListedServer &each) {
        const auto expired = expired_.find(each.server.id);
        return expired != expired_.end() && now >= expired->second;
    });
    std::erase_if(expired_, [&](const auto &entry) { return now >= entry.second; });
    return servers_.size() != before;
}

std::optional<Base::Instant> ServerDirectory::nextExpiry() const
{
    std::optional<Base::Instant> next;
    for (const auto &[id, until] : expired_) {
        next = next ? std::min(*next, until) : until;
    }
    return next;
}

} // namespace Dispatch
