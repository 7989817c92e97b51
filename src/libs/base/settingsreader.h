#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace Base {

/// One problem in a settings document.
struct SettingsProblem
{
    /// JSON path of the value, such as "/peer/port".
    std::string path;
    std::string found;
    std::string expected;

    bool operator==(const SettingsProblem &) const = default;
};

/// Reads one JSON object and checks types, ranges and unknown names.
/// Problems are collected, so that all of them are reported at once.
class SettingsReader
{
public:
    SettingsReader(const nlohmann::json &object,
                   std::string path,
                   std::vector<SettingsProblem> &problems);

    std::string text(const std::string &name);
    std::string text(const std::string &name, const std::string &fallback);
    std::int64_t integer(const std::string &name, std::int64_t minimum, std::int64_t maximum);
    std::int64_t integer(const std::string &name,
                         std::int64_t minimum,
                         std::int64_t maximum,
                         std::int64_t fallback);
    double number(const std::string &name, double minimum, double maximum, double fallback);
    bool boolean(const std::string &name, bool fallback);

    /// The named object. Adds a problem and returns an empty one if it is missing or of another
    /// type.
    SettingsReader object(const std::string &name);
    /// Readers of the objects in the named array; a missing array is empty.
    std::vector<SettingsReader> objects(const std::string &name);
    std::vector<std::string> texts(const std::string &name);

    bool has(const std::string &name) const;
    void addProblem(const std::string &name, std::string found, std::string expected);

    /// Adds a problem for each member that was not read.
    void rejectUnknown();

private:
    const nlohmann::json *find(const std::string &name);
    const nlohmann::json *require(const std::string &name, const std::string &expected);
    std::string pathOf(const std::string &name) const;

    const nlohmann::json *object_;
    std::string path_;
    std::vector<SettingsProblem> *problems_;
    std::vector<std::string> known_;
};

} // namespace Base
