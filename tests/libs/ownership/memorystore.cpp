#include "memorystore.h"

namespace OwnershipTest {

using namespace Platform;

StoreOutcome MemoryStore::apply(const StoreOperation &operation)
{
    return std::visit([this](const auto &one) { return applyOne(one); }, operation);
}

const StoredObject *MemoryStore::find(const ObjectKey &key) const
{
    const auto found = objects_.find(key);
    return found == objects_.end() ? nullptr : &found->second;
}

StoreOutcome MemoryStore::applyOne(const GetObject &get)
{
    StoreCounts &counts = counts_[get.key.kind];
    ++counts.reads;
    const StoredObject *object = find(get.key);
    if (object == nullptr) {
        return ObjectAbsent{};
    }
    counts.bytes += object->body.size();
    return ObjectFound{*object};
}

StoreOutcome MemoryStore::applyOne(const PutObject &put)
{
    StoreCounts &counts = counts_[put.key.kind];
    ++counts.writes;
    counts.bytes += put.body.size();
    const StoredObject *before = find(put.key);
    const ObjectVersion version = before == nullptr ? ObjectVersion() : before->version;
    if (version != put.expected) {
        ++counts.conflicts;
        return VersionConflict{};
    }
    lastVersion_ = lastVersion_.next();
    const StoredObject object{put.key, lastVersion_, put.body, put.writeId};
    objects_.insert_or_assign(put.key, object);
    if (observer_) {
        observer_(object);
    }
    return ObjectWritten{lastVersion_};
}

StoreOutcome MemoryStore::applyOne(const DeleteObject &remove)
{
    ++counts_[remove.key.kind].writes;
    objects_.erase(remove.key);
    return ObjectDeleted{};
}

StoreOutcome MemoryStore::applyOne(const ListObjects &list)
{
    StoreCounts &counts = counts_[list.kind];
    ++counts.reads;
    ObjectsListed listed;
    for (const auto &[key, object] : objects_) {
        if (key.kind == list.kind && key.name.starts_with(list.prefix)) {
            counts.bytes += object.body.size();
            listed.objects.push_back(object);
        }
    }
    return listed;
}

} // namespace OwnershipTest
