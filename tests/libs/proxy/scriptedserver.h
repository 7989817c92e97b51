#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

/// A server whose connections each follow the next script: for every complete request, the next
/// response of the script is written verbatim.
class ScriptedServer
{
public:
    struct Script
    {
        /// One response for each request on the connection; "{id}" is replaced by the request's id.
        std::vector<std::string> responses;
        /// Closes after the last response; otherwise the connection stays open.
        bool closesAfterwards = false;
        /// The whole server ends after the last response.
        bool crashesAfterwards = false;
        /// Resets the connection after the last response.
        bool resetsAfterwards = false;
        /// Is written again and again after the last response, until the connection ends.
        std::string endlessTail = {};
        /// Writes the last response once the head of a request has arrived, and reads no further.
        bool leavesLastBodyUnread = false;
        /// The last response is written by sendNext().
        bool waitsForSendNext = false;
        /// Sends no more after the last response, before the connection is closed or reset.
        bool shutsDownAfterwards = false;
    };

    explicit ScriptedServer(asio::io_context &context,
                            const asio::ip::tcp::endpoint &address
                            = {asio::ip::address_v4::loopback(), 0});
    ~ScriptedServer();

    void add(Script script) { scripts_.push_back(std::move(script)); }
    /// Each connection for which no script is left follows this one.
    void setDefaultScript(Script script) { defaultScript_ = std::move(script); }
    /// Responds to the requests for which the scripts have no response.
    void setResponder(std::function<std::string(const std::string &request)> responder)
    {
        responder_ = std::move(responder);
    }
    /// Receive buffer of the connections that are accepted from now on.
    void setReceiveBytes(int bytes);
    std::string address() const;
    const asio::ip::tcp::endpoint &endpoint() const { return endpoint_; }
    void closeConnections();
    /// Ends all connections with a reset.
    void resetConnections();
    /// Ends all connections and accepts no more.
    void crash();
    /// Accepts connections again, at the same address.
    void restart();
    /// Writes the next response of the newest connection without a request.
    void sendNext(const std::string &id);

    /// Complete requests in the order of their arrival, and the start of each whose body is left
    /// unread.
    const std::vector<std::string> &requests() const { return requests_; }
    int connectionCount() const { return connectionCount_; }
    int closedByPeer() const { return closedByPeer_; }
    /// Bytes that were written of endless tails.
    std::size_t endlessBytes() const { return endlessBytes_; }

private:
    class Connection;

    void accept();

    asio::io_context &context_;
    asio::ip::tcp::acceptor acceptor_;
    asio::ip::tcp::endpoint endpoint_;
    std::deque<Script> scripts_;
    Script defaultScript_;
    std::function<std::string(const std::string &request)> responder_;
    std::vector<std::string> requests_;
    std::vector<std::shared_ptr<Connection>> connections_;
    int connectionCount_ = 0;
    int closedByPeer_ = 0;
    std::size_t endlessBytes_ = 0;
};
