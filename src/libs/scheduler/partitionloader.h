#pragma once

#include "takeover.h"

#include <programs/programsnapshot.h>

namespace Scheduler {

/// A recovered partition with the full histories of its programs.
struct LoadedPartition
{
    RecoveredPartition recovered;
    /// All turns of each live program, oldest first.
    std::map<Base::ProgramId, std::vector<Journal::CallResult>> histories;
};

struct LoaderStoreRequest
{
    std::uint64_t machine = 0;
    Platform::StoreRequest request;
};

using LoaderAction = std::variant<LoadedPartition, LoaderStoreRequest>;

/// Reads the parts of histories that former owners moved to snapshot objects.
class PartitionLoader
{
public:
    void load(RecoveredPartition partition, Base::Instant now);
    void lost(Base::PartitionId partition);

    void storeReplied(std::uint64_t machine, const Platform::StoreReply &reply, Base::Instant now);
    void tick(Base::Instant now);
    std::optional<Base::Instant> nextWakeUp() const;
    std::vector<LoaderAction> takeActions();

private:
    struct Loading
    {
        LoadedPartition result;
        size_t pendingReads = 0;
    };
    struct Reader
    {
        Base::PartitionId partition;
        Base::ProgramId program;
        std::unique_ptr<Journal::HistoryReader> machine;
    };

    void collectActions(Base::Instant now);
    void historyRead(Base::PartitionId partition, Journal::HistoryRead read);

    std::uint64_t lastMachine_ = 0;
    std::map<Base::PartitionId, Loading> loading_;
    std::map<std::uint64_t, Reader> readers_;
    std::vector<LoaderAction> actions_;
};

/// Converts a program from a journal to the program table's form.
Programs::ProgramSnapshot toSnapshot(const Journal::ProgramState &state,
                                     const std::vector<Journal::CallResult> &turns,
                                     Base::Epoch epoch);

} // namespace Scheduler
