#include "fakestore.h"

#include <base/visitor.h>

namespace JournalTest {

using namespace Platform;

StoreOutcome FakeStore::apply(const StoreOperation &operation)
{
    return std::visit(
        Base::Visitor{[this](const GetObject &get) -> StoreOutcome {
                          ++reads_;
                          const StoredObject *object = find(get.key);
                          if (!object) {
                              return ObjectAbsent{};
                          }
                          return ObjectFound{*object};
                      },
                      [this](const PutObject &object) { return put(object); },
                      [this](const DeleteObject &object) -> StoreOutcome {
                          ++deletions_;
                          objects_.erase(object.key);
                          return ObjectDeleted{};
                      },
                      [](const ListObjects &) -> StoreOutcome { return StoreUnavailable{}; }},
        operation);
}

StoreOutcome FakeStore::put(const PutObject &put)
{
    ++writes_;
    const StoredObject *current = find(put.key);
    const ObjectVersion version = current ? current->version : ObjectVersion();
    if (version != put.expected) {
        return VersionConflict{};
    }
    const ObjectVersion next(++lastVersion_);
    objects_[put.key] = {put.key, next, put.body, put.writeId};
    return ObjectWritten{next};
}

const StoredObject *FakeStore::find(const ObjectKey &key) const
{
    const auto found = objects_.find(key);
    return found == objects_.end() ? nullptr : &found->second;
}

std::size_t FakeStore::count(ObjectKind kind) const
{
    std::size_t count = 0;
    for (const auto &[key, object] : objects_) {
        count += key.kind == kind ? 1 : 0;
    }
    return count;
}

} // namespace JournalTest
