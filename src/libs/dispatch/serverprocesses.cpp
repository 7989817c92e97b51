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

void ServerProcesses::serversChanged(const std::vector<ListedServer> &servers, Base::Instant now)
{
    for (auto &[instance, process] : processes_) {
        process.leftAt = process.leftAt.value_or(now);
    }
    for (const ListedServer &server : servers) {
        Process &process = processes_[server.instance()];
        process.service = server.server.service;
        process.leftAt.reset();
    }
    std::erase_if(processes_, [&](const auto &entry) {
        return entry.second.leftAt && now - *entry.second.leftAt >= settings_.retention;
    });
}

void ServerProcesses::wasAlive(const ServerInstance &process, Base::Instant at)
{
    const auto entry = processes_.find(process);
    if (entry == processes_.end()) {
        return;
    }
    Process &known = entry->second;
    known.aliveAt = std::max(known.aliveAt.value_or(at), at);
    for (std::optional<Base::Instant> *sign : {&known.idleClosedAt, &known.failedAt}) {
        if (*sign && **sign <= *known.aliveAt) {
            sign->reset();
        }
    }
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
    if (entry == processes_.end()) {
        return;
    }
    Process &known = entry->second;
    std::optional<Base::Instant> &first
        = sign == EndSign::Failed ? known.failedAt : known.idleClosedAt;
    first = first.value_or(at);
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
    const auto isBefore
        = [&](const std::optional<Base::Instant> &sign) { return sign && *sign <= connectedAt; };
    if (isBefore(known.failedAt)) {
        return ProcessCertainty::Doubtful;
    }
    return isBefore(known.idleClosedAt) ? ProcessCertainty::Unsure : ProcessCertainty::Probable;
}

bool ServerProcesses::hasDoubtful(const Base::ServiceId &service) const
{
    return std::any_of(processes_.begin(), processes_.end(), [&](const auto &entry) {
        const Process &process = entry.second;
        return process.service == service && process.failedAt && !process.leftAt;
    });
}

std::size_t ServerProcesses::doubtfulCount() const
{
    return static_cast<std::size_t>(
        std::count_if(processes_.begin(), processes_.end(), [](const auto &entry) {
            return entry.second.failedAt && !entry.second.leftAt;
        }));
}

} // namespace Dispatch
