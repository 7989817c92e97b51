#pragma once

#include "peermessage.h"

#include <contracts/keyauthenticator.h>
#include <ownership/ownershipmanager.h>

#include <functional>
#include <map>
#include <unordered_map>

namespace Scheduler {

/// A caller's request with its authenticated key and the format of its answer.
struct RoutedCall
{
    Base::RequestId request;
    Contracts::KeyHolder holder;
    ForwardedBody body;
    CallerApi::AnswerStyle style = CallerApi::AnswerStyle::Json;
};

/// Passes the request to the local program table.
struct RouteLocal
{
    ForwardedRequest request;
};

struct RouteRemote
{
    Base::IncarnationId owner;
    ForwardedRequest request;
};

struct CancelLocal
{
    Base::RequestId request;
};

struct CancelRemote
{
    Base::IncarnationId owner;
    Base::RequestId request;
};

struct AnswerCaller
{
    Base::RequestId request;
    CallerApi::CallerReply reply;
    CallerApi::AnswerStyle style = CallerApi::AnswerStyle::Json;
};

/// Reads the assignment again, because an answer shows that the known one is out of date.
struct RefreshAssignment
{};

using CallRouterAction = std::
    variant<RouteLocal, RouteRemote, CancelLocal, CancelRemote, AnswerCaller, RefreshAssignment>;

struct CallRouterSettings
{
    /// A request that no owner accepts within this time is refused.
    Base::Duration routeTimeout = std::chrono::seconds(10);
    Base::Duration retryInterval = std::chrono::milliseconds(100);
    /// A request at a remote owner is sent again after this time, in case its answer was lost.
    Base::Duration confirmInterval = std::chrono::seconds(10);
};

/// Routes the requests that arrived at this daemon to the owners of their programs' partitions,
/// sends them again when the owner changes, and assembles one answer for each caller.
///
/// Sending a request again is safe: a call's number makes it idempotent at the owner, which
/// attaches a repeat to the running call or returns the recorded answer.
class CallRouter
{
public:
    using OwnerLookup = std::function<std::optional<Ownership::Owner>(Base::PartitionId)>;

    CallRouter(Base::IncarnationId self,
               std::uint16_t partitionCount,
               OwnerLookup ownerOf,
               CallRouterSettings settings);

    void submit(RoutedCall call, Base::Instant now);
    void replied(Base::RequestId request, CallerApi::CallerReply reply, Base::Instant now);
    void callerGone(Base::RequestId request);
    /// The request was not acknowledged by the peer.
    void deliveryFailed(Base::RequestId request,
                        const Base::IncarnationId &peer,
                        Base::Instant now);
    /// Sends requests whose owner changed to the new owner.
    void ownersChanged(Base::Instant now);

    void tick(Base::Instant now);
    std::optional<Base::Instant> nextWakeUp() const;
    std::vector<CallRouterAction> takeActions();

    size_t pending() const { return pending_.size(); }

private:
    struct Pending
    {
        RoutedCall call;
        std::optional<Base::IncarnationId> routedTo;
        /// Time of the next attempt, or of the next repeat to a remote owner.
        Base::Instant due;
        /// Set while no owner accepts the request.
        std::optional<Base::Instant> retryDeadline;
        /// Whether the call may have run in an earlier attempt.
        bool isInDoubt = false;
        /// Output already sent to the caller of a stream.
        std::string delivered;
        /// Bytes of output received from the current attempt.
        size_t attemptBytes = 0;
    };

    void route(Pending &pending, Base::Instant now);
    void retryLater(Pending &pending, const Base::Error &error, Base::Instant now);
    void schedule(Pending &pending, Base::Instant due);
    void answer(const Pending &pending, CallerApi::CallerReply reply);
    void finish(Base::RequestId request, CallerApi::CallerReply reply);
    void deliverOutput(Pending &pending, const std::string &text);
    void deliverDone(Pending &pending, CallerApi::DoneReply done);
    bool isStream(const Pending &pending) const;

    Base::IncarnationId self_;
    std::uint16_t partitionCount_;
    OwnerLookup ownerOf_;
    CallRouterSettings settings_;
    std::unordered_map<Base::RequestId, Pending> pending_;
    std::set<std::pair<Base::Instant, Base::RequestId>> due_;
    std::vector<CallRouterAction> actions_;
};

/// The program of a request; for a creation, the id that determines the partition: the parent's id
/// or the new program's.
const Base::ProgramId &programOf(const ForwardedBody &body);

} // namespace Scheduler
