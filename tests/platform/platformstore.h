#pragma once

#include <proxy/callerconnection.h>

#include <asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

/// Stand-in for the platform's store on the event loop of a test: objects by kind and name,
/// conditional writes, lists in pages and waiting watches.
class PlatformStore
{
public:
    explicit PlatformStore(asio::io_context &context);

    asio::ip::tcp::endpoint endpoint() const { return acceptor_.local_endpoint(); }

    /// The operator's or a server's write.
    void put(const std::string &kind, const std::string &name, const nlohmann::json &spec);
    void erase(const std::string &kind, const std::string &name);
    nlohmann::json spec(const std::string &kind, const std::string &name) const;
    nlohmann::json status(const std::string &kind, const std::string &name) const;

    /// Answers every call with this status instead; 0 ends that.
    void refuseWith(int status) { refusal_ = status; }
    /// Does the next write and closes its connection unanswered.
    void loseNextAnswer() { losesNextAnswer_ = true; }
    /// Ends waiting watches and forgets what was before.
    void compact();
    void setPageSize(std::size_t size) { pageSize_ = size; }

    int calls() const { return calls_; }

private:
    using Caller = std::shared_ptr<Proxy::CallerConnection>;
    using Kind = std::map<std::string, nlohmann::json>;
    struct Watch
    {
        Caller caller;
        std::string kind;
        std::uint64_t after = 0;
        /// Ends the wait with an empty answer.
        std::shared_ptr<asio::steady_timer> timer;
    };

    void accept();
    void onRequest(const Caller &caller, const Proxy::CallerRequest &request);
    void list(const Caller &caller, const std::string &kind, const std::string &query);
    void watch(const Caller &caller, const std::string &kind, const std::string &query);
    void write(const Caller &caller,
               const Proxy::CallerRequest &request,
               const std::string &kind,
               std::string name);
    bool answerWatch(const Watch &watch);
    void changed(const std::string &kind);
    void store(const std::string &kind, const std::string &name, const nlohmann::json &spec);
    static void answer(const Caller &caller, int status, const nlohmann::json &body);

    void endWait(const Caller &caller);

    asio::io_context &context_;
    asio::ip::tcp::acceptor acceptor_;
    std::shared_ptr<Proxy::CallerHandlers> services_;
    std::map<std::string, Kind> kinds_;
    std::vector<Watch> watches_;
    std::uint64_t revision_ = 1;
    std::uint64_t oldest_ = 0;
    std::size_t pageSize_ = 500;
    int refusal_ = 0;
    bool losesNextAnswer_ = false;
    int calls_ = 0;
};
