#include <base/partition.h>
#include <programs/programtable.h>

#include <sys/resource.h>

#include <chrono>
#include <cstdio>

// Takeover time, memory and cost per call of a ProgramTable against the number of programs.

using namespace Programs;

namespace {

constexpr std::uint16_t partitionCount = 16;
constexpr std::uint32_t turnsPerProgram = 100;
// 140,000 tokens of four bytes a program.
constexpr size_t bytesPerTurn = 140'000 * 4 / turnsPerProgram;
const Base::Instant now(std::chrono::seconds(1'000));

using Clock = std::chrono::steady_clock;

double secondsSince(Clock::time_point begin)
{
    return std::chrono::duration<double>(Clock::now() - begin).count();
}

Base::ProgramId programId(int number)
{
    return Base::ProgramId("program-" + std::to_string(number));
}

/// The records of the programs that belong to the partition.
std::vector<Journal::Record> recordsOf(int programs, Base::PartitionId partition)
{
    std::vector<Journal::Record> records;
    for (int i = 0; i < programs; ++i) {
        if (Base::partitionOf(programId(i), partitionCount) != partition) {
            continue;
        }
        Journal::ProgramCreated created;
        created.program = programId(i);
        created.team = Base::TeamId("team");
        created.budget = Base::Tokens(100'000'000);
        created.maxCalls = 1'000;
        records.push_back({partition, created});
        for (std::uint32_t n = 1; n <= turnsPerProgram; ++n) {
            Journal::CallResult result;
            result.program = created.program;
            result.number = Base::CallNumber(n);
            result.service = Base::ServiceId("planner");
            result.input = std::string(bytesPerTurn / 2, 'i');
            result.output = std::string(bytesPerTurn / 2, 'o');
            result.promptTokens = Base::Tokens(1'400 * n);
            result.outputTokens = Base::Tokens(700);
            records.push_back({partition, result});
        }
    }
    return records;
}

double takeOver(ProgramTable &table, int programs)
{
    double seconds = 0;
    for (std::uint16_t i = 0; i < partitionCount; ++i) {
        const Base::PartitionId partition(i);
        const std::vector<Journal::Record> records = recordsOf(programs, partition);
        const Clock::time_point begin = Clock::now();
        table.partitionAcquired(partition, Base::Epoch(1), now);
        table.recover(partition, records, {}, now);
        seconds += secondsSince(begin);
    }
    return seconds;
}

SubmitCall callOf(int program, std::uint64_t request)
{
    SubmitCall call;
    call.request = Base::RequestId(request);
    call.program = programId(program);
    call.team = Base::TeamId("team");
    call.number = Base::CallNumber(turnsPerProgram + 1);
    call.service = Base::ServiceId("planner");
    call.isIdempotent = true;
    call.input = std::string(1'000, 'i');
    return call;
}

/// Submit, dispatch, completion and commit of one call of every program.
double callEach(ProgramTable &table, int programs)
{
    const Clock::time_point begin = Clock::now();
    for (int i = 0; i < programs; ++i) {
        table.submit(callOf(i, static_cast<std::uint64_t>(i) + 1), now);
        for (int round = 0; round < 2; ++round) {
            for (const ProgramAction &action : table.takeActions()) {
                if (const auto *start = std::get_if<StartDispatch>(&action)) {
                    table.dispatchFinished(start->dispatch,
                                           DispatchCompleted{std::string(1'000, 'o'),
                                                             Base::Tokens(1),
                                                             Base::Tokens(1)},
                                           now);
                } else if (const auto *append = std::get_if<AppendRecords>(&action)) {
                    table.committed(append->ticket, now);
                }
            }
        }
        table.takeActions();
    }
    return secondsSince(begin);
}

void measure(int programs)
{
    ProgramTable table(ProgramLimitsBuilder().partitionCount(partitionCount).build());
    const double seconds = takeOver(table, programs);
    const double mebibytes = static_cast<double>(table.memory().value()) / (1 << 20);
    const double callSeconds = callEach(table, programs);
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    std::printf("%6d programs: takeover %.3f s, table %.0f MiB, %.0f KiB a program, "
                "%.1f us a call, peak resident %.0f MiB\n",
                programs,
                seconds,
                mebibytes,
                mebibytes * 1'024 / programs,
                callSeconds * 1e6 / programs,
                static_cast<double>(usage.ru_maxrss) / 1'024);
}

} // namespace

int main()
{
    for (const int programs : {25, 100, 250}) {
        measure(programs);
    }
    return 0;
}
