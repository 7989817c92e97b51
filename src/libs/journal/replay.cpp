#include "replay.h"

#include <base/visitor.h>

#include <algorithm>

namespace Journal {

namespace {

void endCall(ProgramSnapshot &program, CallResult &&result)
{
    ProgramState &state = program.state;
    if (result.number <= state.lastEnded) {
        return;
    }
    state.lastEnded = result.number;
    state.spent += result.charged;
    if (state.openCall && state.openCall->number == result.number) {
        state.openCall.reset();
    }
    program.tail.push_back(std::move(result));
}

void settleChild(ProgramState &parent, const ChildSettled &settled)
{
    const auto child = std::find_if(
        parent.openChildren.begin(), parent.openChildren.end(), [&](const ChildReserved &reserved) {
            return reserved.child == settled.child;
        });
    if (child == parent.openChildren.end()) {
        return;
    }
    parent.openChildren.erase(child);
    parent.spent += settled.spent;
}

bool isChunkUsed(const ReplayedPartition &partition, const std::string &name)
{
    return std::any_of(
        partition.programs.begin(), partition.programs.end(), [&](const auto &entry) {
            const std::vector<SnapshotChunk> &chunks = entry.second.state.chunks;
            return std::any_of(chunks.begin(), chunks.end(), [&](const SnapshotChunk &chunk) {
                return chunk.name == name;
            });
        });
}

/// Calls the function with the program's snapshot if the program exists.
template<typename Function>
void withProgram(ReplayedPartition &partition, const Base::ProgramId &program, Function &&function)
{
    const auto found = partition.programs.find(program);
    if (found != partition.programs.end()) {
        function(found->second);
    }
}

} // namespace

void Replay::load(const std::vector<PartitionState> &partitions)
{
    for (const PartitionState &loaded : partitions) {
        // A large partition is stored in several pieces.
        ReplayedPartition &partition = partitions_[loaded.partition];
        partition.adopted = loaded.adopted;
        partition.released = loaded.released;
        for (const ProgramState &program : loaded.programs) {
            partition.programs[program.created.program].state = program;
        }
    }
}

void Replay::apply(Record record)
{
    ReplayedPartition &partition = partitions_[record.partition];
    std::visit(
        Base::Visitor{
            [&](ProgramCreated &created) {
                const Base::ProgramId id = created.program;
                ProgramSnapshot snapshot;
                snapshot.state.created = std::move(created);
                partition.programs.try_emplace(id, std::move(snapshot));
            },
            [&](CallIntent &intent) {
                withProgram(partition, intent.program, [&](ProgramSnapshot &program) {
                    program.state.openCall = std::move(intent);
                });
            },
            [&](CallResult &result) {
                withProgram(partition, result.program, [&](ProgramSnapshot &program) {
                    endCall(program, std::move(result));
                });
            },
            [&](ProgramEnded &ended) {
                withProgram(partition, ended.program, [&](ProgramSnapshot &program) {
                    program.state.ended = ended;
                });
            },
            [&](ChildReserved &child) {
                withProgram(partition, child.parent, [&](ProgramSnapshot &program) {
                    program.state.openChildren.push_back(child);
                });
            },
            [&](ChildSettled &child) {
                withProgram(partition, child.parent, [&](ProgramSnapshot &program) {
                    settleChild(program.state, child);
                });
            },
            [&](ProgramForgotten &forgotten) { removeProgram(partition, forgotten.program); },
            [&](ProgramRecovered &recovered) {
                const Base::ProgramId id = recovered.state.created.program;
                partition.programs[id] = ProgramSnapshot{std::move(recovered.state), {}};
            },
            [&](TurnRecovered &recovered) {
                withProgram(partition, recovered.turn.program, [&](ProgramSnapshot &program) {
                    program.tail.push_back(std::move(recovered.turn));
                });
            },
            [&](PartitionAdopted &adopted) {
                partition.adopted = std::move(adopted);
                partition.released.reset();
            },
            [&](PartitionReleased &released) { partition.released = std::move(released); },
            // The chunks of the earlier state are kept: they belong to a later owner.
            [&](AdoptionBegun &) { partition = ReplayedPartition(); }},
        record.body);
}

void Replay::removeProgram(ReplayedPartition &partition, const Base::ProgramId &program)
{
    const auto forgotten = partition.programs.extract(program);
    if (!forgotten) {
        return;
    }
    for (const SnapshotChunk &chunk : forgotten.mapped().state.chunks) {
        if (!isChunkUsed(partition, chunk.name)) {
            obsoleteChunks_.push_back(chunk.name);
        }
    }
}

ReplayedPartition *Replay::find(Base::PartitionId partition)
{
    const auto found = partitions_.find(partition);
    return found == partitions_.end() ? nullptr : &found->second;
}

std::vector<std::string> Replay::takeObsoleteChunks()
{
    return std::exchange(obsoleteChunks_, {});
}

std::vector<Record> adoptionRecords(Base::PartitionId partition,
                                    const ReplayedPartition &found,
                                    const PartitionAdopted &adopted)
{
    std::vector<Record> records;
    records.push_back({partition, AdoptionBegun{adopted.epoch}});
    for (const auto &[id, program] : found.programs) {
        records.push_back({partition, ProgramRecovered{program.state}});
        for (const CallResult &turn : program.tail) {
            records.push_back({partition, TurnRecovered{turn}});
        }
    }
    records.push_back({partition, adopted});
    return records;
}

} // namespace Journal
