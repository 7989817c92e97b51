#include "slotlendertable.h"

#include <algorithm>

namespace Dispatch {

SlotLenderTable::SlotLenderTable(SlotLenderSettings settings)
    : settings_(settings)
{}

void SlotLenderTable::acquired(const Base::ServerId &server,
                               std::uint32_t slots,
                               Base::Epoch epoch,
                               Base::Instant now)
{
    const auto it = lenders_.try_emplace(server, server, slots, settings_).first;
    it->second.configured(slots, false, now);
    it->second.acquired(epoch, now);
}

void SlotLenderTable::lost(const Base::ServerId &server)
{
    lenders_.erase(server);
}

void SlotLenderTable::configured(const Base::ServerId &server,
                                 std::uint32_t slots,
                                 bool isLeaving,
                                 Base::Instant now)
{
    const auto it = lenders_.find(server);
    if (it != lenders_.end()) {
        it->second.configured(slots, isLeaving, now);
        collect(it->second);
    }
}

void SlotLenderTable::requested(const SlotRequest &request, Base::Instant now)
{
    const auto it = lenders_.find(request.server);
    if (it != lenders_.end()) {
        it->second.requested(request, now);
        collect(it->second);
    }
}

void SlotLenderTable::returned(const Base::IncarnationId &borrower,
                               const SlotReturn &slot,
                               Base::Instant now)
{
    const auto it = lenders_.find(slot.server);
    if (it != lenders_.end()) {
        it->second.returned(borrower, slot, now);
        collect(it->second);
    }
}

void SlotLenderTable::borrowerGone(const Base::IncarnationId &borrower, Base::Instant now)
{
    for (auto &[server, lender] : lenders_) {
        lender.borrowerGone(borrower, now);
        collect(lender);
    }
}

void SlotLenderTable::tick(Base::Instant now)
{
    for (auto &[server, lender] : lenders_) {
        const std::optional<Base::Instant> due = lender.nextWakeUp();
        if (due && *due <= now) {
            lender.tick(now);
            collect(lender);
        }
    }
}

std::optional<Base::Instant> SlotLenderTable::nextWakeUp() const
{
    std::optional<Base::Instant> next;
    for (const auto &[server, lender] : lenders_) {
        if (const auto due = lender.nextWakeUp()) {
            next = next ? std::min(*next, *due) : *due;
        }
    }
    return next;
}

std::vector<SendSlotGrant> SlotLenderTable::takeActions()
{
    return std::exchange(actions_, {});
}

void SlotLenderTable::collect(SlotLender &lender)
{
    for (SendSlotGrant &action : lender.takeActions()) {
        actions_.push_back(std::move(action));
    }
}

} // namespace Dispatch
