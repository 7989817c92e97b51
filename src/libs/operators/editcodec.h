#pragma once

#include <base/error.h>
#include <base/settingsreader.h>
#include <contracts/configedit.h>
#include <operator/operator_types.h>

#include <variant>

namespace Operators {

/// The decoded configuration edit, or the problems found in the change.
using DecodedChange = std::variant<Contracts::ConfigEdit, std::vector<Base::SettingsProblem>>;

DecodedChange decodeChange(const OperatorProtocol::Change &change);

std::vector<OperatorProtocol::Problem> encodeProblems(
    const std::vector<Base::SettingsProblem> &problems);

} // namespace Operators
