#pragma once
// Agent programs: turns with a token budget, through any front daemon.

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

struct Program
{
    std::string id;
    std::string session;
    int budget = 0;
    int maxTurn = 0;
    /// Tokens of all events that the client got, of attempts that broke off as well.
    int tokens = 0;
    int lastStatus = 0;
    int tokensBefore = 0;
    bool isEnded = false;
};

inline int countEvents(const std::string &bytes)
{
    int count = 0;
    for (std::size_t at = 0; (at = bytes.find("\n\n", at)) != std::string::npos; at += 2) {
        ++count;
    }
    return count;
}

/// Sends one turn of the program and counts the tokens that arrive; returns the status, or 0.
inline int sendTurn(const Front &front, Program &program, int events, int maxTokens, const json &tenant)
{
    thread_local std::mt19937_64 random(std::random_device{}());
    const std::string attempt = hexId(random);
    const auto connection = Connection::open(front.callers);
    Message answer;
    int status = 0;
    int got = 0;
    if (connection) {
        connection->setTimeout(4);
        const std::string body = std::to_string(events) + "\n";
        connection->write(
            "POST /turns/4b HTTP/1.1\r\nHost: agents.example\r\nX-Attempt-Id: " + attempt
            + "\r\nX-Program-Id: " + program.id + "\r\nX-Session-Id: " + program.session
            + "\r\nX-Finish-Ms: 100000\r\nX-Model: m\r\nX-Token-Budget: "
            + std::to_string(program.budget) + "\r\nX-Token-Count: 100," + std::to_string(maxTokens)
            + "\r\nX-Prompt-Prefix: 5c1e07a2:60," + program.id
            + ":40\r\nX-Deadline-Ms: 3000\r\nAuthorization: Bearer "
            + tenant["api_keys"][0].get<std::string>()
            + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
        if (connection->readHead(answer)) {
            status = answer.status();
            connection->readBody(answer);
            got = status == 200 ? countEvents(answer.body) * stride : 0;
        }
    }
    program.tokens += got;
    program.lastStatus = status;
    record("turn " + attempt + " of " + program.id + " through " + front.process->name + ": "
           + std::to_string(status) + ", " + std::to_string(got) + " tokens, "
           + std::to_string(program.tokens) + " of " + std::to_string(program.budget));
    return status;
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
    for (int i = 0; i < 3; ++i) {
        const std::string zone = zones[static_cast<std::size_t>(i)];
        servers.push_back(std::make_unique<Backend>(deployment.store,
                                                    "i-model" + std::to_string(i),
                                                    "planner",
                                                    Address{deployment.address(200 + i),
                                                            deployment.serverPort()},
                                                    zone));
        servers.back()->onRun = streamEvents;
        servers.push_back(std::make_unique<Backend>(deployment.store,
                                                    "i-club" + std::to_string(i),
                                                    "club",
                                                    Address{deployment.address(210 + i),
                                                            deployment.serverPort()},
                                                    zone));
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
