#pragma once

#include "clientconnection.h"

#include <base/memorybudget.h>

#include <asio/io_context.hpp>

#include <deque>

namespace Proxy {

/// The response to a call, or the error.
struct CallResult
{
    /// 0 if no complete response arrived.
    int status = 0;
    std::string body;
    /// Empty if a complete response arrived.
    std::string problem;
    /// No byte of the request was sent.
    bool isNotSent = false;
};

/// Limits on one call.
struct CallLimits
{
    Base::Duration timeout{};
    /// The largest body of a response. A larger one counts as no response, and ends the connection.
    Base::Bytes responseBytes;
};

/// Client of one HTTP server with persistent connections. Does not retry calls. Not thread-safe.
class HttpCaller
{
public:
    using Done = std::function<void(CallResult)>;

    HttpCaller(asio::io_context &context, asio::ip::tcp::endpoint server, std::string host);
    ~HttpCaller();

    /// Leases the bodies of responses from the budget, as a holder with the address of the server.
    /// A body that may not grow counts as no response. That many bytes stay free for calls to other
    /// servers. The budget must outlive the calls.
    void setMemory(Base::MemoryBudget &budget, Base::Bytes reserve = {});

    /// Always calls back, at the latest after the timeout.
    void call(std::string method,
              std::string target,
              const std::string &body,
              const CallLimits &limits,
              Done done);

private:
    class Call;

    asio::io_context &context_;
    asio::ip::tcp::endpoint server_;
    std::string host_;
    std::shared_ptr<Base::MemoryBudget::Holder> memory_;
    Base::Bytes reserve_;
    /// Shared with calls in flight, which may outlive this object.
    std::shared_ptr<std::deque<std::shared_ptr<ClientConnection>>> idle_;
};

} // namespace Proxy
