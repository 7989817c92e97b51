#include "network.h"

namespace JournalTest {

using namespace Platform;

namespace {

constexpr Base::Duration minDelay = std::chrono::microseconds(500);
constexpr std::uint64_t delaySpreadMicroseconds = 4000;
constexpr std::uint64_t longDelayMicroseconds = 2'500'000;
// During an outage: requests that take effect without a reply, and requests that return an error.
constexpr double outageEffectProbability = 0.2;
constexpr double outageErrorProbability = 0.3;

} // namespace

Network::Network(std::uint64_t seed, bool isTracing)
    : random_(seed)
    , isTracing_(isTracing)
{}

void Network::at(Base::Instant time, Process &process, std::function<void()> function)
{
    events_.emplace(time, Event{&process, std::move(function)});
}

void Network::at(Base::Instant time, std::function<void()> function)
{
    events_.emplace(time, Event{nullptr, std::move(function)});
}

Base::Duration Network::smallDelay()
{
    return minDelay + Base::Duration(random_.below(delaySpreadMicroseconds));
}

bool Network::isOutage() const
{
    return now_ >= faults_.outageFrom && now_ < faults_.outageUntil;
}

void Network::message(Process &to, std::function<void()> deliver)
{
    if (random_.chance(faults_.loseMessage)) {
        return;
    }
    Base::Duration delay = smallDelay();
    if (random_.chance(faults_.delayMessage)) {
        delay += Base::Duration(random_.below(longDelayMicroseconds / 4));
    }
    at(now_ + delay, to, std::move(deliver));
}

void Network::call(Process &from,
                   const StoreRequest &request,
                   std::function<void(const StoreReply &)> deliver)
{
    if (random_.chance(faults_.loseStoreRequest)) {
        return;
    }
    Base::Duration delay = smallDelay();
    if (random_.chance(faults_.delayStore)) {
        delay += Base::Duration(random_.below(longDelayMicroseconds));
    }
    at(now_ + delay,
       [this, &from, request, deliver = std::move(deliver)] { arrive(from, request, deliver); });
}

void Network::arrive(Process &from,
                     const StoreRequest &request,
                     const std::function<void(const StoreReply &)> &deliver)
{
    StoreOutcome outcome = StoreUnavailable{};
    if (isOutage()) {
        const double draw = random_.unit();
        if (draw < outageEffectProbability) {
            store_.apply(request.operation);
            return;
        }
        if (draw > outageEffectProbability + outageErrorProbability) {
            return;
        }
    } else {
        outcome = store_.apply(request.operation);
    }
    if (random_.chance(faults_.loseStoreAnswer)) {
        return;
    }
    Base::Duration delay = smallDelay();
    if (random_.chance(faults_.delayStore)) {
        delay += Base::Duration(random_.below(longDelayMicroseconds));
    }
    at(now_ + delay, from, [deliver, id = request.id, outcome = std::move(outcome)] {
        deliver({id, outcome});
    });
}

void Network::run(Base::Instant until)
{
    while (!events_.empty() && events_.begin()->first <= until) {
        auto node = events_.extract(events_.begin());
        now_ = node.key();
        Process *process = node.mapped().process;
        if (process && process->isCrashed) {
            continue;
        }
        if (process && process->pausedUntil > now_) {
            node.key() = process->pausedUntil;
            events_.insert(std::move(node));
            continue;
        }
        node.mapped().function();
    }
    now_ = until;
}

void Network::trace(const std::string &process, const std::string &text)
{
    if (isTracing_) {
        lines_.push_back(std::to_string(now_.time_since_epoch().count()) + " us " + process + ": "
                         + text);
    }
}

} // namespace JournalTest
