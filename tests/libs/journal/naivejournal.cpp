#include "naivejournal.h"

#include <base/visitor.h>
#include <journal/codec.h>

#include <algorithm>
#include <sstream>

namespace JournalTest {

using namespace Journal;

namespace {

std::vector<CallResult> readChunks(const ProgramState &state, const FakeStore &store)
{
    std::vector<CallResult> turns;
    for (const SnapshotChunk &chunk : state.chunks) {
        const Platform::StoredObject *object = store.find(snapshotKey(chunk.name));
        if (!object) {
            continue;
        }
        const HistoryChunk read = decodeHistoryChunk(object->body).value();
        std::copy_if(read.turns.begin(),
                     read.turns.end(),
                     std::back_inserter(turns),
                     [&](const CallResult &turn) { return turn.program == state.created.program; });
    }
    return turns;
}

NaiveProgram toNaive(const ProgramState &state, const FakeStore &store)
{
    return {readChunks(state, store), state.openCall, state.spent};
}

std::string describe(const NaiveState &state)
{
    std::ostringstream out;
    for (const auto &[id, partition] : state) {
        out << " partition " << id << (partition.isAdopted ? " adopted:" : " not adopted:");
        for (const auto &[program, naive] : partition.programs) {
            out << " " << program << " turns " << naive.history.size() << " spent " << naive.spent;
            if (naive.open) {
                out << " open " << naive.open->number;
            }
        }
    }
    return out.str();
}

bool isSameState(const NaiveState &log, const NaiveState &requested)
{
    static const NaivePartition empty;
    return std::all_of(requested.begin(), requested.end(), [&](const auto &entry) {
        const auto found = log.find(entry.first);
        return entry.second == (found == log.end() ? empty : found->second);
    });
}

} // namespace

void applyNaively(NaiveState &state, const Record &record, const FakeStore &store)
{
    NaivePartition &partition = state[record.partition];
    auto &programs = partition.programs;
    std::visit(Base::Visitor{[&](const ProgramCreated &body) { programs[body.program] = {}; },
                             [&](const CallIntent &body) { programs[body.program].open = body; },
                             [&](const CallResult &body) {
                                 NaiveProgram &program = programs[body.program];
                                 program.history.push_back(body);
                                 program.spent += body.charged;
                                 program.open.reset();
                             },
                             [&](const ProgramForgotten &body) { programs.erase(body.program); },
                             [&](const AdoptionBegun &) { partition = {}; },
                             [&](const ProgramRecovered &body) {
                                 programs[body.state.created.program] = toNaive(body.state, store);
                             },
                             [&](const TurnRecovered &body) {
                                 programs[body.turn.program].history.push_back(body.turn);
                             },
                             [&](const PartitionAdopted &) { partition.isAdopted = true; },
                             [](const auto &) {}},
               record.body);
}

NaiveState toNaive(const std::map<Base::PartitionId, ReplayedPartition> &replayed,
                   const FakeStore &store)
{
    NaiveState state;
    for (const auto &[id, partition] : replayed) {
        NaivePartition &naive = state[id];
        naive.isAdopted = partition.adopted.has_value();
        for (const auto &[program, snapshot] : partition.programs) {
            NaiveProgram &turns = naive.programs[program];
            turns = toNaive(snapshot.state, store);
            turns.history.insert(turns.history.end(), snapshot.tail.begin(), snapshot.tail.end());
        }
    }
    return state;
}

std::string compareWithLog(const NaiveState &found,
                           const std::vector<Record> &log,
                           std::size_t atLeast,
                           const FakeStore &store)
{
    NaiveState expected;
    NaiveState atCommitted;
    for (std::size_t i = 0; i <= log.size(); ++i) {
        if (i >= atLeast && isSameState(expected, found)) {
            return {};
        }
        if (i == atLeast) {
            atCommitted = expected;
        }
        if (i < log.size()) {
            applyNaively(expected, log[i], store);
        }
    }
    return "replay:" + describe(found) + "\n  committed (" + std::to_string(atLeast) + " of "
           + std::to_string(log.size()) + " records):" + describe(atCommitted)
           + "\n  whole log:" + describe(expected);
}

} // namespace JournalTest
