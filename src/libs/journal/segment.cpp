#include "segment.h"

namespace Journal {

Platform::ObjectKey segmentKey(const Base::IncarnationId &incarnation, Base::SegmentNumber number)
{
    return {Platform::ObjectKind::JournalSegment,
            incarnation.text() + "." + std::to_string(number.value())};
}

Platform::ObjectKey checkpointKey(const Base::IncarnationId &incarnation)
{
    return {Platform::ObjectKind::Checkpoint, incarnation.text()};
}

Platform::ObjectKey checkpointPartKey(const std::string &name)
{
    return {Platform::ObjectKind::Checkpoint, name};
}

Platform::ObjectKey snapshotKey(const std::string &name)
{
    return {Platform::ObjectKind::ProgramSnapshot, name};
}

} // namespace Journal
