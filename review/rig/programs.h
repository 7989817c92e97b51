// Agent programs for the cases on budgets, and the deployment that they use.
#pragma once

#include "rig.h"

namespace rig {

constexpr int stride = 29;
constexpr const char *host = "ficu95.example";
constexpr const char *key = "3fexd9dnn2ctnfzs989a";

/// A configuration with one tenant, one route for turns and one for calls of tools.
inline json configuration(long version, double ratePerS = 0, double burst = 0, double retainS = 60)
{
    json tenant = {{"name", "hule930"}, {"api_keys", {key}}, {"priority", 1}};
    if (ratePerS > 0) {
        tenant["rate_per_s"] = ratePerS;
        tenant["burst"] = burst;
    }
    return {{"version", version},
            {"routes",
             {{{"name", "r-turns"}, {"host", host}, {"path_prefix", "/lohu930/"}, {"kind", "stream"},
               {"timeout_ms", 3000}, {"goal_ms", 250}, {"priority", 1}, {"service", "huvo11a"},
               {"attempts", 1}, {"retained", false}, {"retain_s", retainS}, {"public", false},
               {"sticky", true}, {"resumable", true}, {"gap_target_ms", 250}},
              {{"name", "r-tools"}, {"host", host}, {"path_prefix", "/pule252/"}, {"kind", "idempotent"},
               {"timeout_ms", 1200}, {"goal_ms", 80}, {"priority", 2}, {"service", "wuno96b"},
               {"attempts", 1}, {"retained", false}, {"public", false}, {"sticky", false},
               {"resumable", false}}}},
            {"services",
             {{{"name", "huvo11a"}, {"health_path", "/health"}, {"max_conns", 170}, {"protocol", "h1"},
               {"tls", false}, {"engine", {{"slots", 16}, {"kv_capacity", 529312}, {"stride", stride}}}},
              {{"name", "wuno96b"}, {"health_path", "/health"}, {"max_conns", 100}, {"protocol", "h1"},
               {"tls", false}}}},
            {"limits", {{"header_bytes", 16384}, {"body_bytes", 4194304}, {"header_timeout_ms", 3000},
                        {"idle_timeout_ms", 15000}}},
            {"tenants", {tenant}}};
}

/// One program; its turns may come through any front.
class Program
{
public:
    Program(std::string id, int budget, int maxTokens, std::string apiKey = key)
        : id_(std::move(id))
        , budget_(budget)
        , maxTokens_(maxTokens)
        , key_(std::move(apiKey))
    {}

    /// One client attempt at a turn.
    Answer turn(const Deployment &deployment, const Node &front)
    {
        return turn(deployment, front, maxTokens_);
    }

    Answer turn(const Deployment &deployment, const Node &front, int maxTokens)
    {
        const std::string attempt = newAttempt();
        const std::string body = "what is said in turn " + attempt;
        const std::string request
            = "POST /lohu930/4b HTTP/1.1\r\nHost: " + std::string(host) + "\r\nX-Attempt-Id: " + attempt
              + "\r\nX-Program-Id: " + id_ + "\r\nX-Session-Id: " + id_ + "s\r\nX-Finish-Ms: 30000"
              + "\r\nX-Token-Budget: " + std::to_string(budget_) + "\r\nX-Model: m\r\nX-Token-Count: 40,"
              + std::to_string(maxTokens) + "\r\nX-Prompt-Prefix: 5c1e07a2:40\r\nX-Deadline-Ms: 3000"
              + "\r\nAuthorization: Bearer " + key_ + "\r\nContent-Length: " + std::to_string(body.size())
              + "\r\n\r\n" + body;
        const Answer answer = ask(front.ip, deployment.ports.front, request, 3000);
        const std::lock_guard lock(mutex_);
        tokens_ += answer.events * stride;
        record.line("program " + id_ + " attempt " + attempt + " at " + front.name + ": "
                    + std::to_string(answer.status) + (answer.isWhole ? " whole, " : " not whole, ")
                    + std::to_string(answer.events) + " events; tokens so far " + std::to_string(tokens_)
                    + " of " + std::to_string(budget_));
        return answer;
    }

    /// Turns one after another until three in a row get 402.
    void runUntilStopped(const Deployment &deployment, const Node &front, double until)
    {
        int refused = 0;
        while (refused < 3 && nowS() < until) {
            const Answer answer = turn(deployment, front);
            refused = answer.status == 402 ? refused + 1 : 0;
            if (answer.status != 200) {
                sleepMs(150);
            }
        }
    }

    int tokens() const { return tokens_; }
    int allowed() const { return budget_ + maxTokens_; }
    const std::string &id() const { return id_; }

private:
    std::string id_;
    int budget_;
    int maxTokens_;
    std::string key_;
    int tokens_ = 0;
    std::mutex mutex_;
};

/// Model servers and plain servers, registered in the store.
inline void startServers(Deployment &deployment, std::vector<std::unique_ptr<Server>> &servers)
{
    const std::vector<std::string> zones = {"tas-a", "tas-b", "tas-c"};
    for (int i = 0; i < 6; ++i) {
        auto server = std::make_unique<Server>();
        const bool isModel = i < 3;
        server->id = std::string(isModel ? "i-llm" : "i-app") + std::to_string(i);
        server->service = isModel ? "huvo11a" : "wuno96b";
        server->zone = zones[static_cast<std::size_t>(i) % 3];
        server->ip = deployment.address(100 + i);
        server->slots = isModel ? 16 : 60;
        server->start(deployment.store);
        servers.push_back(std::move(server));
    }
}

} // namespace rig
