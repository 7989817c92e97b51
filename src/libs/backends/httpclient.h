#pragma once

#include <base/error.h>
#include <base/types.h>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace Backends {

using Timeout = std::chrono::milliseconds;

struct HttpHeader
{
    std::string name;
    std::string value;

    bool operator==(const HttpHeader &) const = default;
};

struct HttpRequest
{
    std::string method = "GET";
    std::string url;
    std::vector<HttpHeader> headers;
    std::string body;
    /// Whether the client may send the request again if a reused connection was already closed.
    /// Must be false for calls that are not idempotent: they are sent at most once.
    bool mayRepeat = false;
    Timeout connectTimeout{1000};
    /// Timeout of the whole exchange; 0 means none.
    Timeout totalTimeout{30'000};
    /// Maximum time between two pieces of the response; 0 means none. Paused time does not count.
    Timeout idleTimeout{0};
    /// Maximum size of the response's body, in bytes; 0 means none. A longer one is broken.
    std::size_t maxResponseBytes = 0;
};

struct HttpReplyHead
{
    int status = 0;
    std::vector<HttpHeader> headers;
};

/// How an exchange ended.
enum class HttpEnd {
    Complete,
    /// No connection, so no byte of the request was sent.
    NotSent,
    TimedOut,
    /// The connection broke, or the response was truncated or malformed.
    Broken,
    Cancelled
};

struct HttpOutcome
{
    HttpEnd end = HttpEnd::Broken;
    /// 0 if no status line arrived.
    int status = 0;
    /// NotRun only if no byte of the request left this process.
    Base::Ran ran = Base::Ran::MayHaveRun;
    std::string message;
};

enum class FlowControl {
    Continue,
    /// The piece was consumed; no further data is delivered before resume().
    Pause,
    /// Ends the exchange as Cancelled.
    Stop
};

/// Callbacks of one exchange. They run in the client's own thread and must not block; each may
/// be empty. onDone is called last, exactly once.
struct HttpHandlers
{
    std::function<void(const HttpReplyHead &)> onHeaders;
    std::function<FlowControl(std::string_view)> onData;
    std::function<void(const HttpOutcome &)> onDone;
};

using HttpRequestId = Base::StrongNumber<struct HttpRequestIdTag, std::uint64_t>;

struct HttpClientOptions
{
    /// 0 means unlimited. Requests above the limit wait for a connection.
    long maxConnectionsPerHost = 0;
    /// Idle connections kept for reuse.
    long maxIdleConnections = 256;
};

/// Asynchronous HTTP/1.1 client: a libcurl multi handle in one thread of its own.
/// All methods are thread-safe and do not block.
class HttpClient
{
public:
    explicit HttpClient(HttpClientOptions options = {});
    /// Cancels the requests in flight (each onDone is called) and joins the thread.
    ~HttpClient();

    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// Requests started by handlers during destruction are dropped; their onDone is not called.
    HttpRequestId start(HttpRequest request, HttpHandlers handlers);
    /// Closes the exchange's connection; onDone reports Cancelled unless it was called already.
    void cancel(HttpRequestId id);
    void pause(HttpRequestId id);
    void resume(HttpRequestId id);
    /// Runs the function in the client's thread after the delay, unless the client is destroyed.
    void callLater(Timeout delay, std::function<void()> function);

private:
    class Loop;
    std::unique_ptr<Loop> loop_;
};

} // namespace Backends
