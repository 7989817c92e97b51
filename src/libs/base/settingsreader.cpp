#include "settingsreader.h"

#include <algorithm>

namespace Base {

namespace {

const nlohmann::json &emptyObject()
{
    static const nlohmann::json empty = nlohmann::json::object();
    return empty;
}

std::string describe(const nlohmann::json &value)
{
    return std::string(value.type_name()) + " " + value.dump();
}

std::string rangeText(const std::string &type,
                      const std::string &minimum,
                      const std::string &maximum)
{
    return type + " from " + minimum + " to " + maximum;
}

} // namespace

SettingsReader::SettingsReader(const nlohmann::json &object,
                               std::string path,
                               std::vector<SettingsProblem> &problems)
    : object_(&object)
    , path_(std::move(path))
    , problems_(&problems)
{
    if (object.is_object()) {
        return;
    }
    problems.push_back({path_.empty() ? "/" : path_, describe(object), "object"});
    object_ = &emptyObject();
}

std::string SettingsReader::pathOf(const std::string &name) const
{
    return path_ + "/" + name;
}

bool SettingsReader::has(const std::string &name) const
{
    return object_->contains(name);
}

void SettingsReader::addProblem(const std::string &name, std::string found, std::string expected)
{
    problems_->push_back({pathOf(name), std::move(found), std::move(expected)});
}

const nlohmann::json *SettingsReader::find(const std::string &name)
{
    known_.push_back(name);
    const auto member = object_->find(name);
    return member == object_->end() ? nullptr : &*member;
}

const nlohmann::json *SettingsReader::require(const std::string &name, const std::string &expected)
{
    const nlohmann::json *value = find(name);
    if (!value) {
        addProblem(name, "nothing", expected);
    }
    return value;
}

std::string SettingsReader::text(const std::string &name)
{
    const nlohmann::json *value = require(name, "string");
    if (!value) {
        return {};
    }
    if (!value->is_string() || value->get_ref<const std::string &>().empty()) {
        addProblem(name, describe(*value), "non-empty string");
        return {};
    }
    return value->get<std::string>();
}

std::string SettingsReader::text(const std::string &name, const std::string &fallback)
{
    const nlohmann::json *value = find(name);
    if (!value) {
        return fallback;
    }
    if (!value->is_string()) {
        addProblem(name, describe(*value), "string");
        return fallback;
    }
    return value->get<std::string>();
}

std::int64_t SettingsReader::integer(const std::string &name,
                                     std::int64_t minimum,
                                     std::int64_t maximum)
{
    const std::string expected
        = rangeText("integer", std::to_string(minimum), std::to_string(maximum));
    if (!require(name, expected)) {
        return minimum;
    }
    return integer(name, minimum, maximum, minimum);
}

std::int64_t SettingsReader::integer(const std::string &name,
                                     std::int64_t minimum,
                                     std::int64_t maximum,
                                     std::int64_t fallback)
{
    const nlohmann::json *value = find(name);
    if (!value) {
        return fallback;
    }
    const bool isInRange = value->is_number_integer() && value->get<std::int64_t>() >= minimum
                           && value->get<std::int64_t>() <= maximum;
    if (!isInRange) {
        addProblem(name,
                   describe(*value),
                   rangeText("integer", std::to_string(minimum), std::to_string(maximum)));
        return fallback;
    }
    return value->get<std::int64_t>();
}

double SettingsReader::number(const std::string &name,
                              double minimum,
                              double maximum,
                              double fallback)
{
    const nlohmann::json *value = find(name);
    if (!value) {
        return fallback;
    }
    const bool isInRange
        = value->is_number() && value->get<double>() >= minimum && value->get<double>() <= maximum;
    if (!isInRange) {
        addProblem(
            name,
            describe(*value),
            rangeText("number", nlohmann::json(minimum).dump(), nlohmann::json(maximum).dump()));
        return fallback;
    }
    return value->get<double>();
}

bool SettingsReader::boolean(const std::string &name, bool fallback)
{
    const nlohmann::json *value = find(name);
    if (!value) {
        return fallback;
    }
    if (!value->is_boolean()) {
        addProblem(name, describe(*value), "boolean");
        return fallback;
    }
    return value->get<bool>();
}

SettingsReader SettingsReader::object(const std::string &name)
{
    const nlohmann::json *value = require(name, "object");
    return SettingsReader(value ? *value : emptyObject(), pathOf(name), *problems_);
}

std::vector<SettingsReader> SettingsReader::objects(const std::string &name)
{
    std::vector<SettingsReader> readers;
    const nlohmann::json *value = find(name);
    if (!value) {
        return readers;
    }
    if (!value->is_array()) {
        addProblem(name, describe(*value), "array of objects");
        return readers;
    }
    for (size_t i = 0; i < value->size(); ++i) {
        readers.emplace_back((*value)[i], pathOf(name) + "/" + std::to_string(i), *problems_);
    }
    return readers;
}

std::vector<std::string> SettingsReader::texts(const std::string &name)
{
    std::vector<std::string> result;
    const nlohmann::json *value = find(name);
    if (!value) {
        return result;
    }
    if (!value->is_array()) {
        addProblem(name, describe(*value), "array of strings");
        return result;
    }
    for (size_t i = 0; i < value->size(); ++i) {
        if (!(*value)[i].is_string()) {
            addProblem(name + "/" + std::to_string(i), describe((*value)[i]), "string");
            continue;
        }
        result.push_back((*value)[i].get<std::string>());
    }
    return result;
}

void SettingsReader::rejectUnknown()
{
    for (const auto &member : object_->items()) {
        if (std::find(known_.begin(), known_.end(), member.key()) == known_.end()) {
            addProblem(member.key(), "unknown name", "one of the documented names");
        }
    }
}

} // namespace Base
