#include "platformwatch.h"

#include <algorithm>

namespace Backends {

namespace {

constexpr int statusOk = 200;
constexpr std::size_t maxLineBytes = 4 * 1024 * 1024;

std::string describe(const HttpOutcome &outcome)
{
    if (outcome.end == HttpEnd::Complete) {
        return "HTTP status " + std::to_string(outcome.status);
    }
    return outcome.message;
}

} // namespace

PlatformWatch::PlatformWatch(HttpClient &http,
                             PlatformOptions options,
                             Platform::ObjectKind kind,
                             std::string name,
                             WatchHandler handler,
                             std::uint64_t seed)
    : http_(http)
    , options_(std::move(options))
    , kind_(kind)
    , name_(std::move(name))
    , handler_(std::move(handler))
    , random_(seed)
    , backoff_(options_.initialBackoff)
{}

void PlatformWatch::start()
{
    schedule(Timeout(0), &PlatformWatch::list);
}

void PlatformWatch::stop()
{
    isStopped_ = true;
    http_.callLater(Timeout(0), [self = shared_from_this()] { self->closeRequest(); });
}

void PlatformWatch::schedule(Timeout delay, void (PlatformWatch::*step)())
{
    http_.callLater(delay, [self = shared_from_this(), step] {
        if (!self->isStopped_) {
            (self.get()->*step)();
        }
    });
}

void PlatformWatch::list()
{
    body_.clear();
    HttpHandlers handlers;
    handlers.onData = [self = shared_from_this()](std::string_view data) {
        self->body_.append(data);
        return FlowControl::Continue;
    };
    handlers.onDone
        = [self = shared_from_this()](const HttpOutcome &outcome) { self->handleList(outcome); };
    request_ = http_.start(listRequest(options_, kind_, name_), std::move(handlers));
}

void PlatformWatch::handleList(const HttpOutcome &outcome)
{
    auto list = parseList(kind_, body_);
    if (outcome.end != HttpEnd::Complete || outcome.status != statusOk || !list) {
        return restartAfterBackoff(describe(outcome));
    }
    std::set<std::string> removed = std::exchange(knownNames_, {});
    for (Platform::StoredObject &object : list->objects) {
        removed.erase(object.key.name);
        knownNames_.insert(object.key.name);
        emit(ObjectUpdated{std::move(object)});
    }
    for (const std::string &name : removed) {
        emit(ObjectRemoved{{kind_, name}});
    }
    emit(WatchSynced{});
    resourceVersion_ = list->resourceVersion;
    backoff_ = options_.initialBackoff;
    follow();
}

void PlatformWatch::follow()
{
    if (isStopped_) {
        return;
    }
    body_.clear();
    HttpHandlers handlers;
    handlers.onHeaders = [self = shared_from_this()](const HttpReplyHead &head) {
        if (head.status != statusOk) {
            self->closeRequest();
        }
    };
    handlers.onData
        = [self = shared_from_this()](std::string_view data) { return self->handleLines(data); };
    handlers.onDone = [self = shared_from_this()](const HttpOutcome &outcome) {
        self->restartAfterBackoff(describe(outcome));
    };
    request_
        = http_.start(watchRequest(options_, kind_, name_, resourceVersion_), std::move(handlers));
}

FlowControl PlatformWatch::handleLines(std::string_view data)
{
    body_.append(data);
    std::size_t start = 0;
    for (std::size_t end = body_.find('\n'); end != std::string::npos;
         end = body_.find('\n', start)) {
        const auto line = parseWatchLine(kind_, body_.substr(start, end - start));
        start = end + 1;
        if (!line) {
            return FlowControl::Stop;
        }
        if (line->isRemoved) {
            knownNames_.erase(line->object.key.name);
            emit(ObjectRemoved{line->object.key});
        } else {
            knownNames_.insert(line->object.key.name);
            emit(ObjectUpdated{line->object});
        }
    }
    body_.erase(0, start);
    return body_.size() > maxLineBytes ? FlowControl::Stop : FlowControl::Continue;
}

void PlatformWatch::restartAfterBackoff(const std::string &message)
{
    if (isStopped_) {
        return;
    }
    emit(WatchBroken{message});
    schedule(nextBackoff(), &PlatformWatch::list);
}

void PlatformWatch::closeRequest()
{
    http_.cancel(request_);
}

void PlatformWatch::emit(const WatchEvent &event)
{
    if (!isStopped_) {
        handler_(event);
    }
}

Timeout PlatformWatch::nextBackoff()
{
    // Jitter over the upper half, so that daemons with simultaneous failures do not retry together.
    const Timeout longest = backoff_;
    backoff_ = std::min(backoff_ * 2, options_.maxBackoff);
    const auto half = longest.count() / 2;
    const auto jitter = random_.below(static_cast<std::uint64_t>(half) + 1);
    return Timeout(half + static_cast<std::int64_t>(jitter));
}

} // namespace Backends
