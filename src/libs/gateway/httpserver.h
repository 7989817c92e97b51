#pragma once

#include <base/error.h>
#include <base/types.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace asio {
class io_context;
}

namespace Gateway {

/// One HTTP request as it came from a caller.
struct IncomingRequest
{
    Base::RequestId id;
    std::string method;
    /// Path and query, not decoded.
    std::string target;
    std::string authorization;
    std::string contentType;
    std::string body;
};

struct HttpAnswer
{
    int status = 200;
    std::string contentType = "application/json";
    std::string body;
    /// Sent as Retry-After, rounded up to whole seconds.
    std::optional<Base::Duration> retryAfter;
};

struct HttpServerSettings
{
    std::string address;
    std::uint16_t port = 0;
    /// Requests above it are cut off while they are read.
    Base::Bytes maxBody{8'000'000};
    Base::Duration readTimeout = std::chrono::seconds(30);
    /// Bytes of a stream that may wait for a slow caller before it is closed.
    Base::Bytes maxStreamBacklog{4'000'000};
};

/// HTTP/1.1 server towards callers and operators. Every answer is given later, from any thread,
/// by request id; answers to callers that are gone are dropped.
class HttpServer
{
public:
    struct Handlers
    {
        std::function<void(IncomingRequest)> onRequest;
        /// The caller closed its connection before the answer was complete.
        std::function<void(Base::RequestId)> onCallerGone;
    };

    HttpServer(asio::io_context &context, HttpServerSettings settings, Handlers handlers);
    ~HttpServer();

    /// Throws std::exception if the address cannot be bound.
    void start();
    /// Stops accepting connections; requests under way go on.
    void stopAccepting();

    void answer(Base::RequestId id, HttpAnswer answer);

    /// Server-sent events: one start, any number of events, one end.
    void startStream(Base::RequestId id);
    void sendEvent(Base::RequestId id, const std::string &name, const std::string &data);
    void endStream(Base::RequestId id);

    /// Requests that have no complete answer yet.
    size_t pendingRequests() const;

private:
    class Private;
    asio::io_context *context_ = nullptr;
    std::shared_ptr<Private> d_;
};

} // namespace Gateway
