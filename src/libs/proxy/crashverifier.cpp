#include "crashverifier.h"

#include "steadyclock.h"

namespace Proxy {

using Dispatch::ServerInstance;

CrashVerifier::CrashVerifier(ServerConnector &connector,
                             Base::Duration timeout,
                             Callbacks callbacks)
    : connector_(connector)
    , timeout_(timeout)
    , callbacks_(std::move(callbacks))
{}

void CrashVerifier::disconnected(const Dispatch::CrashReport &report)
{
    const ServerInstance instance = report.server;
    std::vector<Suspicion> &suspicions = suspicions_[instance];
    suspicions.push_back({report, steadyNow()});
    if (suspicions.size() > 1) {
        return;
    }
    const auto address = callbacks_.lookup(instance);
    if (!address) {
        onVerified(instance, nullptr);
        return;
    }
    connector_.connect({instance, *address},
                       timeout_,
                       [this, instance](const auto &connection, const std::string &) {
                           onVerified(instance, connection);
                       });
}

void CrashVerifier::onVerified(const ServerInstance &instance,
                               const std::shared_ptr<ClientConnection> &connection)
{
    const std::vector<Suspicion> suspicions = std::move(suspicions_[instance]);
    suspicions_.erase(instance);
    if (connection) {
        callbacks_.isAlive(instance, connection);
        return;
    }
    const Base::Instant now = steadyNow();
    for (const Suspicion &suspicion : suspicions) {
        Dispatch::CrashReport report = suspicion.report;
        report.age = now - suspicion.disconnectedAt;
        callbacks_.crashed(report);
    }
}

} // namespace Proxy
