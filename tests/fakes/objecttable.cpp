#include "objecttable.h"

namespace Fakes {

namespace {

constexpr std::size_t historyLength = 2000;
constexpr std::size_t historyBytes = 64 * 1024 * 1024;

} // namespace

TableOutcome ObjectTable::create(TableObject &object)
{
    if (find(object.plural, object.name)) {
        return TableOutcome::AlreadyExists;
    }
    object.version = ++version_;
    objects_[object.plural][object.name] = object;
    note("ADDED", object);
    return TableOutcome::Done;
}

TableOutcome ObjectTable::replace(TableObject &object)
{
    const TableObject *present = find(object.plural, object.name);
    if (!present) {
        return TableOutcome::NotFound;
    }
    if (present->version != object.version) {
        return TableOutcome::Conflict;
    }
    object.version = ++version_;
    objects_[object.plural][object.name] = object;
    note("MODIFIED", object);
    return TableOutcome::Done;
}

TableOutcome ObjectTable::remove(const std::string &plural, const std::string &name)
{
    const TableObject *present = find(plural, name);
    if (!present) {
        return TableOutcome::NotFound;
    }
    TableObject removed = *present;
    removed.version = ++version_;
    objects_[plural].erase(name);
    note("DELETED", removed);
    return TableOutcome::Done;
}

const TableObject *ObjectTable::find(const std::string &plural, const std::string &name) const
{
    const auto kind = objects_.find(plural);
    if (kind == objects_.end()) {
        return nullptr;
    }
    const auto object = kind->second.find(name);
    return object == kind->second.end() ? nullptr : &object->second;
}

std::vector<TableObject> ObjectTable::list(const std::string &plural,
                                           const std::string &prefix) const
{
    std::vector<TableObject> found;
    const auto kind = objects_.find(plural);
    if (kind == objects_.end()) {
        return found;
    }
    for (auto object = kind->second.lower_bound(prefix);
         object != kind->second.end() && object->first.starts_with(prefix);
         ++object) {
        found.push_back(object->second);
    }
    return found;
}

std::optional<std::vector<TableEvent>> ObjectTable::eventsSince(std::uint64_t version) const
{
    if (version < forgottenUpTo_) {
        return std::nullopt;
    }
    std::vector<TableEvent> events;
    for (const TableEvent &event : history_) {
        if (event.object.version > version) {
            events.push_back(event);
        }
    }
    return events;
}

void ObjectTable::note(std::string type, const TableObject &object)
{
    history_.push_back({std::move(type), object});
    historyBytes_ += object.data.size();
    while (history_.size() > historyLength || historyBytes_ > historyBytes) {
        forgottenUpTo_ = history_.front().object.version;
        historyBytes_ -= history_.front().object.data.size();
        history_.pop_front();
    }
}

nlohmann::json toJson(const TableObject &object)
{
    const nlohmann::json metadata{{"name", object.name},
                                  {"resourceVersion", std::to_string(object.version)},
                                  {"annotations", object.annotations}};
    return {
        {"apiVersion", "marjoramfield.example/v1"}, {"metadata", metadata}, {"data", object.data}};
}

} // namespace Fakes
