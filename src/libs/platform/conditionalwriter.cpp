#include "conditionalwriter.h"

#include <base/visitor.h>

namespace Platform {

ConditionalWriter::ConditionalWriter(PutObject put)
    : put_(std::move(put))
{}

WriteProgress ConditionalWriter::handle(const StoreOutcome &outcome)
{
    const auto unresolved = [this]() -> WriteProgress {
        isOutcomeUnknown_ = true;
        isReading_ = true;
        return WriteUnresolved{};
    };
    return std::visit(
        Base::Visitor{[](const ObjectWritten &written) -> WriteProgress {
                          return WriteConfirmed{written.version};
                      },
                      [this](const VersionConflict &) -> WriteProgress {
                          isReading_ = true;
                          return WriteContinues{GetObject{put_.key}};
                      },
                      [this](const ObjectFound &found) { return resolve(found.object); },
                      [this](const ObjectAbsent &) { return resolve(std::nullopt); },
                      [&](const auto &) { return unresolved(); }},
        outcome);
}

WriteProgress ConditionalWriter::resolve(const std::optional<StoredObject> &current)
{
    if (current && current->writeId == put_.writeId) {
        return WriteConfirmed{current->version};
    }
    // A write without a response may still be in flight while the object is unchanged. Sending the
    // same conditional write again is safe: at most one of the two finds the expected version.
    const ObjectVersion version = current ? current->version : ObjectVersion();
    if (isOutcomeUnknown_ && version == put_.expected) {
        isReading_ = false;
        return WriteContinues{put_};
    }
    return WriteLost{current};
}

StoreOperation ConditionalWriter::retry() const
{
    if (isReading_) {
        return GetObject{put_.key};
    }
    return put_;
}

} // namespace Platform
