#include "plainserviceclient.h"

#include "headerfilter.h"
#include "outcomeerror.h"

namespace Backends {

namespace {

/// A call and the part of its response received so far.
struct Collector
{
    PlainCall call;
    PlainHandler handler;
    PlainReply reply;
    bool isTooLarge = false;
};

FlowControl collect(Collector &collector, std::string_view data)
{
    const auto limit = static_cast<std::size_t>(collector.call.maxReplySize.value());
    if (collector.reply.body.size() + data.size() > limit) {
        // Data above the limit is read and discarded, so that the connection can be reused.
        collector.isTooLarge = true;
        collector.reply.body.clear();
    } else if (!collector.isTooLarge) {
        collector.reply.body.append(data);
    }
    return FlowControl::Continue;
}

Base::Error tooLarge(const Collector &collector)
{
    Base::Error error;
    error.code = Base::ErrorCode::BackendFailed;
    error.step = Base::Step::Backend;
    error.peer = collector.call.server.text();
    error.ran = Base::Ran::Ran;
    error.message = "the response exceeds the limit of "
                    + std::to_string(collector.call.maxReplySize.value()) + " bytes";
    return error;
}

void finish(Collector &collector, const HttpOutcome &outcome)
{
    if (outcome.end != HttpEnd::Complete) {
        collector.handler(toError(outcome, collector.call.server));
    } else if (collector.isTooLarge) {
        collector.handler(tooLarge(collector));
    } else {
        collector.handler(std::move(collector.reply));
    }
}

HttpRequest toRequest(const PlainCall &call)
{
    HttpRequest request;
    request.method = call.method;
    request.url = call.baseUrl + call.target;
    request.headers = call.headers;
    request.body = call.body;
    request.mayRepeat = call.isIdempotent;
    request.connectTimeout = call.connectTimeout;
    request.totalTimeout = call.totalTimeout;
    return request;
}

} // namespace

PlainServiceClient::PlainServiceClient(HttpClient &http)
    : http_(http)
{}

HttpRequestId PlainServiceClient::call(const PlainCall &call, PlainHandler handler)
{
    auto collector = std::make_shared<Collector>();
    collector->call = call;
    collector->call.body.clear();
    collector->handler = std::move(handler);
    HttpHandlers handlers;
    handlers.onHeaders = [collector](const HttpReplyHead &head) {
        collector->reply.status = head.status;
        collector->reply.headers = HeaderFilter::filterReplyHeaders(head.headers);
    };
    handlers.onData = [collector](std::string_view data) { return collect(*collector, data); };
    handlers.onDone = [collector](const HttpOutcome &outcome) { finish(*collector, outcome); };
    return http_.start(toRequest(call), std::move(handlers));
}

} // namespace Backends
