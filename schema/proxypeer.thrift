/**
 * Datagrams between proxy daemons: compact protocol, one message per datagram. Any datagram may be
 * lost. A request has at most one response; its sender may retransmit it before it times out.
 */
namespace cpp ProxyPeerProtocol

/** Report of the sender's copy of the server list in the store. */
struct ListStatement {
  /** Revision at which the list was first seen with this content. */
  1: i64 changedAt
  /** Revision at which this content was last confirmed, and the time since that read. */
  2: i64 confirmedAt
  3: i64 ageMs
  /** Position of that read among those at the same revision. */
  4: i64 reads
}

/** How far a request had got at a server when its connection ended. */
enum CrashStage {
  Waiting = 0
  Begun = 1
  Producing = 2
  Unknown = 3
}

/** A server ended the connection on which it had a request. Has no response. */
struct CrashReport {
  1: string team
  /** Hash of path and query; and of path, query and body. */
  2: i64 pathHash
  3: i64 exactHash
  4: string server
  /** Start time of the server in milliseconds since the Unix epoch. */
  5: i64 startedAt
  6: CrashStage stage
  /** Time from the sending of the request to the end of the connection. */
  7: i64 atServerUs
  /** Time since the end of the connection. */
  8: i64 ageUs
}

enum RequestScope {
  Path = 0
  Exact = 1
}

/** Whether the requests of a team with this hash are kept from all servers. */
struct QuarantineReport {
  1: string team
  2: RequestScope scope
  3: i64 requestHash
  4: bool isQuarantined
  /** Time since the first crash that led to the decision, and since the decision. */
  5: i64 firstCrashAgeMs
  6: i64 ageMs
  7: i64 durationMs
}

/** Has no response. */
struct QuarantineNotice {
  1: list<QuarantineReport> reports
}

/** Carries only the fields that every message has. Has no response. */
struct Notice {
}

/**
 * Request: adds the sender's equal share of the rates of these groups of teams to the receiver's
 * pools for the duration of a membership.
 */
struct PoolStatement {
  1: i64 number
  2: list<i32> groups
  /** Equal for daemons with the same list of quarantined requests. */
  3: i64 quarantineDigest
}

/** Limit that a backend server stated in a response, as known to the sender. Has no response. */
struct LimitReport {
  1: string server
  /** Start time of the server in milliseconds since the Unix epoch. */
  2: i64 startedAt
  /** Requests per second from all daemons together; unset if the server states no limit. */
  3: optional double perSecond
  /** Time since the statement was valid. */
  4: i64 ageUs
}

/** Response to PoolStatement. */
struct PoolAnswer {
  1: i64 number
  /** The sender receives the PoolStatement messages of more than half of the fleet. */
  2: bool hearsMost
  /** Recent changes of the limits of servers in the groups of the request. */
  3: list<LimitReport> limits
  4: i64 quarantineDigest
  /** Empty if the digests are equal. */
  5: list<QuarantineReport> quarantine
}

enum RequestUrgency {
  NewProgram = 0
  Started = 1
  ToolCall = 2
}

/** Requests the permit of one request of a team; acts as PoolStatement for its group as well. */
struct PermitRequest {
  1: i64 number
  2: string team
  3: RequestUrgency urgency
}

/** Response to PermitRequest. */
struct PermitAnswer {
  1: i64 number
  2: bool isAdmitted
  /** Time until the permit is valid, or, if the request is rejected, until it fits the rate. */
  3: i64 waitUs
  /** The cold rate of the request is in force; unset by builds that do not know it. */
  4: optional bool isColdApplied
}

/** Returns a permit that was not used. Has no response. */
struct PermitReturn {
  1: string team
}

/** Requests the permit of one request to a backend server; PermitAnswer is the response. */
struct ServerPermitRequest {
  1: i64 number
  2: LimitReport report
  3: RequestUrgency urgency
  /** The sender accepts a permit that becomes valid later. */
  4: bool mayWait
  /** Requests per second that the server takes while it is cold, as known to the sender. */
  5: optional double coldPerSecond
  /** Time for which the server stays cold. */
  6: optional i64 coldLeftMs
}

/** Returns a permit for a server that was not used. Has no response. */
struct ServerPermitReturn {
  1: string server
}

/** Requests a token grant from the coordinator of a program. */
struct TokenRequest {
  1: i64 number
  2: string program
  3: i64 budget
  /** Minimum amount that the sender can use. */
  4: i64 needed
  5: i64 retentionMs
  /** Tokens that the sender has passed to callers so far. */
  6: i64 used
  /** Maximum of the turn, of which the sender may have a part. */
  7: optional i64 turnMaximum
}

enum TokenVerdict {
  Granted = 0
  Spent = 1
  Unavailable = 2
}

/**
 * Response to TokenRequest. Granted tokens belong to the requesting daemon, unless it returns them.
 * With Unavailable, the amount is the coordinator's overdraft, which the requesting daemon must count.
 */
struct TokenAnswer {
  1: i64 number
  2: TokenVerdict verdict
  3: i64 amount
}

/**
 * Returns unused tokens that were granted for the TokenRequest with this number. Counts once for
 * each grant. Has no response.
 */
struct TokenReturn {
  1: i64 number
  2: i64 amount
}

/** Acknowledges a request whose response takes longer, for example due to a write to the store. */
struct StillWorking {
  1: i64 number
}

/** Requests the write of an allocation for a daemon that cannot reach the store. */
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

/** Response to ClaimRelay: the allocations after the write, or the conflicting ones. */
struct ClaimRelayAnswer {
  1: i64 number
  2: RelayOutcome outcome
  3: i64 version
  4: i64 total
  5: string lastWrite
}

/** Whether a connection leads to the listed process of its server. */
enum ProcessCertainty {
  Probable = 0
  Certain = 1
  Unsure = 2
  Doubtful = 3
}

/** The software version of the server that began the stream of an attempt. Has no response. */
struct StreamNotice {
  1: string attempt
  2: string version
  /** Hash of what all attempts of the caller at the request have in common. */
  3: optional i64 requestKey
  /** The server that began the stream, and its start time in milliseconds since the Unix epoch. */
  4: optional string server
  5: optional i64 startedAt
  /** Time from the opening of the connection to the server until the first event. */
  6: optional i64 openBeforeMs
  /** Whether that process began the stream, as known to the sender at the first event. */
  7: optional ProcessCertainty certainty
}

/** Requests the software version of the server that began a stream. */
struct StreamVersionRequest {
  1: i64 number
  /** Empty if the caller did not name it; the stream is then found by the key. */
  2: string attempt
  3: optional i64 requestKey
}

/** Response to StreamVersionRequest; without a version the sender does not know the stream. */
struct StreamVersionAnswer {
  1: i64 number
  2: optional string version
  3: optional string server
  4: optional i64 startedAt
  /** Time since the first event of the stream. */
  5: optional i64 ageMs
  /** The key belongs to streams of several versions. */
  6: optional bool isAmbiguous
  /** As in the notice. */
  7: optional i64 openBeforeMs
  8: optional ProcessCertainty certainty
}

/** The sender is about to end and connects to no more servers for others. Has no response. */
struct RelayNotice {
}

/** Records at the next coordinator of a program what the sender may overdraw; 0 ends it. */
struct OverdraftNotice {
  1: i64 number
  2: string program
  3: i64 limit
  4: i64 retentionMs
}

/** Response to OverdraftNotice. */
struct OverdraftRecorded {
  1: i64 number
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
  12: LimitReport limitReport
  13: ServerPermitRequest serverPermitRequest
  14: ServerPermitReturn serverPermitReturn
  15: StreamNotice streamNotice
  16: StreamVersionRequest streamVersionRequest
  17: StreamVersionAnswer streamVersionAnswer
  18: OverdraftNotice overdraftNotice
  19: OverdraftRecorded overdraftRecorded
  20: CrashReport crashReport
  21: QuarantineNotice quarantineNotice
  22: RelayNotice relayNotice
  23: TokenReturn tokenReturn
}

struct PeerMessage {
  1: string sender
  /** Version of the sender's routing document. */
  2: i64 routingVersion
  3: PeerBody body
  4: optional ListStatement servers
}
