#pragma once

#include <peer/peer_types.h>
#include <scheduler/peermessage.h>

namespace PeerCodec {

PeerProtocol::ForwardedRequest encodeRequest(const Scheduler::ForwardedRequest &request);
Base::Result<Scheduler::ForwardedRequest> decodeRequest(const PeerProtocol::ForwardedRequest &wire);
PeerProtocol::ForwardedReply encodeReply(const Scheduler::ForwardedReply &reply);
Base::Result<Scheduler::ForwardedReply> decodeReply(const PeerProtocol::ForwardedReply &wire);

} // namespace PeerCodec
