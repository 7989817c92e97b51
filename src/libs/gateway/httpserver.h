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

/// One HTTP request of a caller.
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

struct HttpResponse
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
    /// Larger requests are rejected while they are read.
    Base::Bytes maxBody{8'000'000};
    Base::Duration readTimeout = std::chrono::seconds(30);
    /// A stream with more unsent bytes than this, because of a slow caller, is closed.
    Base::Bytes maxStreamBacklog{4'000'000};
};

/// HTTP/1.1 server for callers and operators. Responses are sent asynchronously by request id, from
/// any thread; responses to disconnected callers are dropped.
class HttpServer
{
public:
    struct Handlers
    {
        std::function<void(IncomingRequest)> onRequest;
        /// The caller closed its connection before the response was complete.
        std::function<void(Base::RequestId)> onCallerDisconnected;
    };

    HttpServer(asio::io_context &context, HttpServerSettings settings, Handlers handlers);
    ~HttpServer();

    /// Throws std::exception if the address cannot be bound.
    void start();
    /// Stops accepting connections; requests in progress continue.
    void stopAccepting();

    void answer(Base::RequestId id, HttpResponse answer);

    /// Server-sent events: one start, any number of events, one end.
    void startStream(Base::RequestId id);
    void sendEvent(Base::RequestId id, const std::string &name, const std::string &data);
    void endStream(Base::RequestId id);

    /// Requests without a complete response.
    size_t pendingRequests() const;

private:
    class Private;
    asio::io_context *context_ = nullptr;
    std::shared_ptr<Private> d_;
};

} // namespace Gateway
