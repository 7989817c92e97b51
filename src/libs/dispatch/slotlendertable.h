#pragma once

#include "slotlender.h"

namespace Dispatch {

/// The lenders of all engines whose partitions this daemon owns.
class SlotLenderTable
{
public:
    explicit SlotLenderTable(SlotLenderSettings settings);

    void acquired(const Base::ServerId &server,
                  std::uint32_t slots,
                  Base::Epoch epoch,
                  Base::Instant now);
    void lost(const Base::ServerId &server);
    void configured(const Base::ServerId &server,
                    std::uint32_t slots,
                    bool isLeaving,
                    Base::Instant now);
    void requested(const SlotRequest &request, Base::Instant now);
    void returned(const Base::IncarnationId &borrower, const SlotReturn &slot, Base::Instant now);
    void borrowerGone(const Base::IncarnationId &borrower, Base::Instant now);

    void tick(Base::Instant now);
    std::optional<Base::Instant> nextWakeUp() const;
    std::vector<SendSlotGrant> takeActions();

    bool owns(const Base::ServerId &server) const { return lenders_.contains(server); }

private:
    void collect(SlotLender &lender);

    SlotLenderSettings settings_;
    std::unordered_map<Base::ServerId, SlotLender> lenders_;
    std::vector<SendSlotGrant> actions_;
};

} // namespace Dispatch
