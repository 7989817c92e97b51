#pragma once

#include "platformclient.h"

#include <optional>

namespace Backends {

/// A list of objects, with the version from which a watch goes on.
struct ObjectList
{
    std::vector<Platform::StoredObject> objects;
    std::string resourceVersion;
};

/// One line of a watch: an object as it is now or was last.
struct WatchLine
{
    Platform::StoredObject object;
    bool isRemoved = false;
};

/// The HTTP request of a store operation.
HttpRequest toRequest(const PlatformOptions &options, const Platform::StoreOperation &operation);
/// What an answer says about its operation; StoreUnavailable if it says nothing.
Platform::StoreOutcome toOutcome(const Platform::StoreOperation &operation,
                                 int status,
                                 const std::string &body);

/// Lists one object, or all of the kind if the name is empty.
HttpRequest listRequest(const PlatformOptions &options,
                        Platform::ObjectKind kind,
                        const std::string &name);
HttpRequest watchRequest(const PlatformOptions &options,
                         Platform::ObjectKind kind,
                         const std::string &name,
                         const std::string &resourceVersion);
std::optional<ObjectList> parseList(Platform::ObjectKind kind, const std::string &body);
std::optional<WatchLine> parseWatchLine(Platform::ObjectKind kind, const std::string &line);

} // namespace Backends
