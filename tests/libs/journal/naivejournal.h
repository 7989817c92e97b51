#pragma once

#include "fakestore.h"

#include <journal/replay.h>

#include <string>

namespace JournalTest {

/// One program as a single process that never fails would know it.
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

/// The state after one more record; histories of recovered programs are looked up in the store.
void applyNaively(NaiveState &state, const Journal::Record &record, const FakeStore &store);

/// A replay in naive terms.
NaiveState toNaive(const std::map<Base::PartitionId, Journal::ReplayedPartition> &replayed,
                   const FakeStore &store);

/// Whether a replay is what the log's records from the first up to some record at or after
/// `atLeast` say; an explanation if not.
std::string compareWithLog(const NaiveState &found,
                           const std::vector<Journal::Record> &log,
                           std::size_t atLeast,
                           const FakeStore &store);

} // namespace JournalTest
