#pragma once

#include <base/instant.h>
#include <platform/conditionalwriter.h>

#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace Journal {

/// Names one call of StoreCalls, over all of its attempts.
using StoreCallId = Base::StrongNumber<struct StoreCallIdTag, std::uint64_t>;

/// A read was answered; no object if it is absent.
struct ReadAnswered
{
    std::optional<Platform::StoredObject> object;
};

struct DeleteAnswered
{};

using StoreResult
    = std::variant<ReadAnswered, DeleteAnswered, Platform::WriteConfirmed, Platform::WriteLost>;

/// A call that has its definite answer.
struct FinishedCall
{
    StoreCallId call;
    StoreResult result;
};

/// The store calls of one state machine, each repeated until it has a definite answer.
/// Lost answers to conditional writes are resolved by their write ids.
class StoreCalls
{
public:
    StoreCalls(Base::Duration timeout, Base::Duration retryInterval);

    StoreCallId get(const Platform::ObjectKey &key, Base::Instant now);
    StoreCallId put(Platform::PutObject put, Base::Instant now);
    StoreCallId remove(const Platform::ObjectKey &key, Base::Instant now);

    /// Takes a reply; nothing if it is late, foreign, or the call goes on.
    std::optional<FinishedCall> handle(const Platform::StoreReply &reply, Base::Instant now);
    void tick(Base::Instant now);
    std::optional<Base::Instant> nextWakeUp() const;
    std::vector<Platform::StoreRequest> takeRequests();

    void cancelAll() { calls_.clear(); }
    std::size_t inFlight() const { return calls_.size(); }
    /// Whether an attempt of a call under way stayed without an answer.
    bool hasUnanswered() const;

private:
    struct Call
    {
        /// Set for conditional writes.
        std::optional<Platform::ConditionalWriter> writer;
        /// What the next attempt sends.
        Platform::StoreOperation operation;
        Platform::StoreRequestId request;
        bool isSent = false;
        bool isUnanswered = false;
        /// Time-out of the attempt under way, or start of the next one.
        Base::Instant due;
    };
    using Calls = std::map<StoreCallId, Call>;

    StoreCallId add(Call call, Base::Instant now);
    void send(Call &call, Base::Instant now);
    void retryLater(Call &call, Base::Instant now);
    std::optional<StoreResult> progress(Call &call,
                                        const Platform::StoreOutcome &outcome,
                                        Base::Instant now);
    std::optional<StoreResult> progressWrite(Call &call,
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
