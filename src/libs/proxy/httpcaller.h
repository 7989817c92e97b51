#pragma once

#include "clientconnection.h"

#include <asio/io_context.hpp>

#include <deque>

namespace Proxy {

/// Answer to one call, or why there is none.
struct CallResult
{
    /// 0 if no whole answer came.
    int status = 0;
    std::string body;
    /// Empty if an answer came.
    std::string problem;
    /// No byte of the call left this process.
    bool isNotSent = false;
};

/// Calls to one HTTP server over kept connections. Calls are never repeated. Not thread-safe.
class HttpCaller
{
public:
    using Done = std::function<void(CallResult)>;

    HttpCaller(asio::io_context &context, asio::ip::tcp::endpoint server, std::string host);
    ~HttpCaller();

    /// Always answers, at the latest when the time is up.
    void call(std::string method,
              std::string target,
              const std::string &body,
              Base::Duration timeout,
              Done done);

private:
    class Call;

    asio::io_context &context_;
    asio::ip::tcp::endpoint server_;
    std::string host_;
    /// Shared with calls under way, which may outlive the caller.
    std::shared_ptr<std::deque<std::shared_ptr<ClientConnection>>> idle_;
};

} // namespace Proxy
