/**
 * Datagrams between daemons that pass requests on: compact protocol, one message a datagram.
 * Any datagram may be lost; every question is answered by at most one message and repeated by its
 * sender, or given up.
 */
namespace cpp ProxyPeerProtocol

/** Requests of one team that reached the sender. */
struct TeamDemand {
  1: string team
  2: double perSecond
}

/** A daemon puts its even part of all rates into the receiver's pool for the validity of a share. */
struct RateStatement {
  1: i64 number
  2: list<TeamDemand> demands
}

/** Part of one team's rate and burst, from 0 to 1. */
struct TeamShare {
  1: string team
  2: double share
}

/** Answer to a RateStatement; valid from when the statement was sent. */
struct RateAnswer {
  1: i64 number
  2: list<TeamShare> shares
  /** The sender hears more than half of the fleet. */
  3: bool hearsMost
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
  1: RateStatement rateStatement
  2: RateAnswer rateAnswer
  3: TokenRequest tokenRequest
  4: TokenAnswer tokenAnswer
  5: StillWorking stillWorking
  6: ClaimRelay claimRelay
  7: ClaimRelayAnswer claimRelayAnswer
}

struct PeerMessage {
  1: string sender
  /** Version of the routing document that the sender has. */
  2: i64 routingVersion
  3: PeerBody body
}
