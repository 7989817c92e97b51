#pragma once

#include "httpclient.h"

namespace Backends {

struct PlainCall
{
    Base::ServerId server;
    /// Such as "http://10.0.0.7:8080", without a slash at the end.
    std::string baseUrl;
    std::string method = "GET";
    /// Path and query, already passed through HeaderFilter.
    std::string target = "/";
    /// Already passed through HeaderFilter.
    std::vector<HttpHeader> headers;
    std::string body;
    /// The HTTP client may send an idempotent call again on a new connection.
    bool isIdempotent = false;
    Timeout connectTimeout{500};
    Timeout totalTimeout{10'000};
    Base::Bytes maxReplySize{8 * 1024 * 1024};
};

/// The service's complete response with any status.
struct PlainReply
{
    int status = 0;
    /// Without hop-by-hop headers.
    std::vector<HttpHeader> headers;
    std::string body;
};

using PlainHandler = std::function<void(Base::Result<PlainReply>)>;

/// Calls plain services (tools) and collects their complete responses.
class PlainServiceClient
{
public:
    explicit PlainServiceClient(HttpClient &http);

    /// The handler runs in the HTTP client's thread, exactly once.
    HttpRequestId call(const PlainCall &call, PlainHandler handler);
    void cancel(HttpRequestId id) { http_.cancel(id); }

private:
    HttpClient &http_;
};

} // namespace Backends
