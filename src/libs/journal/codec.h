#pragma once

#include "segment.h"

#include <base/error.h>

#include <string_view>

/// Objects of the journal as bytes: Thrift's compact protocol, schema/journal.thrift.
namespace Journal {

/// Turns of the programs of one partition, in an object of their own; those of one program stand
/// together and in order.
struct HistoryChunk
{
    Base::PartitionId partition;
    std::vector<CallResult> turns;

    bool operator==(const HistoryChunk &) const = default;
};

std::string encode(const Segment &segment);
std::string encode(const Checkpoint &checkpoint);
std::string encode(const HistoryChunk &chunk);

/// Errors: Internal at step Recover if the bytes are not such an object.
Base::Result<Segment> decodeSegment(std::string_view bytes);
Base::Result<Checkpoint> decodeCheckpoint(std::string_view bytes);
Base::Result<HistoryChunk> decodeHistoryChunk(std::string_view bytes);

/// Upper bounds of the encoded sizes, without encoding.
Base::Bytes sizeBound(const Record &record);
Base::Bytes sizeBound(const CallResult &turn);
Base::Bytes sizeBound(const ProgramState &state);

} // namespace Journal
