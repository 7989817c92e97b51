#pragma once

#include <base/instant.h>
#include <platform/conditionalwriter.h>

#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace Journal {

/// Identifies a call of StoreCalls across all of its attempts.
using StoreCallId = Base::StrongNumber<struct StoreCallIdTag, std::uint64_t>;

/// Result of a read; empty if the object is absent.
struct ReadAnswered
{
    std::optional<Platform::StoredObject> object;
};

struct DeleteAnswered
{};

using StoreResult
    = std::variant<ReadAnswered, DeleteAnswered, Platform::WriteConfirmed, Platform::WriteLost>;

/// A call with its definite result.
struct FinishedCall
{
    StoreCallId call;
    StoreResult result;
};

/// The store calls of one state machine, each retried until its result is definite. Conditional
/// writes whose response was lost are resolved by their write ids.
class StoreCalls
{
public:
    StoreCalls(Base::Duration timeout, Base::Duration retryInterval);

    StoreCallId get(const Platform::ObjectKey &key, Base::Instant now);
    StoreCallId put(Platform::PutObject put, Base::Instant now);
    StoreCallId remove(const Platform::ObjectKey &key, Base::Instant now);

    /// Handles a reply. Returns nothing if the reply is late or unknown, or if the call continues.
    std::optional<FinishedCall> handle(const Platform::StoreReply &reply, Base::Instant now);
    void tick(Base::Instant now);
    std::optional<Base::Instant> nextWakeUp() const;
    std::vector<Platform::StoreRequest> takeRequests();

    void cancelAll() { calls_.clear(); }
    std::size_t inFlight() const { return calls_.size(); }
    /// Whether an attempt of any call in flight failed or timed out.
    bool hasUnanswered() const;

private:
    struct Call
    {
        /// Set for conditional writes.
        std::optional<Platform::ConditionalWriter> writer;
        /// Operation of the next attempt.
        Platform::StoreOperation operation;
        Platform::StoreRequestId request;
        bool isSent = false;
        bool isUnanswered = false;
        /// Timeout of the attempt in flight, or start of the next one.
        Base::Instant due;
    };
    using Calls = std::map<StoreCallId, Call>;

    StoreCallId add(Call call, Base::Instant now);
    void send(Call &call, Base::Instant now);
    void scheduleRetry(Call &call, Base::Instant now);
    std::optional<StoreResult> handleOutcome(Call &call,
                                             const Platform::StoreOutcome &outcome,
                                             Base::Instant now);
    std::optional<StoreResult> handleWriteOutcome(Call &call,
                                                  const Platform::StoreOutcome &outcome,
                                                  Base::Instant now);

    Base::Duration timeout_;
    Base::Duration retryInterval_;
    StoreCallId lastCall_;
    Platform::StoreRequestId lastRequest_;
    Calls calls_;
    std::vector<Platform::StoreRequest> requests_;
};

} // namespace Journal
