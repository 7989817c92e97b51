#pragma once

#include <peer/peer_types.h>
#include <scheduler/peermessage.h>

/// Messages between daemons in their Thrift form, schema/peer.thrift.
namespace PeerCodec {

PeerProtocol::PeerMessage encode(const Scheduler::PeerMessage &message);

/// Errors: Malformed at step Forward if the message is empty or cannot be understood.
Base::Result<Scheduler::PeerMessage> decode(const PeerProtocol::PeerMessage &wire);

} // namespace PeerCodec
