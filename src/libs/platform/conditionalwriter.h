#pragma once

#include "store.h"

#include <variant>

namespace Platform {

/// The write took effect.
struct WriteConfirmed
{
    ObjectVersion version;
};

/// Another writer was first; the object as it is now, or nothing if it is absent.
struct WriteLost
{
    std::optional<StoredObject> current;
};

/// Send this operation to the store and hand its outcome back.
struct WriteContinues
{
    StoreOperation operation;
};

/// The store did not answer; the write may have taken effect. Call retry() after a pause.
struct WriteUnresolved
{};

using WriteProgress = std::variant<WriteConfirmed, WriteLost, WriteContinues, WriteUnresolved>;

/// One conditional write whose lost answer is resolved by re-reading the object and
/// comparing write ids. Pure: the owner sends the operations and feeds the outcomes.
class ConditionalWriter
{
public:
    explicit ConditionalWriter(PutObject put);

    /// The first operation to send.
    StoreOperation start() const { return put_; }

    /// Takes the outcome of the last operation sent.
    WriteProgress handle(const StoreOutcome &outcome);

    /// The operation to send after WriteUnresolved.
    StoreOperation retry() const;

    const PutObject &put() const { return put_; }

private:
    WriteProgress resolve(const std::optional<StoredObject> &current);

    PutObject put_;
    bool isReading_ = false;
    bool isInDoubt_ = false;
};

} // namespace Platform
