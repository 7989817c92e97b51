#pragma once

#include <base/error.h>
#include <base/types.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
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

/// What is known of a request before its body has arrived.
struct RequestHeadView
{
    std::string_view method;
    /// Path and query, not decoded.
    std::string_view target;
    std::string_view authorization;
};

/// Why a request is refused before it is complete.
struct Rejection
{
    int status = 0;
    std::string problem;
    std::optional<Base::Duration> retryAfter;
};

struct HttpServerSettings
{
    std::string address;
    std::uint16_t port = 0;
    /// Larger requests are rejected while they are read.
    Base::Bytes maxBody{8'000'000};
    /// For the path and the header fields together.
    Base::Bytes maxHead{32 * 1024};
    /// For a request to arrive, and for a response to be read.
    Base::Duration readTimeout = std::chrono::seconds(30);
    /// A stream with more unsent bytes than this, because of a slow caller, is closed.
    Base::Bytes maxStreamBacklog{4'000'000};
    /// At the limit a connection that waits for a request is closed for a new one.
    std::size_t maxConnections = 512;
    /// For the bodies of all requests that are not answered yet.
    Base::Bytes bodyMemory{48'000'000};
    /// For all responses that callers have not read yet.
    Base::Bytes backlogMemory{32'000'000};
};

/// Counters since the start, and what is kept now.
struct HttpServerUse
{
    std::size_t connections = 0;
    /// Connections that were closed, or not served, at the limit.
    std::uint64_t displacedConnections = 0;
    /// Connections whose callers did not read in time.
    std::uint64_t stalledConnections = 0;
    Base::Bytes bodyBytes;
    Base::Bytes peakBodyBytes;
    Base::Bytes backlogBytes;
    Base::Bytes peakBacklogBytes;
    /// Responses that were replaced or cut off, as too many bytes were not read.
    std::uint64_t refusedResponses = 0;
};

/// HTTP/1.1 server for callers and operators. Responses are sent asynchronously by request id, from
/// any thread; responses to disconnected callers are dropped. Bounds what it keeps for callers:
/// connections, bodies of requests until they are answered, and responses until they are read. The
/// handlers are called one at a time.
class HttpServer
{
public:
    struct Handlers
    {
        std::function<void(IncomingRequest)> onRequest;
        /// Optional; a response refuses the request before its body is kept. Called for requests
        /// whose bodies do not arrive with their heads.
        std::function<std::optional<HttpResponse>(const RequestHeadView &)> onHead;
        /// Optional; makes the response to a request that is refused before it is complete.
        std::function<HttpResponse(const Rejection &)> onRejected;
        /// The caller closed its connection before the response was complete.
        std::function<void(Base::RequestId)> onCallerDisconnected;
    };

    HttpServer(asio::io_context &context, HttpServerSettings settings, Handlers handlers);
    ~HttpServer();

    /// Throws std::exception if the address cannot be bound.
    void start();
    /// Stops accepting connections; requests in progress continue.
    void stopAccepting();

    /// The replacement is sent if the answer does not fit into the memory for responses.
    void answer(Base::RequestId id,
                HttpResponse answer,
                std::optional<HttpResponse> replacement = std::nullopt);

    /// Server-sent events: one start, any number of events, one end.
    void startStream(Base::RequestId id);
    void sendEvent(Base::RequestId id, const std::string &name, const std::string &data);
    void endStream(Base::RequestId id);

    /// Runs the work where the handlers are called, not before this returns.
    void post(std::function<void()> work);

    /// Requests without a complete response.
    size_t pendingRequests() const;
    HttpServerUse use() const;

private:
    class Private;
    std::shared_ptr<Private> d_;
};

} // namespace Gateway
