#include "virtualstore.h"

using Platform::ObjectVersion;
using Platform::StoreOutcome;

std::optional<StoreOutcome> VirtualStore::execute(const Platform::StoreOperation &operation)
{
    if (isUnavailable_) {
        return std::nullopt;
    }
    StoreOutcome outcome = std::visit([this](const auto &body) { return apply(body); }, operation);
    if (random_.chance(lossRate_)) {
        return std::nullopt;
    }
    return outcome;
}

StoreOutcome VirtualStore::apply(const Platform::GetObject &operation)
{
    ++reads_;
    const auto entry = objects_.find(operation.key);
    if (entry == objects_.end()) {
        return Platform::ObjectAbsent{};
    }
    return Platform::ObjectFound{entry->second};
}

StoreOutcome VirtualStore::apply(const Platform::PutObject &operation)
{
    ++writes_;
    const auto entry = objects_.find(operation.key);
    const ObjectVersion current = entry == objects_.end() ? ObjectVersion() : entry->second.version;
    if (current != operation.expected) {
        return Platform::VersionConflict{};
    }
    const ObjectVersion version(++lastVersion_);
    objects_[operation.key] = {operation.key, version, operation.body, operation.writeId};
    return Platform::ObjectWritten{version};
}

StoreOutcome VirtualStore::apply(const Platform::DeleteObject &operation)
{
    ++writes_;
    objects_.erase(operation.key);
    return Platform::ObjectDeleted{};
}

StoreOutcome VirtualStore::apply(const Platform::ListObjects &operation)
{
    ++reads_;
    Platform::ObjectsListed listed;
    for (const auto &[key, object] : objects_) {
        if (key.kind == operation.kind && key.name.starts_with(operation.prefix)) {
            listed.objects.push_back(object);
        }
    }
    return listed;
}
