#pragma once

#include <base/types.h>

#include <optional>
#include <string>
#include <variant>
#include <vector>

/// Requests to the platform's object API and their replies, independent of the transport.
namespace Platform {

/// Kinds of objects that marjoramfield keeps in the platform's object API.
enum class ObjectKind {
    Configuration,
    Assignment,
    DaemonLease,
    JournalSegment,
    Checkpoint,
    ProgramSnapshot,
    Vm
};

struct ObjectKey
{
    ObjectKind kind = ObjectKind::Configuration;
    std::string name;

    auto operator<=>(const ObjectKey &) const = default;
};

/// Version that the platform assigns to an object on each write; 0 means that it is absent.
using ObjectVersion = Base::StrongNumber<struct ObjectVersionTag, std::uint64_t>;

/// Identifies one request to the store within a daemon.
using StoreRequestId = Base::StrongNumber<struct StoreRequestIdTag, std::uint64_t>;

struct GetObject
{
    ObjectKey key;

    bool operator==(const GetObject &) const = default;
};

/// Conditional write: takes effect only if the object's version is the expected one.
struct PutObject
{
    ObjectKey key;
    ObjectVersion expected;
    std::string body;
    /// Stored with the object, so that the writer recognises its own write after a lost response.
    Base::WriteId writeId;

    bool operator==(const PutObject &) const = default;
};

struct DeleteObject
{
    ObjectKey key;

    bool operator==(const DeleteObject &) const = default;
};

/// Lists the objects of a kind whose names start with the prefix.
struct ListObjects
{
    ObjectKind kind = ObjectKind::Configuration;
    std::string prefix;

    bool operator==(const ListObjects &) const = default;
};

using StoreOperation = std::variant<GetObject, PutObject, DeleteObject, ListObjects>;

struct StoreRequest
{
    StoreRequestId id;
    StoreOperation operation;

    bool operator==(const StoreRequest &) const = default;
};

struct StoredObject
{
    ObjectKey key;
    ObjectVersion version;
    std::string body;
    Base::WriteId writeId;

    bool operator==(const StoredObject &) const = default;
};

struct ObjectFound
{
    StoredObject object;
};

struct ObjectAbsent
{};

struct ObjectWritten
{
    ObjectVersion version;
};

/// The expected version did not match; nothing was written by this request.
struct VersionConflict
{};

struct ObjectDeleted
{};

struct ObjectsListed
{
    std::vector<StoredObject> objects;
};

/// No response: the operation may or may not have taken effect.
struct StoreUnavailable
{};

using StoreOutcome = std::variant<ObjectFound,
                                  ObjectAbsent,
                                  ObjectWritten,
                                  VersionConflict,
                                  ObjectDeleted,
                                  ObjectsListed,
                                  StoreUnavailable>;

struct StoreReply
{
    StoreRequestId id;
    StoreOutcome outcome;
};

} // namespace Platform
