#pragma once

#include <proxy/callerconnection.h>

#include <asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

/// Fake of the platform's store on the event loop of a test: objects by kind and name, conditional
/// writes, paged lists and long-polling watches.
class PlatformStore
{
public:
    explicit PlatformStore(asio::io_context &context);

    asio::ip::tcp::endpoint endpoint() const { return acceptor_.local_endpoint(); }

    /// Writes an object, as the operator or a server does.
    void put(const std::string &kind, const std::string &name, const nlohmann::json &spec);
    /// Writes an object whose spec is this text in each response, whether or not it can be parsed.
    void putText(const std::string &kind, const std::string &name, const std::string &spec);
    /// Writes an object whose name cannot be read in responses.
    void putWithoutName(const std::string &kind,
                        const std::string &name,
                        const nlohmann::json &spec);
    void erase(const std::string &kind, const std::string &name);
    nlohmann::json spec(const std::string &kind, const std::string &name) const;
    nlohmann::json status(const std::string &kind, const std::string &name) const;

    /// Responds to every call with this status; 0 restores normal operation.
    void refuseWith(int status) { refusalStatus_ = status; }
    /// Executes the next write and closes its connection without a response.
    void dropNextResponse() { dropsNextResponse_ = true; }
    /// Ends pending watches and discards the history.
    void compact();
    void setPageSize(std::size_t size) { pageSize_ = size; }

    int calls() const { return calls_; }
    /// Calls whose response may not be stale; the others cost a tenth.
    int currentCalls() const { return currentCalls_; }

private:
    using Caller = std::shared_ptr<Proxy::CallerConnection>;
    using Kind = std::map<std::string, nlohmann::json>;
    struct Watch
    {
        Caller caller;
        std::string kind;
        std::uint64_t after = 0;
        /// Ends the watch with an empty response.
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
    bool respondToWatch(const Watch &watch);
    void notifyWatches(const std::string &kind);
    void store(const std::string &kind, const std::string &name, const nlohmann::json &spec);
    void respond(const Caller &caller, int status, const nlohmann::json &body) const;

    void recordDeletion(const std::string &kind, const std::string &name);
    void finishWatch(const Caller &caller);

    asio::io_context &context_;
    asio::ip::tcp::acceptor acceptor_;
    std::shared_ptr<Proxy::CallerHandlers> handlers_;
    std::map<std::string, Kind> kinds_;
    /// Revisions of deletions by kind and name.
    std::map<std::string, std::map<std::string, std::uint64_t>> deletions_;
    /// Specs that are written as they are, by the string that stands for them.
    std::map<std::string, std::string> texts_;
    std::vector<Watch> watches_;
    std::uint64_t revision_ = 1;
    std::uint64_t oldestRevision_ = 0;
    std::size_t pageSize_ = 500;
    int refusalStatus_ = 0;
    bool dropsNextResponse_ = false;
    int calls_ = 0;
    int currentCalls_ = 0;
};
