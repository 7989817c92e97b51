#include "diskscan.h"

#include <turnhistory/segmentformat.h>

#include <algorithm>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace TurnStore {

namespace {

namespace fs = std::filesystem;

void scanFile(const fs::path &path, DiskScan &scan)
{
    std::ifstream input(path, std::ios::binary);
    std::ostringstream bytes;
    bytes << input.rdbuf();
    if (!input) {
        scan.problems.push_back(path.string() + ": " + std::strerror(errno));
        return;
    }
    TurnHistory::SegmentVisitor visitor;
    visitor.onTurn = [&](const TurnHistory::Turn &turn, std::uint64_t offset, std::uint32_t) {
        ScannedTurn found{turn, turn.content.size(), path.string(), offset};
        found.turn.content.clear();
        scan.turns.push_back(std::move(found));
    };
    visitor.onDamage = [&](std::uint64_t offset, std::uint64_t size) {
        scan.damage.push_back({path.string(), offset, size});
    };
    TurnHistory::scanSegment(bytes.str(), visitor);
}

} // namespace

DiskScan scanFolder(const std::string &folder)
{
    DiskScan scan;
    std::error_code error;
    std::vector<fs::path> files;
    for (const fs::directory_entry &entry : fs::directory_iterator(folder, error)) {
        if (entry.path().extension() == ".turns") {
            files.push_back(entry.path());
        }
    }
    if (error) {
        scan.problems.push_back(folder + ": " + error.message());
    }
    std::sort(files.begin(), files.end());
    for (const fs::path &file : files) {
        scanFile(file, scan);
    }
    return scan;
}

} // namespace TurnStore
