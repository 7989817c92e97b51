#pragma once

#include "peermessage.h"

#include <contracts/keyauthenticator.h>
#include <ownership/ownershipmanager.h>

#include <functional>
#include <map>
#include <unordered_map>

namespace Scheduler {

/// Where a request arrived and how its answer is to look.
struct RoutedCall
{
    Base::RequestId request;
    Contracts::KeyHolder holder;
    ForwardedBody body;
    CallerApi::AnswerStyle style = CallerApi::AnswerStyle::Json;
};

/// Hand the request to the own program table.
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

/// An answer says that the assignment known here is out of date.
struct RefreshAssignment
{};

using CallRouterAction = std::
    variant<RouteLocal, RouteRemote, CancelLocal, CancelRemote, AnswerCaller, RefreshAssignment>;

struct CallRouterSettings
{
    /// Requests that no owner takes are refused after this time.
    Base::Duration patience = std::chrono::seconds(10);
    Base::Duration retryInterval = std::chrono::milliseconds(100);
    /// A request at a remote owner is sent again after this time, in case its answer was lost.
    Base::Duration confirmInterval = std::chrono::seconds(10);
};

/// The requests that arrived at this daemon: sends each to the owner of its program's partition,
/// again when the owner changes, and assembles one answer for the caller.
///
/// Sending again is safe: a call's number makes it idempotent at the owner, which attaches a
/// repeat to the running call or gives the recorded answer.
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
    /// The request could not be handed to the peer.
    void notDelivered(Base::RequestId request, const Base::IncarnationId &peer, Base::Instant now);
    /// Requests whose owner changed are sent to the new one.
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
        /// When it is routed, or confirmed, again.
        Base::Instant due;
        /// Set while no owner takes it.
        std::optional<Base::Instant> giveUpAt;
        /// An earlier attempt ended without telling whether the call ran.
        bool isInDoubt = false;
        /// Output that the caller of a stream has got.
        std::string delivered;
        /// Output of the present attempt seen so far.
        size_t seen = 0;
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

/// The program that a request is about; for a creation the id it will have.
const Base::ProgramId &programOf(const ForwardedBody &body);

} // namespace Scheduler
