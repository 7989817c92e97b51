#pragma once

#include "clientcrowd.h"
#include "processwatch.h"

#include <platform/platformstore.h>
#include <soak/flooddaemons.h>
#include <soak/floodpeers.h>

#include <list>
#include <memory>
#include <optional>

namespace Crowd {

/// Limits of a process according to its settings.
struct ProcessLimits
{
    int memoryMegabytes = 0;
    int maxDescriptors = 0;
};

/// One daemon as a process, with a stand-in store and servers.
class CrowdEnvironment
{
public:
    CrowdEnvironment(const std::string &role, const ProcessLimits &limits);
    ~CrowdEnvironment();

    CrowdEnvironment(const CrowdEnvironment &) = delete;
    CrowdEnvironment &operator=(const CrowdEnvironment &) = delete;

    asio::ip::tcp::endpoint endpoint(int port) const;
    asio::ip::address address() const { return endpoint(0).address(); }

    /// Starts a crowd that stays until leave(), and returns once it is quiet.
    void hold(int port, CrowdRequest request, int count);
    /// Callers that send complete requests for a response without end, and do not read it.
    void holdLateReaders(int count);
    void leave();
    /// The daemon responds to the request with 200.
    void assertServed(int port, const std::string &text, const char *when);
    /// As above, from the address of the daemon itself.
    void assertServedLocally(int port, const std::string &text, const char *when);
    /// The daemon lives and stayed within its limits.
    void assertWithinLimits();

private:
    void assertStatus(int status, const char *when);

    ProcessLimits limits_;
    std::filesystem::path folder_;
    asio::io_context context_;
    PlatformStore store_;
    Soak::FloodServer faulty_;
    Soak::FloodServer sound_;
    Soak::FloodDaemons daemons_;
    std::jthread storeThread_;
    std::optional<ProcessWatch> watch_;
    std::list<ClientCrowd> crowds_;
    std::unique_ptr<Soak::FloodCallers> lateReaders_;
};

/// A request of the sound service.
std::string soundRequest();
/// The head of a request on a route, with the given lines added.
std::string requestHead(const std::string &method,
                        const std::string &lines,
                        const std::string &route = "plain");

} // namespace Crowd
