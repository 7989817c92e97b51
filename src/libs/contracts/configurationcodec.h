#pragma once

#include "configuration.h"

#include <base/settingsreader.h>

#include <string>
#include <string_view>
#include <vector>

namespace Contracts {

/// A decoded document and its problems; usable only if there are none.
struct ParsedConfiguration
{
    ConfigurationDocument document;
    std::vector<Base::SettingsProblem> problems;

    bool isValid() const { return problems.empty(); }
};

nlohmann::json toJson(const ConfigurationDocument &document);

/// Returns compact JSON text, as kept in the platform's store.
std::string encode(const ConfigurationDocument &document);

/// Decodes the JSON text and checks types, ranges, unknown names, duplicates and references.
ParsedConfiguration decode(std::string_view text);

/// Checks for duplicate ids, references to missing teams and services, and values out of range.
std::vector<Base::SettingsProblem> check(const ConfigurationDocument &document);

} // namespace Contracts
