/**
 * Datagrams between daemons that pass requests on: compact protocol, one message a datagram.
 * Any datagram may be lost; every question is answered by at most one message and repeated by its
 * sender, or given up.
 */
namespace cpp ProxyPeerProtocol

/** What the sender knows of the list of servers in the store. */
struct ListStatement {
  /** Revision at which the list was first seen with this content. */
  1: i64 changedAt
  /** Revision at which it was last known to have it, and the time since that was read. */
  2: i64 confirmedAt
  3: i64 ageMs
  /** Position of that read among those at the same revision. */
  4: i64 reads
}

/** Says nothing but what every message does; not answered. */
struct Notice {
}

/**
 * The sender's even part of the rates of these groups of teams is in the receiver's pools for the
 * time of a membership.
 */
struct PoolStatement {
  1: i64 number
  2: list<i32> groups
}

struct PoolAnswer {
  1: i64 number
  /** The sender hears more than half of the fleet. */
  2: bool hearsMost
}

enum RequestUrgency {
  NewProgram = 0
  Started = 1
  ToolCall = 2
}

/** Asks for the permit of one request of a team; a statement for the team's group as well. */
struct PermitRequest {
  1: i64 number
  2: string team
  3: RequestUrgency urgency
}

struct PermitAnswer {
  1: i64 number
  2: bool isAdmitted
  /** Until the permit is there, or until a request fits if it was refused. */
  3: i64 waitUs
}

/** The permit was not used; not answered. */
struct PermitReturn {
  1: string team
}

/** Asks the home of a program for a part of its token budget. */
struct TokenRequest {
  1: i64 number
  2: string program
  3: i64 budget
  /** The least that is of use. */
  4: i64 needed
  5: i64 retentionMs
  /** Tokens that the asker has handed to callers so far. */
  6: i64 used
}

enum TokenVerdict {
  Granted = 0
  Spent = 1
  Unavailable = 2
}

/**
 * Answer to a TokenRequest; tokens granted are the asker's for good. With Unavailable the amount is
 * what the home has let turns use without a claim, which the asker has to count.
 */
struct TokenAnswer {
  1: i64 number
  2: TokenVerdict verdict
  3: i64 amount
}

/** The question has arrived and its answer takes longer, such as for a write to the store. */
struct StillWorking {
  1: i64 number
}

/** Writes a claim for a daemon that can't reach the store. */
struct ClaimRelay {
  1: i64 number
  2: string program
  3: i64 expectedVersion
  4: i64 total
  5: string writeId
  6: i64 retentionMs
}

enum RelayOutcome {
  Written = 0
  Conflict = 1
  Unanswered = 2
}

/** The claims as they are after the write, or as they are instead. */
struct ClaimRelayAnswer {
  1: i64 number
  2: RelayOutcome outcome
  3: i64 version
  4: i64 total
  5: string lastWrite
}

union PeerBody {
  1: PoolStatement poolStatement
  2: PoolAnswer poolAnswer
  3: TokenRequest tokenRequest
  4: TokenAnswer tokenAnswer
  5: StillWorking stillWorking
  6: ClaimRelay claimRelay
  7: ClaimRelayAnswer claimRelayAnswer
  8: PermitRequest permitRequest
  9: PermitAnswer permitAnswer
  10: PermitReturn permitReturn
  11: Notice notice
}

struct PeerMessage {
  1: string sender
  /** Version of the routing document that the sender has. */
  2: i64 routingVersion
  3: PeerBody body
  4: optional ListStatement servers
}
