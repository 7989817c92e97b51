#pragma once

#include <turnhistory/turn.h>

#include <string>
#include <vector>

namespace TurnStore {

/// A valid record on a disk; the turn is without its content.
struct ScannedTurn
{
    TurnHistory::Turn turn;
    std::size_t contentBytes = 0;
    std::string file;
    std::uint64_t offset = 0;
};

struct ScannedDamage
{
    std::string file;
    std::uint64_t offset = 0;
    std::uint64_t bytes = 0;
};

struct DiskScan
{
    std::vector<ScannedTurn> turns;
    std::vector<ScannedDamage> damage;
    /// Files that could not be read, with the error.
    std::vector<std::string> problems;
};

/// Reads the segments in a folder of turns without changing them.
DiskScan scanFolder(const std::string &folder);

} // namespace TurnStore
