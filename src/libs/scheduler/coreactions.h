#pragma once

#include "callrouter.h"

#include <contracts/configeditor.h>
#include <dispatch/types.h>
#include <fleet/topology.h>
#include <programs/turn.h>

/// Orders that a DaemonCore gives to the process around it.
namespace Scheduler {

/// Execute at the platform's store; exactly one reply follows.
struct CallStore
{
    Platform::StoreRequest request;
};

struct SendToPeer
{
    Base::IncarnationId to;
    Fleet::PeerAddress address;
    PeerMessage message;
};

/// Run a call on a model engine, streamed.
struct RunModelCall
{
    Dispatch::DispatchId id;
    Base::ServerId server;
    /// "ip:port"
    std::string address;
    Base::ModelId model;
    Base::ProgramId program;
    std::shared_ptr<const Programs::History> history;
    std::string input;
    Base::Tokens outputLimit;
    Base::Duration timeout{};
};

/// Run a call on a plain service's server.
struct RunPlainCall
{
    Dispatch::DispatchId id;
    Base::ServerId server;
    std::string address;
    std::string method;
    std::string target;
    std::string contentType;
    std::string body;
    bool isIdempotent = false;
    Base::Duration timeout{};
    /// "<program>/<number>" for calls of programs, else empty.
    std::string callName;
};

/// Close the connection of a running call.
struct CancelRun
{
    Dispatch::DispatchId id;
};

/// Order an engine to drop a program's cache.
struct ReleaseEngine
{
    Base::ServerId server;
    std::string address;
    Base::ProgramId program;
    Base::Epoch epoch;
};

/// Ask a backend server for its load, as a sign of life.
struct ProbeServer
{
    Base::ServerId server;
    std::string address;
    Contracts::ServiceKind kind = Contracts::ServiceKind::Model;
};

enum class Severity {
    Info,
    Warning,
    Error
};

/// One line for the daemon's log.
struct Report
{
    Severity severity = Severity::Info;
    std::string message;
    Base::ProgramId program;
    Base::TeamId team;
    std::string step;
    std::string peer;
};

/// Answer to an operator's edit.
struct AnswerEdit
{
    std::variant<Contracts::EditAccepted,
                 Contracts::EditInvalid,
                 Contracts::EditConflict,
                 Contracts::EditFailed>
        answer;
};

/// This incarnation can own nothing any more: start again with a new one.
struct IncarnationEnded
{};

/// After beginShutdown(): all partitions have new owners.
struct HandoverComplete
{};

using CoreAction = std::variant<CallStore,
                                SendToPeer,
                                AnswerCaller,
                                RunModelCall,
                                RunPlainCall,
                                CancelRun,
                                ReleaseEngine,
                                ProbeServer,
                                Report,
                                AnswerEdit,
                                IncarnationEnded,
                                HandoverComplete>;

} // namespace Scheduler
