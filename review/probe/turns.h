#pragma once
// The deployment of the cases: model servers that stream turns, plain servers, and the configuration.

#include "probe.h"

namespace probe {

constexpr int stride = 29;

/// Streams as many events as the body says.
inline bool streamEvents(Connection &connection, Message &request, Backend &server)
{
    const std::string attempt = request.header("X-Attempt-Id");
    const int events = std::atoi(request.body.c_str());
    bool isOpen = connection.write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                                   "X-Attempt-Id: "
                                   + attempt + "\r\nX-Server-Stamp: " + Backend::stamp()
                                   + "\r\nX-Server-Load: " + server.load()
                                   + "\r\nX-Weight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (int i = 1; isOpen && i <= events; ++i) {
        const std::string event = "id: " + std::to_string(i) + "\ndata: " + attempt + " "
                                  + std::to_string(i) + "\n\n";
        char head[16];
        std::snprintf(head, sizeof head, "%zx\r\n", event.size());
        isOpen = connection.write(head + event + "\r\n");
        sleepFor(0.002);
    }
    return isOpen && connection.write("0\r\n\r\n");
}

inline json agentConfiguration(const json &tenants, double retainSeconds)
{
    return {{"version", 7},
            {"routes",
             {{{"name", "r-turns"},
               {"host", "agents.example"},
               {"path_prefix", "/turns/"},
               {"kind", "stream"},
               {"timeout_ms", 3000},
               {"goal_ms", 250},
               {"priority", 1},
               {"service", "planner"},
               {"attempts", 1},
               {"retained", false},
               {"retain_s", retainSeconds},
               {"public", false},
               {"sticky", true},
               {"resumable", true},
               {"gap_target_ms", 250}},
              {{"name", "r-lookup"},
               {"host", "agents.example"},
               {"path_prefix", "/lookup/"},
               {"kind", "idempotent"},
               {"timeout_ms", 1200},
               {"goal_ms", 80},
               {"priority", 2},
               {"service", "club"},
               {"attempts", 2},
               {"retained", false},
               {"public", false}},
              {{"name", "r-book"},
               {"host", "agents.example"},
               {"path_prefix", "/book/"},
               {"kind", "non_idempotent"},
               {"timeout_ms", 2000},
               {"goal_ms", 250},
               {"priority", 2},
               {"service", "club"},
               {"attempts", 2},
               {"retained", false},
               {"public", false}}}},
            {"services",
             {{{"name", "planner"},
               {"health_path", "/health"},
               {"max_conns", 170},
               {"protocol", "h1"},
               {"tls", false},
               {"engine",
                {{"slots", 16},
                 {"kv_capacity", 529312},
                 {"kv_token_bytes", 18432},
                 {"stride", stride},
                 {"models", {{{"name", "m"}}}}}}},
              {{"name", "club"},
               {"health_path", "/health"},
               {"max_conns", 100},
               {"protocol", "h1"},
               {"tls", false}}}},
            {"limits", callerLimits()},
            {"tenants", tenants}};
}

/// Starts the servers, writes the configuration and starts the project's processes.
inline std::vector<std::unique_ptr<Backend>> startAll(Deployment &deployment,
                                                      const json &configuration)
{
    std::vector<std::unique_ptr<Backend>> servers;
    const auto add = [&](const std::string &id, const std::string &service, int number, int zone) {
        servers.push_back(std::make_unique<Backend>(
            deployment.store,
            id + std::to_string(zone),
            service,
            Address{deployment.address(number + zone), deployment.serverPort()},
            zones[static_cast<std::size_t>(zone)]));
    };
    for (int zone = 0; zone < 3; ++zone) {
        add("i-model", "planner", 200, zone);
        servers.back()->onRun = streamEvents;
        add("i-club", "club", 210, zone);
    }
    deployment.start();
    sleepFor(3);
    deployment.store.put("config", "main", configuration);
    if (!deployment.awaitReady(15)) {
        say("the front daemons do not become ready");
        _exit(2);
    }
    sleepFor(4);
    return servers;
}

} // namespace probe
