#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace Fakes {

enum class StoreMode {
    Ok,
    /// Every request is answered 503.
    Outage,
    /// Requests are never answered.
    Hang,
    /// Requests are answered after the delay.
    Slow,
    /// With the given probability a write takes effect, but its connection closes unanswered.
    LoseAnswers
};

struct StoreBehaviour
{
    StoreMode mode = StoreMode::Ok;
    int delayMs = 0;
    double probability = 1;
    std::uint64_t seed = 0;
};

struct StoreCounters
{
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t watches = 0;
    std::uint64_t waitingWatches = 0;
};

/// Stand-in for the platform's object API, after the Kubernetes API conventions.
class StoreFake
{
public:
    StoreFake();
    ~StoreFake();

    /// Listens on a loopback address; port 0 picks a free one.
    void start(std::uint16_t port = 0, const std::string &address = "127.0.0.1");
    std::uint16_t port() const;
    std::string url() const;
    /// Closes every connection; the objects stay for another start().
    void stop();

    void setBehaviour(const StoreBehaviour &behaviour);
    StoreCounters counters() const;
    /// Base64 body of an object; no value if it is absent.
    std::optional<std::string> data(const std::string &plural, const std::string &name) const;

private:
    class Private;
    std::unique_ptr<Private> private_;
};

} // namespace Fakes
