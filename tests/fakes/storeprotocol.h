#pragma once

#include "httpserver.h"
#include "objecttable.h"

#include <optional>

namespace Fakes {

/// The parts of a request's target.
struct Target
{
    std::string plural;
    std::string name;
    std::string namePrefix;
    std::string selectedName;
    bool isWatch = false;
    std::uint64_t resourceVersion = 0;
};

/// No value if the path is not one of the API.
std::optional<Target> parseTarget(const Request &request);

/// The object in the body; no value if it is malformed.
std::optional<TableObject> parseObject(const Request &request, const Target &target);

nlohmann::json statusObject(int code, const std::string &reason);
void refuse(const Request &request, int code, const std::string &reason);
void answerOutcome(const Request &request, TableOutcome outcome, const nlohmann::json &body);

} // namespace Fakes
