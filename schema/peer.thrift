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
  3: string server
  4: string input
  5: string output
  6: optional WireError error
  7: i64 promptTokens
  8: i64 outputTokens
}

/** Creation of a program at its owner. */
struct ForwardCreate {
  1: string program
  2: i64 budget
  3: i32 maxCalls
  4: optional i64 deadlineUs
  5: optional string parent
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
  1: string text
}

struct ReplyDone {
  1: WireTurn turn
  2: bool isRepeat
}

struct ReplyDescription {
  1: string program
  2: string state
  3: i64 budget
  4: i64 spent
  5: i64 budgetLeft
  6: i32 nextNumber
  7: list<string> children
  8: list<WireTurn> turns
}

struct ReplyEnded {
  1: string program
}

struct ReplyService {
  1: i32 status
  2: string contentType
  3: string body
}

union ForwardedReplyBody {
  1: ReplyCreated created
  2: ReplyOutput output
  3: ReplyDone done
  4: ReplyDescription description
  5: ReplyEnded ended
  6: ReplyService serviceReply
  7: WireError error
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

struct WireDaemon {
  1: string incarnation
  2: string vm
  3: string zone
  4: string ip
  5: i32 port
  6: i32 state
}

struct WireDigest {
  1: WireDaemon daemon
  2: i64 sequence
}

struct WireVersions {
  1: i64 config
  2: i64 assignment
  3: i64 lease
}

struct Heartbeat {
  1: WireDaemon sender
  2: i64 sequence
  3: WireVersions versions
  4: list<WireDigest> digests
}

struct HeartbeatAck {
  1: WireDaemon sender
  2: i64 sequence
  3: i64 answers
  4: WireVersions versions
  5: list<WireDigest> digests
}

struct AssignmentChanged {
  1: i64 version
}

/** Entries travel as an encoded journal segment. */
struct WitnessAppend {
  1: string owner
  2: string witness
  3: i64 storedThrough
  4: binary entries
}

struct WitnessAppendReply {
  1: string owner
  2: string witness
  3: i32 verdict
  4: i64 heldThrough
}

struct WitnessSeal {
  1: string owner
  2: string witness
  3: string successor
  4: i64 first
}

struct WitnessSealReply {
  1: string owner
  2: string witness
  3: string successor
  4: i64 storedThrough
  5: i64 heldThrough
  6: binary entries
}

struct ConfigPush {
  1: i64 version
  2: string body
}

struct ConfigRequest {
  1: i64 known
}

struct ConfigAnswer {
  1: i64 version
  2: string body
}

struct GrantReturn {
  1: string team
  2: i64 epoch
  3: i64 grant
  4: i64 used
  5: i64 returned
}

struct GrantRequest {
  1: string team
  2: string borrower
  3: i64 number
  4: i64 needed
  5: i64 expected
  6: list<GrantReturn> returns
}

struct Grant {
  1: string team
  2: i64 epoch
  3: i64 grant
  4: i64 answers
  5: i64 permits
  6: i64 validForUs
  7: i64 backlog
  8: string borrower
}

struct TeamDemand {
  1: string team
  2: double weight
  3: i32 waiting
  4: double firstKey
  5: i64 firstCost
}

struct HeldSlot {
  1: i64 epoch
  2: i64 slot
  3: string team
}

struct SlotRequest {
  1: string server
  2: string borrower
  3: i64 number
  4: list<TeamDemand> demands
  5: list<HeldSlot> held
}

struct SlotGrant {
  1: string server
  2: i64 epoch
  3: i64 slot
  4: string team
  5: i32 backlog
}

struct SlotReturn {
  1: string server
  2: i64 epoch
  3: i64 slot
  4: string team
  5: i64 cost
}

union PeerMessage {
  1: ForwardedRequest request
  2: ForwardedReply reply
  3: ForwardedCancel cancel
  4: Heartbeat heartbeat
  5: HeartbeatAck heartbeatAck
  6: AssignmentChanged assignmentChanged
  7: WitnessAppend witnessAppend
  8: WitnessAppendReply witnessAppendReply
  9: WitnessSeal witnessSeal
  10: WitnessSealReply witnessSealReply
  11: ConfigPush configPush
  12: ConfigRequest configRequest
  13: ConfigAnswer configAnswer
  14: GrantRequest grantRequest
  15: Grant grant
  16: GrantReturn grantReturn
  17: SlotRequest slotRequest
  18: SlotGrant slotGrant
  19: SlotReturn slotReturn
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
