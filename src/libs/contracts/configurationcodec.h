#pragma once

#include "configuration.h"

#include <base/settingsreader.h>

#include <string>
#include <string_view>
#include <vector>

namespace Contracts {

/// A document, and what is wrong with it; usable only if there are no problems.
struct ParsedConfiguration
{
    ConfigurationDocument document;
    std::vector<Base::SettingsProblem> problems;

    bool isValid() const { return problems.empty(); }
};

nlohmann::json toJson(const ConfigurationDocument &document);

/// Compact JSON text, as kept in the platform's store.
std::string encode(const ConfigurationDocument &document);

/// Reads the JSON text and checks types, ranges, unknown names, duplicates and references.
ParsedConfiguration decode(std::string_view text);

/// Checks what types cannot: duplicate ids, references to missing teams and services, ranges.
std::vector<Base::SettingsProblem> check(const ConfigurationDocument &document);

} // namespace Contracts
