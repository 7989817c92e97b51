#include "httpclient.h"

#include "httploop.h"

namespace Backends {

HttpClient::HttpClient(HttpClientOptions options)
    : loop_(std::make_unique<Loop>(options))
{}

HttpClient::~HttpClient() = default;

HttpRequestId HttpClient::start(HttpRequest request, HttpHandlers handlers)
{
    return loop_->start(std::move(request), std::move(handlers));
}

void HttpClient::cancel(HttpRequestId id)
{
    loop_->post([loop = loop_.get(), id] { loop->cancel(id); });
}

void HttpClient::pause(HttpRequestId id)
{
    loop_->post([loop = loop_.get(), id] { loop->pause(id); });
}

void HttpClient::resume(HttpRequestId id)
{
    loop_->post([loop = loop_.get(), id] { loop->resume(id); });
}

void HttpClient::callLater(Timeout delay, std::function<void()> function)
{
    loop_->callLater(delay, std::move(function));
}

} // namespace Backends
