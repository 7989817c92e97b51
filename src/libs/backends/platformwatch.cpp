#include "platformwatch.h"

#include <algorithm>

namespace Backends {

namespace {

constexpr int statusOk = 200;
constexpr std::size_t longestLineBytes = 4 * 1024 * 1024;

std::string describe(const HttpOutcome &outcome)
{
    if (outcome.end == HttpEnd::Complete) {
        return "status " + std::to_string(outcome.status);
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
    , backOff_(options_.firstBackOff)
{}

void PlatformWatch::start()
{
    later(Timeout(0), &PlatformWatch::list);
}

void PlatformWatch::stop()
{
    isStopped_ = true;
    http_.callLater(Timeout(0), [self = shared_from_this()] { self->closeRequest(); });
}

void PlatformWatch::later(Timeout delay, void (PlatformWatch::*step)())
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
        = [self = shared_from_this()](const HttpOutcome &outcome) { self->takeList(outcome); };
    request_ = http_.start(listRequest(options_, kind_, name_), std::move(handlers));
}

void PlatformWatch::takeList(const HttpOutcome &outcome)
{
    auto list = parseList(kind_, body_);
    if (outcome.end != HttpEnd::Complete || outcome.status != statusOk || !list) {
        return breakOff(describe(outcome));
    }
    std::set<std::string> gone = std::exchange(known_, {});
    for (Platform::StoredObject &object : list->objects) {
        gone.erase(object.key.name);
        known_.insert(object.key.name);
        emit(ObjectSeen{std::move(object)});
    }
    for (const std::string &name : gone) {
        emit(ObjectRemoved{{kind_, name}});
    }
    emit(WatchSynced{});
    resourceVersion_ = list->resourceVersion;
    backOff_ = options_.firstBackOff;
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
        = [self = shared_from_this()](std::string_view data) { return self->takeLines(data); };
    handlers.onDone = [self = shared_from_this()](const HttpOutcome &outcome) {
        self->breakOff(describe(outcome));
    };
    request_
        = http_.start(watchRequest(options_, kind_, name_, resourceVersion_), std::move(handlers));
}

FlowControl PlatformWatch::takeLines(std::string_view data)
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
            known_.erase(line->object.key.name);
            emit(ObjectRemoved{line->object.key});
        } else {
            known_.insert(line->object.key.name);
            emit(ObjectSeen{line->object});
        }
    }
    body_.erase(0, start);
    return body_.size() > longestLineBytes ? FlowControl::Stop : FlowControl::Continue;
}

void PlatformWatch::breakOff(const std::string &message)
{
    if (isStopped_) {
        return;
    }
    emit(WatchBroken{message});
    later(nextBackOff(), &PlatformWatch::list);
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

Timeout PlatformWatch::nextBackOff()
{
    // Jitter over the upper half, so that daemons that broke together do not come back together.
    const Timeout longest = backOff_;
    backOff_ = std::min(backOff_ * 2, options_.longestBackOff);
    const auto half = longest.count() / 2;
    const auto jitter = random_.below(static_cast<std::uint64_t>(half) + 1);
    return Timeout(half + static_cast<std::int64_t>(jitter));
}

} // namespace Backends
