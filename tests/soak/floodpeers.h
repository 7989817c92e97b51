#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

namespace Soak {

/// What a server sends in response to each request.
struct FloodResponse
{
    /// "{id}" stands for the id of the request.
    std::string head;
    /// Repeated until the connection closes; nothing follows the head if it is empty.
    std::string tail;
    std::chrono::milliseconds delay{};
};

/// Server on a thread of its own, so that it writes as fast as a daemon reads.
class FloodServer
{
public:
    FloodServer(std::string id, std::string service, FloodResponse response);
    ~FloodServer();

    FloodServer(const FloodServer &) = delete;
    FloodServer &operator=(const FloodServer &) = delete;

    const std::string &id() const { return id_; }
    /// Returns the server's entry in the platform's store.
    nlohmann::json entry() const;

private:
    class Connection;

    void accept();

    std::string id_;
    std::string service_;
    FloodResponse response_;
    asio::io_context context_;
    asio::ip::tcp::acceptor acceptor_;
    std::jthread thread_;
};

/// What each of the callers sends again and again, on a new connection each time.
struct FloodRequest
{
    std::string method;
    std::string target;
    std::string key;
    std::size_t bodyBytes = 0;
    /// Last bytes of the body that are never sent.
    std::size_t missingBytes = 0;
    /// Callers that do not read begin to do so when they are stopped.
    bool isReading = true;
};

/// Callers on a thread of their own, which discard what they receive.
class FloodCallers
{
public:
    FloodCallers(std::string name,
                 FloodRequest request,
                 std::vector<asio::ip::tcp::endpoint> daemons,
                 int count);
    ~FloodCallers();

    FloodCallers(const FloodCallers &) = delete;
    FloodCallers &operator=(const FloodCallers &) = delete;

    /// Requests in progress continue until they end.
    void stop() { isStopping_ = true; }
    /// Responses with status 200 that were complete, as stated by their Content-Length.
    int served() const { return served_; }
    int ended() const { return ended_; }
    /// Requests that were sent completely and have not ended.
    int open() const { return open_; }

private:
    class Caller;

    std::string name_;
    FloodRequest request_;
    std::vector<asio::ip::tcp::endpoint> daemons_;
    std::atomic<bool> isStopping_ = false;
    std::atomic<int> served_ = 0;
    std::atomic<int> ended_ = 0;
    std::atomic<int> open_ = 0;
    asio::io_context context_;
    std::jthread thread_;
};

} // namespace Soak
