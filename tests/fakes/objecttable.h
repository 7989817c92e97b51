#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Fakes {

/// One stored object, in the shape in which the object API shows it.
struct TableObject
{
    std::string plural;
    std::string name;
    std::uint64_t version = 0;
    nlohmann::json annotations;
    /// Base64.
    std::string data;
};

struct TableEvent
{
    /// "ADDED", "MODIFIED" or "DELETED".
    std::string type;
    TableObject object;
};

enum class TableOutcome {
    Done,
    AlreadyExists,
    NotFound,
    Conflict
};

/// The objects of the stand-in for the object API, with versions and a history for watches.
class ObjectTable
{
public:
    TableOutcome create(TableObject &object);
    /// Takes effect only if object.version is the present version.
    TableOutcome replace(TableObject &object);
    TableOutcome remove(const std::string &plural, const std::string &name);

    const TableObject *find(const std::string &plural, const std::string &name) const;
    std::vector<TableObject> list(const std::string &plural, const std::string &prefix) const;

    std::uint64_t version() const { return version_; }
    /// Events after the version; no value if the history does not reach back so far.
    std::optional<std::vector<TableEvent>> eventsSince(std::uint64_t version) const;

private:
    void note(std::string type, const TableObject &object);

    std::map<std::string, std::map<std::string, TableObject>> objects_;
    std::deque<TableEvent> history_;
    std::size_t historyBytes_ = 0;
    std::uint64_t version_ = 0;
    std::uint64_t forgottenUpTo_ = 0;
};

nlohmann::json toJson(const TableObject &object);

} // namespace Fakes
