#include "partition.h"

#include "random.h"

namespace Base {

namespace {

// Distinct seeds assign a team and a program of the same name to unrelated partitions.
constexpr std::uint64_t programSeed = 1;
constexpr std::uint64_t teamSeed = 2;
constexpr std::uint64_t serverSeed = 3;

PartitionId partitionOfText(std::string_view text, std::uint64_t seed, std::uint16_t partitionCount)
{
    return PartitionId(static_cast<std::uint16_t>(hash64(text, seed) % partitionCount));
}

} // namespace

PartitionId partitionOf(const ProgramId &program, std::uint16_t partitionCount)
{
    const std::string_view text = program.text();
    return partitionOfText(text.substr(0, text.find('.')), programSeed, partitionCount);
}

PartitionId partitionOf(const TeamId &team, std::uint16_t partitionCount)
{
    return partitionOfText(team.text(), teamSeed, partitionCount);
}

PartitionId partitionOf(const ServerId &server, std::uint16_t partitionCount)
{
    return partitionOfText(server.text(), serverSeed, partitionCount);
}

} // namespace Base
