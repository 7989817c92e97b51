#pragma once

#include "turn.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace TurnHistory {

/// Encodes the record of a turn in a segment file, format version 1: the four bytes "MTR1", the
/// length of the payload (32 bits, little endian), the XXH3 hash of the payload (64 bits, little
/// endian), the payload (struct TurnRecord of the Thrift schema, compact protocol).
std::string encodeRecord(const Turn &turn);

/// Decodes exactly one record; nothing if it is damaged.
std::optional<Turn> decodeRecord(std::string_view bytes);

/// Callbacks of scanSegment().
struct SegmentVisitor
{
    std::function<void(const Turn &, std::uint64_t offset, std::uint32_t bytes)> onTurn;
    /// Called once for each run of bytes that are no valid record.
    std::function<void(std::uint64_t offset, std::uint64_t bytes)> onDamage;
};

/// Finds all valid records of a segment. After damaged bytes the scan goes on at the next record,
/// as any write after the last sync may be missing or torn after a power loss.
void scanSegment(std::string_view bytes, const SegmentVisitor &visitor);

} // namespace TurnHistory
