#include "fakestore.h"

namespace ContractsTest {

Platform::StoreOutcome FakeStore::run(const Platform::StoreOperation &operation)
{
    if (const auto *write = std::get_if<Platform::PutObject>(&operation)) {
        return put(*write);
    }
    const auto *get = std::get_if<Platform::GetObject>(&operation);
    const auto found = get ? objects_.find(get->key) : objects_.end();
    if (found == objects_.end()) {
        return Platform::ObjectAbsent{};
    }
    return Platform::ObjectFound{found->second};
}

Platform::StoreOutcome FakeStore::put(const Platform::PutObject &put)
{
    Platform::StoredObject &object = objects_[put.key];
    if (object.version != put.expected) {
        return Platform::VersionConflict{};
    }
    object = {put.key, put.expected.next(), put.body, put.writeId};
    writes.push_back(object);
    return Platform::ObjectWritten{object.version};
}

} // namespace ContractsTest
