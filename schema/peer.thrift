/**
 * Protocol between daemons: compact protocol, framed, mutual TLS.
 * A daemon sends batches of messages to a peer; each batch is acknowledged, answers travel as
 * messages in the other direction. The receiver drops batches whose sequence it has seen.
 */
namespace cpp PeerProtocol

/** An error with the step and the peer at which it arose; enums as their wire names. */
struct WireError {
  1: i32 code
  2: i32 step
  3: string peer
  4: i32 ran
  5: string message
  6: optional i64 retryAfterUs
}

struct WireTurn {
  1: i32 number
  2: string serviceId
  3: string input
  4: string output
  5: optional WireError error
  6: i64 charged
}

/** Creation of a program at its owner. */
struct ForwardCreate {
  1: i64 budget
  2: i32 maxCalls
  3: optional i64 deadlineUs
  4: optional string parent
}

struct ForwardCall {
  1: string program
  2: i32 number
  3: string serviceId
  4: string input
  5: bool isStream
  6: optional i64 maxOutput
  7: i64 bodyHash
}

struct ForwardDescribe {
  1: string program
}

struct ForwardEnd {
  1: string program
}

union ForwardedBody {
  1: ForwardCreate create
  2: ForwardCall call
  3: ForwardDescribe describe
  4: ForwardEnd finish
}

/** A caller's request, from the daemon where it arrived to the owner of its partition. */
struct ForwardedRequest {
  1: i64 requestId
  2: string team
  3: string key
  4: ForwardedBody body
}

struct ReplyCreated {
  1: string program
}

struct ReplyOutput {
  1: i64 offset
  2: string text
}

struct ReplyDone {
  1: string output
  2: i64 promptTokens
  3: i64 outputTokens
  4: i64 budgetLeft
  5: bool isRepeat
}

struct ReplyDescription {
  1: string state
  2: i64 budgetLeft
  3: i32 nextNumber
  4: list<WireTurn> turns
}

struct ReplyEnded {
}

union ForwardedReplyBody {
  1: ReplyCreated created
  2: ReplyOutput output
  3: ReplyDone done
  4: ReplyDescription description
  5: ReplyEnded ended
  6: WireError error
}

/** An answer, from the owner to the daemon where the request arrived. */
struct ForwardedReply {
  1: i64 requestId
  2: ForwardedReplyBody body
}

/** The caller of a forwarded request closed its connection. */
struct ForwardedCancel {
  1: i64 requestId
}

union PeerMessage {
  1: ForwardedRequest request
  2: ForwardedReply reply
  3: ForwardedCancel cancel
}

struct Batch {
  /** Incarnation of the sender. */
  1: string sender
  /** Grows by one a batch on each link, so that a batch sent again is recognised. */
  2: i64 sequence
  3: list<PeerMessage> messages
}

struct BatchAck {
  1: string receiver
}

service Peer {
  BatchAck exchange(1: Batch batch)
}
