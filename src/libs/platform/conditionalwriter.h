#pragma once

#include "store.h"

#include <variant>

namespace Platform {

/// The write took effect.
struct WriteConfirmed
{
    ObjectVersion version;
};

/// Another writer modified the object first. Contains its current state, or nothing if it is
/// absent.
struct WriteLost
{
    std::optional<StoredObject> current;
};

/// The operation must be sent to the store and its outcome passed to handle().
struct WriteContinues
{
    StoreOperation operation;
};

/// The store did not respond; the write may have taken effect. Call retry() after a delay.
struct WriteUnresolved
{};

using WriteProgress = std::variant<WriteConfirmed, WriteLost, WriteContinues, WriteUnresolved>;

/// One conditional write. Resolves a lost response by reading the object and comparing write ids.
/// Does no I/O: the owner sends the operations and passes on their outcomes.
class ConditionalWriter
{
public:
    explicit ConditionalWriter(PutObject put);

    /// The first operation to send.
    StoreOperation start() const { return put_; }

    /// Handles the outcome of the last operation sent.
    WriteProgress handle(const StoreOutcome &outcome);

    /// The operation to send after WriteUnresolved.
    StoreOperation retry() const;

    const PutObject &put() const { return put_; }

private:
    WriteProgress resolve(const std::optional<StoredObject> &current);

    PutObject put_;
    bool isReading_ = false;
    bool isOutcomeUnknown_ = false;
};

} // namespace Platform
