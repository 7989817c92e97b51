#pragma once

#include <platform/store.h>

#include <map>

namespace JournalTest {

/// The platform's object API in memory: every operation takes effect atomically.
class FakeStore
{
public:
    Platform::StoreOutcome apply(const Platform::StoreOperation &operation);

    const Platform::StoredObject *find(const Platform::ObjectKey &key) const;
    std::size_t count(Platform::ObjectKind kind) const;
    std::uint64_t writes() const { return writes_; }
    std::uint64_t deletions() const { return deletions_; }
    std::uint64_t reads() const { return reads_; }

private:
    Platform::StoreOutcome put(const Platform::PutObject &put);

    std::map<Platform::ObjectKey, Platform::StoredObject> objects_;
    std::uint64_t lastVersion_ = 0;
    std::uint64_t writes_ = 0;
    std::uint64_t deletions_ = 0;
    std::uint64_t reads_ = 0;
};

} // namespace JournalTest
