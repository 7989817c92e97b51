#pragma once

#include "platformclient.h"

#include <optional>

namespace Backends {

/// A list of objects and the resource version from which a watch continues.
struct ObjectList
{
    std::vector<Platform::StoredObject> objects;
    std::string resourceVersion;
};

/// One line of a watch: the current state of an object, or its last state if it was removed.
struct WatchLine
{
    Platform::StoredObject object;
    bool isRemoved = false;
};

/// The HTTP request of a store operation.
HttpRequest toRequest(const PlatformOptions &options, const Platform::StoreOperation &operation);
/// The outcome of an operation; StoreUnavailable if the response cannot be interpreted.
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
