#pragma once

#include "segment.h"

#include <base/error.h>

#include <string_view>

/// Encodes and decodes the journal's objects in Thrift's compact protocol (schema/journal.thrift).
namespace Journal {

/// Object with turns of programs of one partition. The turns of each program are contiguous and in
/// call order.
struct HistoryChunk
{
    Base::PartitionId partition;
    std::vector<CallResult> turns;

    bool operator==(const HistoryChunk &) const = default;
};

std::string encode(const Segment &segment);
std::string encode(const Checkpoint &checkpoint);
std::string encode(const HistoryChunk &chunk);

/// Errors: Internal at step Recover if the bytes cannot be decoded.
Base::Result<Segment> decodeSegment(std::string_view bytes);
Base::Result<Checkpoint> decodeCheckpoint(std::string_view bytes);
Base::Result<HistoryChunk> decodeHistoryChunk(std::string_view bytes);

/// Upper bounds of the encoded sizes, computed without encoding.
Base::Bytes sizeBound(const Record &record);
Base::Bytes sizeBound(const CallResult &turn);
Base::Bytes sizeBound(const ProgramState &state);

} // namespace Journal
