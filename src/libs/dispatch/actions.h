#pragma once

#include "messages.h"

namespace Dispatch {

/// Send the call to the server, with the epoch as fencing number.
struct SendToServer
{
    DispatchId id;
    Base::ServerId server;
    Base::Epoch epoch;
    /// 1 for the first attempt.
    std::uint32_t attempt = 1;
    ChoiceReason reason = ChoiceReason::FirstFree;
    /// Tokens of the prefix that the server is believed to hold.
    Base::Tokens cachedTokens;
    /// Time that the call spent in the queue.
    Base::Duration waited{0};
};

/// The call's final answer.
struct Refuse
{
    DispatchId id;
    Base::Error error;
};

/// The caller is gone: close the stream to the server. Answer with finished() or failed().
struct CancelAtServer
{
    DispatchId id;
    Base::ServerId server;
};

/// Order the engine to drop the program's cache; repeated until memoryReleased().
struct ReleaseMemory
{
    Base::ServerId server;
    Base::ProgramId program;
    Base::Epoch epoch;
};

/// Try the server and answer with probed().
struct Probe
{
    Base::ServerId server;
};

/// Send to the owner of the server's partition.
struct SendSlotRequest
{
    SlotRequest request;
};

/// Send to the owner of the server's partition.
struct SendSlotReturn
{
    SlotReturn slot;
};

using DispatchAction = std::variant<SendToServer,
                                    Refuse,
                                    CancelAtServer,
                                    ReleaseMemory,
                                    Probe,
                                    SendSlotRequest,
                                    SendSlotReturn>;

} // namespace Dispatch
