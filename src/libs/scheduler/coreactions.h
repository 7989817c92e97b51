#pragma once

#include "callrouter.h"

#include <contracts/configeditor.h>
#include <dispatch/types.h>
#include <fleet/topology.h>
#include <programs/turn.h>

/// Actions that a DaemonCore requests from the process that runs it.
namespace Scheduler {

/// Executes a request at the platform's store; exactly one reply follows.
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

/// Runs a call on a model engine and streams its output.
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

/// Runs a call on a server of a plain service.
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
    /// Idempotency key "<program>/<number>" of a program's call; empty for other requests.
    std::string callName;
};

/// Closes the connection of a running call.
struct CancelRun
{
    Dispatch::DispatchId id;
};

/// Makes an engine drop a program's cache.
struct ReleaseEngineCache
{
    Base::ServerId server;
    std::string address;
    Base::ProgramId program;
    Base::Epoch epoch;
};

/// Checks that a backend server is alive; a model engine also reports its load.
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

/// A line of the daemon's log.
struct LogEntry
{
    Severity severity = Severity::Info;
    std::string message;
    Base::ProgramId program;
    Base::TeamId team;
    std::string step;
    std::string peer;
};

/// Answers an operator's edit of the configuration.
struct AnswerEdit
{
    std::variant<Contracts::EditAccepted,
                 Contracts::EditInvalid,
                 Contracts::EditConflict,
                 Contracts::EditFailed>
        answer;
};

/// This incarnation is fenced and cannot own partitions; the process starts a new one.
struct IncarnationEnded
{};

/// Follows beginShutdown() once all partitions have new owners.
struct HandoverComplete
{};

using CoreAction = std::variant<CallStore,
                                SendToPeer,
                                AnswerCaller,
                                RunModelCall,
                                RunPlainCall,
                                CancelRun,
                                ReleaseEngineCache,
                                ProbeServer,
                                LogEntry,
                                AnswerEdit,
                                IncarnationEnded,
                                HandoverComplete>;

} // namespace Scheduler
