#pragma once

#include <peer/peer_types.h>
#include <scheduler/peermessage.h>

/// Conversion of messages between daemons to and from Thrift types, see schema/peer.thrift.
namespace PeerCodec {

PeerProtocol::PeerMessage encode(const Scheduler::PeerMessage &message);

/// Fails with Malformed at step Forward if the message is empty or cannot be decoded.
Base::Result<Scheduler::PeerMessage> decode(const PeerProtocol::PeerMessage &wire);

} // namespace PeerCodec
