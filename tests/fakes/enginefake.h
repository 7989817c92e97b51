#pragma once

#include "receivedrequest.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace Fakes {

struct EngineSettings
{
    double msPerToken = 1;
    double prefillTokensPerSecond = 10'000;
    /// Streams generated at once; more are queued in order of arrival.
    int slots = 8;
    /// Memory of the prefix cache, in tokens.
    std::int64_t cacheTokens = 100'000;
    /// Age of the load report's figures.
    int loadLagMs = 500;
    /// Age at which cache events become visible; every n-th is lost (0: none).
    int eventDelayMs = 500;
    int loseEveryNthEvent = 0;
    /// Whether orders with an old fencing number are refused.
    bool checksFencing = true;
};

enum class EngineFault {
    None,
    /// 500 before anything runs.
    Fail,
    /// Never answers.
    Hang,
    /// Closes the connection halfway through the stream.
    HalfStream,
    /// Answers with bytes that are no event stream and no JSON.
    Nonsense
};

struct EngineCounters
{
    int running = 0;
    int queued = 0;
    std::uint64_t completed = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t prefilledTokens = 0;
    std::uint64_t cacheHitTokens = 0;
    std::uint64_t fencedOrders = 0;
    std::int64_t cachedTokens = 0;
};

/// Stand-in for a model engine with an OpenAI-shaped interface. The output depends only on the
/// input; see enginefake.cpp for the words of a prompt that steer it.
class EngineFake
{
public:
    explicit EngineFake(EngineSettings settings = {});
    ~EngineFake();

    void start(std::uint16_t port = 0, const std::string &address = "127.0.0.1");
    std::uint16_t port() const;
    std::string url() const;
    void stop();

    /// The next count chat completions meet the fault; -1 means all.
    void inject(EngineFault fault, int count = -1);
    EngineCounters counters() const;
    std::vector<ReceivedRequest> received() const;
    /// Programs with a prefix in the cache now.
    std::vector<std::string> cachedPrograms() const;

private:
    class Private;
    std::unique_ptr<Private> private_;
};

} // namespace Fakes
