#pragma once

#include "fakestore.h"

#include <journal/replay.h>

#include <string>

namespace JournalTest {

/// Reference state of one program, as a single process without failures has it.
struct NaiveProgram
{
    std::vector<Journal::CallResult> history;
    std::optional<Journal::CallIntent> open;
    Base::Tokens spent;

    bool operator==(const NaiveProgram &) const = default;
};

struct NaivePartition
{
    bool isAdopted = false;
    std::map<Base::ProgramId, NaiveProgram> programs;

    bool operator==(const NaivePartition &) const = default;
};

using NaiveState = std::map<Base::PartitionId, NaivePartition>;

/// Applies one record to the state; histories of recovered programs are read from the store.
void applyNaively(NaiveState &state, const Journal::Record &record, const FakeStore &store);

/// Converts replayed partitions to the reference state.
NaiveState toNaive(const std::map<Base::PartitionId, Journal::ReplayedPartition> &replayed,
                   const FakeStore &store);

/// Checks that a replay equals the state after some prefix of the log with at least `atLeast`
/// records. Returns a description of the difference, or an empty text.
std::string compareWithLog(const NaiveState &found,
                           const std::vector<Journal::Record> &log,
                           std::size_t atLeast,
                           const FakeStore &store);

} // namespace JournalTest
