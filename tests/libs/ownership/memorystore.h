#pragma once

#include <platform/store.h>

#include <cstdint>
#include <functional>
#include <map>

namespace OwnershipTest {

struct StoreCounts
{
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t conflicts = 0;
    std::uint64_t bytes = 0;
};

/// In-memory implementation of the platform's object API; each operation is atomic.
class MemoryStore
{
public:
    using Observer = std::function<void(const Platform::StoredObject &)>;

    Platform::StoreOutcome apply(const Platform::StoreOperation &operation);

    /// Sets a function that is called for each written object.
    void setObserver(Observer observer) { observer_ = std::move(observer); }
    const Platform::StoredObject *find(const Platform::ObjectKey &key) const;
    const std::map<Platform::ObjectKind, StoreCounts> &counts() const { return counts_; }
    void clearCounts() { counts_.clear(); }

private:
    Platform::StoreOutcome applyOne(const Platform::GetObject &get);
    Platform::StoreOutcome applyOne(const Platform::PutObject &put);
    Platform::StoreOutcome applyOne(const Platform::DeleteObject &remove);
    Platform::StoreOutcome applyOne(const Platform::ListObjects &list);

    std::map<Platform::ObjectKey, Platform::StoredObject> objects_;
    std::map<Platform::ObjectKind, StoreCounts> counts_;
    Platform::ObjectVersion lastVersion_;
    Observer observer_;
};

} // namespace OwnershipTest
