#pragma once

#include <admission/messages.h>
#include <callerapi/callerreply.h>
#include <callerapi/callerrequest.h>
#include <contracts/messages.h>
#include <dispatch/messages.h>
#include <fleet/messages.h>
#include <journal/messages.h>
#include <ownership/messages.h>

namespace Scheduler {

/// Creation of a program under an id chosen by the daemon where the request arrived.
struct CreateUnderId
{
    Base::ProgramId program;
    CallerApi::CreateProgramRequest request;
};

using ForwardedBody = std::variant<CreateUnderId,
                                   CallerApi::SubmitCallRequest,
                                   CallerApi::DescribeProgramRequest,
                                   CallerApi::EndProgramRequest>;

/// A caller's request, from the daemon where it arrived to the owner of its partition. A repeat
/// with the same id while the request is in progress has no effect.
struct ForwardedRequest
{
    Base::RequestId request;
    Base::TeamId team;
    Base::KeyId key;
    ForwardedBody body;
};

/// An answer, from the owner to the daemon where the request arrived.
struct ForwardedReply
{
    Base::RequestId request;
    CallerApi::CallerReply reply;
};

/// The caller of a forwarded request closed its connection.
struct ForwardedCancel
{
    Base::RequestId request;
};

/// Any message between daemons.
using PeerMessage = std::variant<ForwardedRequest,
                                 ForwardedReply,
                                 ForwardedCancel,
                                 Fleet::Heartbeat,
                                 Fleet::HeartbeatAck,
                                 Ownership::AssignmentChanged,
                                 Journal::WitnessAppend,
                                 Journal::WitnessAppendReply,
                                 Journal::WitnessSeal,
                                 Journal::WitnessSealReply,
                                 Contracts::ConfigPush,
                                 Contracts::ConfigRequest,
                                 Contracts::ConfigResponse,
                                 Admission::GrantRequest,
                                 Admission::Grant,
                                 Admission::GrantReturn,
                                 Dispatch::SlotRequest,
                                 Dispatch::SlotGrant,
                                 Dispatch::SlotReturn>;

} // namespace Scheduler
