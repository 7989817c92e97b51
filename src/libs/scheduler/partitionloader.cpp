#include "partitionloader.h"

#include <base/visitor.h>

namespace Scheduler {

namespace {

using Base::Instant;
using Base::PartitionId;
using Base::Visitor;

/// Children that a program may create in one epoch of its partition.
constexpr std::uint32_t childNumbersPerEpoch = 1U << 16;
constexpr std::uint64_t epochMask = 0x7fff;

} // namespace

void PartitionLoader::load(RecoveredPartition recovered, Instant now)
{
    const PartitionId partition = recovered.partition;
    Loading &loading = loading_[partition];
    loading = Loading{};
    for (auto &[program, snapshot] : recovered.content.programs) {
        if (snapshot.state.ended) {
            continue;
        }
        loading.result.histories[program] = std::move(snapshot.tail);
        if (snapshot.state.chunks.empty()) {
            continue;
        }
        auto machine = std::make_unique<Journal::HistoryReader>(program, snapshot.state.chunks);
        machine->start(now);
        readers_.emplace(++lastMachine_, Reader{partition, program, std::move(machine)});
        ++loading.pendingReads;
    }
    loading.result.recovered = std::move(recovered);
    if (loading.pendingReads == 0) {
        actions_.emplace_back(std::move(loading.result));
        loading_.erase(partition);
    }
    collectActions(now);
}

void PartitionLoader::lost(PartitionId partition)
{
    loading_.erase(partition);
    std::erase_if(readers_, [&](const auto &entry) { return entry.second.partition == partition; });
}

void PartitionLoader::storeReplied(std::uint64_t machine,
                                   const Platform::StoreReply &reply,
                                   Instant now)
{
    const auto entry = readers_.find(machine);
    if (entry != readers_.end()) {
        entry->second.machine->handle(reply, now);
        collectActions(now);
    }
}

void PartitionLoader::tick(Instant now)
{
    for (auto &[number, reader] : readers_) {
        reader.machine->tick(now);
    }
    collectActions(now);
}

std::optional<Instant> PartitionLoader::nextWakeUp() const
{
    std::optional<Instant> next;
    for (const auto &[number, reader] : readers_) {
        const std::optional<Instant> due = reader.machine->nextWakeUp();
        if (due && (!next || *due < *next)) {
            next = due;
        }
    }
    return next;
}

std::vector<LoaderAction> PartitionLoader::takeActions()
{
    return std::exchange(actions_, {});
}

void PartitionLoader::collectActions(Instant now)
{
    std::vector<std::uint64_t> finished;
    for (auto &entry : readers_) {
        const std::uint64_t number = entry.first;
        Reader &reader = entry.second;
        for (Journal::HistoryAction &action : reader.machine->takeActions()) {
            std::visit(
                Visitor{
                    [&](Journal::SendStoreRequest &send) {
                        actions_.emplace_back(LoaderStoreRequest{number, std::move(send.request)});
                    },
                    [&](Journal::HistoryRead &read) {
                        finished.push_back(number);
                        historyRead(reader.partition, std::move(read));
                    },
                    // The read is retried, because the partition cannot be served
                    // without the history.
                    [&](Journal::HistoryFailed &) { reader.machine->start(now); }},
                action);
        }
    }
    for (const std::uint64_t number : finished) {
        readers_.erase(number);
    }
}

void PartitionLoader::historyRead(PartitionId partition, Journal::HistoryRead read)
{
    const auto entry = loading_.find(partition);
    if (entry == loading_.end()) {
        return;
    }
    Loading &loading = entry->second;
    std::vector<Journal::CallResult> &turns = loading.result.histories[read.program];
    turns.insert(turns.begin(),
                 std::make_move_iterator(read.turns.begin()),
                 std::make_move_iterator(read.turns.end()));
    if (--loading.pendingReads == 0) {
        actions_.emplace_back(std::move(loading.result));
        loading_.erase(entry);
    }
}

Programs::ProgramSnapshot toSnapshot(const Journal::ProgramState &state,
                                     const std::vector<Journal::CallResult> &turns,
                                     Base::Epoch epoch)
{
    Programs::ProgramSnapshot snapshot;
    snapshot.created = state.created;
    auto history = std::make_shared<Programs::History>();
    history->reserve(turns.size());
    for (const Journal::CallResult &turn : turns) {
        Programs::TurnContent content;
        content.number = turn.number;
        content.bodyHash = turn.bodyHash;
        content.service = turn.service;
        content.server = turn.server;
        content.input = turn.input;
        content.output = turn.output;
        content.error = turn.error;
        content.promptTokens = turn.promptTokens;
        content.outputTokens = turn.outputTokens;
        content.at = turn.at;
        history->push_back(std::make_shared<Programs::Turn>(content));
    }
    snapshot.history = std::move(history);
    snapshot.charged = state.spent;
    snapshot.openIntent = state.openCall;
    snapshot.children = state.openChildren;
    // Each epoch numbers children in its own range, so that the id of an ended child that is no
    // longer in the journal is not used again.
    snapshot.childCount
        = static_cast<std::uint32_t>(epoch.value() & epochMask) * childNumbersPerEpoch;
    return snapshot;
}

} // namespace Scheduler
