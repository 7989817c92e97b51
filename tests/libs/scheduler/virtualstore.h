#pragma once

#include <base/random.h>
#include <platform/store.h>

#include <map>
#include <optional>

/// The platform's object API in memory, with versions, conditional updates, outages and lost
/// responses.
class VirtualStore
{
public:
    explicit VirtualStore(std::uint64_t seed)
        : random_(seed)
    {}

    /// Returns nothing if the response is lost; the operation may have taken effect.
    std::optional<Platform::StoreOutcome> execute(const Platform::StoreOperation &operation);

    void setOutage(bool isUnavailable) { isUnavailable_ = isUnavailable; }
    /// Share of operations whose response is lost after they took effect.
    void setLossRate(double share) { lossRate_ = share; }

    std::uint64_t writes() const { return writes_; }
    std::uint64_t reads() const { return reads_; }

private:
    Platform::StoreOutcome apply(const Platform::GetObject &operation);
    Platform::StoreOutcome apply(const Platform::PutObject &operation);
    Platform::StoreOutcome apply(const Platform::DeleteObject &operation);
    Platform::StoreOutcome apply(const Platform::ListObjects &operation);

    Base::Random random_;
    std::map<Platform::ObjectKey, Platform::StoredObject> objects_;
    std::uint64_t lastVersion_ = 0;
    bool isUnavailable_ = false;
    double lossRate_ = 0;
    std::uint64_t writes_ = 0;
    std::uint64_t reads_ = 0;
};
