#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <deque>
#include <memory>
#include <string>
#include <vector>

/// A server whose connections each follow the next script: for every whole request the next piece
/// of bytes is written as it stands.
class ScriptedServer
{
public:
    struct Script
    {
        /// One answer for each request on the connection; "{id}" stands for the request's id.
        std::vector<std::string> answers;
        /// Closes after the last answer; otherwise the connection stays open.
        bool closesAfterwards = false;
    };

    explicit ScriptedServer(asio::io_context &context);
    ~ScriptedServer();

    void add(Script script) { scripts_.push_back(std::move(script)); }
    std::string address() const;

    /// Whole requests in the order in which they came.
    const std::vector<std::string> &requests() const { return requests_; }
    int connectionCount() const { return connectionCount_; }
    int closedByPeer() const { return closedByPeer_; }

private:
    class Connection;

    void accept();

    asio::io_context &context_;
    asio::ip::tcp::acceptor acceptor_;
    std::deque<Script> scripts_;
    std::vector<std::string> requests_;
    std::vector<std::shared_ptr<Connection>> connections_;
    int connectionCount_ = 0;
    int closedByPeer_ = 0;
};
