/**
 * The operators' interface: compact protocol, framed, mutual TLS. Any daemon serves it.
 * Every change is recorded with the operator's name and the version that it was made from.
 */
namespace cpp OperatorProtocol

/** Who asks; the token is compared with a hash in the daemon's settings. */
struct Credential {
  1: string name
  2: string token
}

/** A value that does not fit: its path in the document, what was found and what is expected. */
struct Problem {
  1: string path
  2: string found
  3: string expected
}

exception Unauthorized {
  1: string message
}

/** The change does not fit the configuration; nothing was changed. */
exception InvalidChange {
  1: list<Problem> problems
}

/** Another operator changed the configuration first; nothing was changed. */
exception Conflict {
  1: i64 expectedVersion
  2: i64 foundVersion
}

/** The change could not be carried out, or it is not known whether it was. */
exception Unavailable {
  1: string message
  2: string step
  3: string peer
  /** "not_run" or "may_have_run" */
  4: string ran
}

struct AddTeam {
  1: string team
  2: double ratePerSecond
  3: double burst
  4: i64 budgetTokens
  5: double weight = 1
}

struct RemoveTeam {
  1: string team
}

struct SetRate {
  1: string team
  2: double ratePerSecond
  3: double burst
}

struct SetBudget {
  1: string team
  2: i64 budgetTokens
}

struct SetWeight {
  1: string team
  2: double weight
}

struct WithdrawKey {
  1: string key
}

struct PutService {
  1: string serviceId
  /** "model" or "plain" */
  2: string kind
  3: string model
  4: bool isIdempotent
  5: string route
  6: bool isOpenToAll
  7: list<string> teams
  8: i64 callTimeoutMs = 60000
  9: optional i64 objectiveLatencyMs
  10: optional double objectiveRatio
}

struct RemoveService {
  1: string serviceId
}

struct PutServer {
  1: string server
  2: string serviceId
  3: string address
  4: string zone
  5: i32 slots = 1
  6: bool honoursFencing
}

struct RemoveServer {
  1: string server
}

/** A leaving server gets no new work. */
struct SetServerLeaving {
  1: string server
  2: bool isLeaving = true
}

/** Servers of a closed zone get no new work. */
struct SetZoneClosed {
  1: string zone
  2: bool isClosed = true
}

/** Replaces the whole configuration by a document in JSON. */
struct ReplaceConfiguration {
  1: string document
}

union Change {
  1: AddTeam addTeam
  2: RemoveTeam removeTeam
  3: SetRate setRate
  4: SetBudget setBudget
  5: SetWeight setWeight
  6: WithdrawKey withdrawKey
  7: PutService putService
  8: RemoveService removeService
  9: PutServer putServer
  10: RemoveServer removeServer
  11: SetServerLeaving setServerLeaving
  12: ReplaceConfiguration replaceConfiguration
  13: SetZoneClosed setZoneClosed
}

struct ChangeRequest {
  1: Change change
  /** The version that the operator looked at; a newer one is a conflict. */
  2: optional i64 expectedVersion
  /** Only checks whether the change fits. */
  3: bool isDryRun
}

struct ChangeResult {
  1: i64 version
  2: bool isDryRun
}

struct IssuedKey {
  1: string key
  /** The whole key, shown this once. */
  2: string text
  3: i64 version
}

struct Configuration {
  1: i64 version
  /** The document in JSON, with hashes of keys only. */
  2: string document
}

struct DaemonStatus {
  1: string incarnation
  2: i64 configVersion
  3: i32 partitions
  4: i32 programs
  5: i64 programBytes
  6: bool isReady
}

service Operator {
  ChangeResult change(1: Credential who, 2: ChangeRequest request) throws (1: Unauthorized unauthorized, 2: InvalidChange invalid, 3: Conflict conflict, 4: Unavailable unavailable)
  IssuedKey issueKey(1: Credential who, 2: string team, 3: i64 expectedVersion) throws (1: Unauthorized unauthorized, 2: InvalidChange invalid, 3: Conflict conflict, 4: Unavailable unavailable)
  Configuration configuration(1: Credential who) throws (1: Unauthorized unauthorized)
  DaemonStatus status(1: Credential who) throws (1: Unauthorized unauthorized)
}
