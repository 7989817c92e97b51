// The active configuration.

#include "daemoncore_p.h"

#include <base/visitor.h>

#include <algorithm>
#include <cmath>

namespace Scheduler {

namespace {

using Base::Instant;
using Base::Visitor;

} // namespace

Dispatch::ServiceKind toDispatch(Contracts::ServiceKind kind)
{
    return kind == Contracts::ServiceKind::Model ? Dispatch::ServiceKind::Model
                                                 : Dispatch::ServiceKind::Plain;
}

Admission::RateLimit rateLimitOf(const Contracts::Team &team)
{
    return {team.ratePerSecond,
            Admission::Permits(static_cast<std::int64_t>(std::floor(team.burst)))};
}

bool allowsTeam(const Contracts::Service &service, const Base::TeamId &team)
{
    return service.teams.empty()
           || std::find(service.teams.begin(), service.teams.end(), team) != service.teams.end();
}

void DaemonCore::Private::configActions(Instant now)
{
    for (Contracts::ConfigReplicaAction &action : config_.takeActions()) {
        ++processedActions_;
        std::visit(
            Visitor{
                [&](Contracts::SendStoreRequest &send) {
                    callStore(StoreClient::Config, 0, std::move(send.request));
                },
                [&](Contracts::SendToPeer &message) {
                    std::visit([&](auto &body) { send(message.peer, std::move(body), now); },
                               message.message);
                },
                [&](const Contracts::ConfigurationActivated &activated) {
                    configurationActivated(activated, now);
                },
                [&](const Contracts::ConfigurationRejected &rejected) {
                    std::string message = "the configuration was rejected";
                    for (const Base::SettingsProblem &problem : rejected.problems) {
                        message += "; " + problem.path + ": found " + problem.found + ", expected "
                                   + problem.expected;
                    }
                    log({Severity::Error, std::move(message), {}, {}, "configure", rejected.peer});
                }},
            action);
    }
}

void DaemonCore::Private::editorActions(Instant now)
{
    for (Contracts::ConfigEditorAction &action : editor_.takeActions()) {
        ++processedActions_;
        std::visit(Visitor{[&](Contracts::SendStoreRequest &send) {
                               callStore(StoreClient::ConfigEditor, 0, std::move(send.request));
                           },
                           [&](const Contracts::PushToPeers &push) {
                               for (const Base::IncarnationId &peer : peerIncarnations()) {
                                   send(peer, push.push, now);
                               }
                           },
                           [&](const Contracts::EditAccepted &editAccepted) {
                               config_.editAccepted(*editAccepted.document, now);
                               actions_.emplace_back(AnswerEdit{editAccepted});
                           },
                           [&](const auto &answer) { actions_.emplace_back(AnswerEdit{answer}); }},
                   action);
    }
}

void DaemonCore::Private::configurationActivated(const Contracts::ConfigurationActivated &activated,
                                                 Instant now)
{
    keys_ = Contracts::KeyAuthenticator(*activated.document);
    for (const Contracts::ConfigChange &change : activated.changes) {
        std::visit(
            Visitor{
                [&](const Contracts::KeyWithdrawn &key) { programs_.keyWithdrawn(key.key, now); },
                [&](const Contracts::TeamRemoved &team) {
                    borrowers_.removed(team.team, now);
                    lenders_.lost(team.team);
                },
                [&](const Contracts::ServerRemoved &server) { slotLenders_.lost(server.server); },
                [](const auto &) {}},
            change);
    }
    configureTeams(now);
    configureServers(now);
    ownership_.setConfigVersion(activated.document->version);
    log({Severity::Info,
         "configuration version " + std::to_string(activated.document->version.value())
             + " is in force",
         {},
         {},
         "configure",
         {}});
}

void DaemonCore::Private::configureTeams(Instant now)
{
    for (const Contracts::Team &team : config_.document()->teams) {
        const Admission::RateLimit limit = rateLimitOf(team);
        borrowers_.configured(team.id, limit);
        const auto epoch = serving_.find(partitionOfTeam(team.id));
        if (lenders_.owns(team.id)) {
            lenders_.configured(team.id, limit, now);
        } else if (epoch != serving_.end()) {
            // Daemons with an older configuration may still hold grants of a removed team of the
            // same name, so lending starts after these have expired.
            lenders_.acquired(team.id,
                              limit,
                              epoch->second,
                              now,
                              now + settings_.lender.grantLength,
                              leaseExpiry_.expiry());
        }
    }
}

void DaemonCore::Private::configureServers(Instant now)
{
    std::vector<Dispatch::ServerConfig> servers;
    for (const Contracts::BackendServer &server : config_.document()->servers) {
        const Contracts::Service *service = config_.document()->findService(server.service);
        Dispatch::ServerConfig config;
        config.server = server.id;
        config.zone = server.zone;
        config.service = server.service;
        config.kind = service ? toDispatch(service->kind) : Dispatch::ServiceKind::Plain;
        config.slots = server.slots;
        const bool getsNoWork = config_.document()->getsNoWork(server);
        config.isLeaving = getsNoWork;
        servers.push_back(std::move(config));
        const auto epoch = serving_.find(partitionOfServer(server.id));
        if (slotLenders_.owns(server.id)) {
            slotLenders_.configured(server.id, server.slots, getsNoWork, now);
        } else if (epoch != serving_.end()) {
            slotLenders_.acquired(server.id, server.slots, epoch->second, now);
        }
    }
    dispatcher_.serversChanged(servers, now);
}

} // namespace Scheduler
