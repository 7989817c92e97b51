#include "platformclient.h"

#include "platformcodec.h"
#include "platformwatch.h"

#include <mutex>
#include <unordered_map>

namespace Backends {

/// State that handlers in the HTTP client's thread may access after the client is destroyed.
class PlatformClient::Shared
{
public:
    Shared(HttpClient &httpClient, PlatformOptions platformOptions)
        : http(httpClient)
        , options(std::move(platformOptions))
    {}

    /// Runs the function unless the client is destroyed.
    template<typename Function>
    void runUnlessClosed(Function function)
    {
        const std::lock_guard lock(handlerMutex_);
        if (!isClosed_) {
            function();
        }
    }

    void close()
    {
        const std::lock_guard lock(handlerMutex_);
        isClosed_ = true;
    }

    HttpClient &http;
    const PlatformOptions options;

    std::mutex watchesMutex;
    std::unordered_map<WatchId, std::shared_ptr<PlatformWatch>> watches;
    WatchId lastWatch;

private:
    /// Held while a handler runs, so that the destructor can wait for it. Recursive, because a
    /// handler may destroy the client.
    std::recursive_mutex handlerMutex_;
    bool isClosed_ = false;
};

PlatformClient::PlatformClient(HttpClient &http, PlatformOptions options)
    : shared_(std::make_shared<Shared>(http, std::move(options)))
{}

PlatformClient::~PlatformClient()
{
    shared_->close();
    const std::lock_guard lock(shared_->watchesMutex);
    for (const auto &[id, watch] : shared_->watches) {
        watch->stop();
    }
}

void PlatformClient::execute(Platform::StoreRequest request,
                             std::function<void(Platform::StoreReply)> handler)
{
    HttpRequest http = toRequest(shared_->options, request.operation);
    const auto body = std::make_shared<std::string>();
    HttpHandlers handlers;
    handlers.onData = [body](std::string_view data) {
        body->append(data);
        return FlowControl::Continue;
    };
    handlers.onDone
        = [shared = shared_, body, request = std::move(request), handler = std::move(handler)](
              const HttpOutcome &outcome) {
              Platform::StoreReply reply{request.id, Platform::StoreUnavailable{}};
              if (outcome.end == HttpEnd::Complete) {
                  reply.outcome = toOutcome(request.operation, outcome.status, *body);
              }
              shared->runUnlessClosed([&] { handler(std::move(reply)); });
          };
    shared_->http.start(std::move(http), std::move(handlers));
}

WatchId PlatformClient::watch(Platform::ObjectKind kind,
                              const std::string &name,
                              WatchHandler handler)
{
    const std::lock_guard lock(shared_->watchesMutex);
    shared_->lastWatch = shared_->lastWatch.next();
    auto guarded
        = [weak = std::weak_ptr(shared_), handler = std::move(handler)](const WatchEvent &event) {
              if (const auto shared = weak.lock()) {
                  shared->runUnlessClosed([&] { handler(event); });
              }
          };
    const auto watch
        = std::make_shared<PlatformWatch>(shared_->http,
                                          shared_->options,
                                          kind,
                                          name,
                                          std::move(guarded),
                                          shared_->options.jitterSeed + shared_->lastWatch.value());
    shared_->watches.emplace(shared_->lastWatch, watch);
    watch->start();
    return shared_->lastWatch;
}

void PlatformClient::stopWatch(WatchId id)
{
    const std::lock_guard lock(shared_->watchesMutex);
    const auto found = shared_->watches.find(id);
    if (found != shared_->watches.end()) {
        found->second->stop();
        shared_->watches.erase(found);
    }
}

} // namespace Backends
