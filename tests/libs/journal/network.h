#pragma once

#include "fakestore.h"

#include <base/instant.h>
#include <base/random.h>

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace JournalTest {

/// Faults of one schedule; probabilities are per request or message.
struct Faults
{
    double loseMessage = 0;
    double delayMessage = 0;
    double loseStoreRequest = 0;
    double loseStoreAnswer = 0;
    double delayStore = 0;
    Base::Instant outageFrom = Base::Instant::max();
    Base::Instant outageUntil = Base::Instant::max();
};

/// A process that may pause, crash, and later be listed as gone by the platform.
struct Process
{
    std::string name;
    bool isCrashed = false;
    Base::Instant pausedUntil;
};

/// Simulated network of the store and the peers, with virtual time and faults.
class Network
{
public:
    Network(std::uint64_t seed, bool isTracing);

    Base::Instant now() const { return now_; }
    Base::Random &random() { return random_; }
    FakeStore &store() { return store_; }
    Faults &faults() { return faults_; }

    /// Runs the function in the process at the time, or after a pause, unless it has crashed.
    void at(Base::Instant time, Process &process, std::function<void()> function);
    /// Runs the function outside of any process.
    void at(Base::Instant time, std::function<void()> function);
    void message(Process &to, std::function<void()> deliver);
    void call(Process &from,
              const Platform::StoreRequest &request,
              std::function<void(const Platform::StoreReply &)> deliver);
    void run(Base::Instant until);

    void trace(const std::string &process, const std::string &text);
    const std::vector<std::string> &lines() const { return lines_; }

private:
    struct Event
    {
        Process *process = nullptr;
        std::function<void()> function;
    };

    Base::Duration smallDelay();
    bool isOutage() const;
    void arrive(Process &from,
                const Platform::StoreRequest &request,
                const std::function<void(const Platform::StoreReply &)> &deliver);

    Base::Instant now_;
    Base::Random random_;
    Faults faults_;
    FakeStore store_;
    std::multimap<Base::Instant, Event> events_;
    bool isTracing_;
    std::vector<std::string> lines_;
};

} // namespace JournalTest
