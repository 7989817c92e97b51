#include "serverprocesses.h"

#include <algorithm>

namespace Dispatch {

const char *nameOf(ProcessCertainty certainty)
{
    switch (certainty) {
    case ProcessCertainty::Certain:
        return "certain";
    case ProcessCertainty::Probable:
        return "probable";
    case ProcessCertainty::Unsure:
        return "unsure";
    case ProcessCertainty::Doubtful:
        break;
    }
    return "doubtful";
}

void ServerProcesses::Signs::add(Base::Instant at)
{
    first = first.value_or(at);
    last = at;
}

/// The process was alive after the earlier signs, so these were of something else.
void ServerProcesses::Signs::refute(Base::Instant aliveAt)
{
    if (isBefore(aliveAt)) {
        first = last > aliveAt ? std::optional(last) : std::nullopt;
    }
}

void ServerProcesses::serversChanged(const std::vector<ListedServer> &servers, Base::Instant now)
{
    for (auto &[instance, process] : processes_) {
        process.leftAt = process.leftAt.value_or(now);
    }
    for (const ListedServer &server : servers) {
        Process &process = processes_[server.instance()];
        process.service = server.server.service;
        process.leftAt.reset();
        recordSuccessor(server.instance(), now);
    }
    std::erase_if(processes_, [&](const auto &entry) {
        return entry.second.leftAt && now - *entry.second.leftAt >= settings_.retention;
    });
}

/// A late heartbeat may bring back the entry of a process that has ended.
void ServerProcesses::recordSuccessor(const ServerInstance &instance, Base::Instant now)
{
    auto entry = processes_.lower_bound({instance.id, 0});
    for (; entry != processes_.end() && entry->first < instance; ++entry) {
        entry->second.succeededAt = entry->second.succeededAt.value_or(now);
    }
}

void ServerProcesses::wasAlive(const ServerInstance &process, Base::Instant at)
{
    const auto entry = processes_.find(process);
    if (entry == processes_.end()) {
        return;
    }
    Process &known = entry->second;
    if (known.succeededAt && at >= *known.succeededAt) {
        return;
    }
    known.aliveAt = std::max(known.aliveAt.value_or(at), at);
    known.idleClosed.refute(*known.aliveAt);
    known.failed.refute(*known.aliveAt);
}

/// The time of the response itself proves nothing: its bytes may have waited unread while this
/// daemon stood still.
void ServerProcesses::responded(const ServerInstance &process,
                                Base::Instant connectedAt,
                                Base::Instant sentAt)
{
    if (certainty(process, connectedAt) == ProcessCertainty::Certain) {
        wasAlive(process, sentAt);
    }
}

void ServerProcesses::mayHaveEnded(const ServerInstance &process, EndSign sign, Base::Instant at)
{
    const auto entry = processes_.find(process);
    if (entry != processes_.end()) {
        Process &known = entry->second;
        (sign == EndSign::Failed ? known.failed : known.idleClosed).add(at);
    }
}

/// The process was listed before a connection to it was opened, so it had started. If it was alive
/// afterwards, no other process can have accepted the connection.
ProcessCertainty ServerProcesses::certainty(const ServerInstance &process,
                                            Base::Instant connectedAt) const
{
    const auto entry = processes_.find(process);
    if (entry == processes_.end()) {
        return ProcessCertainty::Probable;
    }
    const Process &known = entry->second;
    if (known.aliveAt && *known.aliveAt >= connectedAt) {
        return ProcessCertainty::Certain;
    }
    const bool isSucceeded = known.succeededAt && *known.succeededAt <= connectedAt;
    if (isSucceeded || known.failed.isBefore(connectedAt)) {
        return ProcessCertainty::Doubtful;
    }
    return known.idleClosed.isBefore(connectedAt) ? ProcessCertainty::Unsure
                                                  : ProcessCertainty::Probable;
}

bool ServerProcesses::hasDoubtful(const Base::ServiceId &service) const
{
    return std::any_of(processes_.begin(), processes_.end(), [&](const auto &entry) {
        const Process &process = entry.second;
        return process.service == service && process.failed.first && !process.leftAt;
    });
}

std::size_t ServerProcesses::doubtfulCount() const
{
    return static_cast<std::size_t>(
        std::count_if(processes_.begin(), processes_.end(), [](const auto &entry) {
            return entry.second.failed.first && !entry.second.leftAt;
        }));
}

} // namespace Dispatch
