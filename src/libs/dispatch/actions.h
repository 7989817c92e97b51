#pragma once

#include "messages.h"

namespace Dispatch {

/// Send the call to the server, with the epoch as fencing token.
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

/// Refuse the call; this is its final response.
struct Refuse
{
    DispatchId id;
    Base::Error error;
};

/// Close the stream to the server because the caller has disconnected. Must be followed by
/// finished() or failed().
struct CancelAtServer
{
    DispatchId id;
    Base::ServerId server;
};

/// Order the engine to evict the program's cache; repeated until memoryReleased().
struct ReleaseMemory
{
    Base::ServerId server;
    Base::ProgramId program;
    Base::Epoch epoch;
};

/// Probe the server and report the result with probed().
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
