/**
 * Requests to the daemons that keep the turns of programs, and the records on their disks. Carried
 * by HTTP: POST /turns/keep, /turns/chain and /turns/offer, compact protocol.
 */
namespace cpp TurnStoreProtocol

/** A completed turn. Records never change. */
struct TurnRecord {
  1: string id
  /** The turn that this one continues; empty at the start of a chain. */
  2: string previous
  3: string team
  /** Selects the daemons that keep the turn; the same for most turns of a chain. */
  4: string placementKey
  5: i64 retentionMs
  /** Unix time of the end of the turn. */
  6: i64 endedAtMs
  /** The input of the turn, then the data of each event followed by a line feed. */
  7: binary content
}

/** Requests that the turns be written to disk; the response follows once they are. */
struct KeepRequest {
  1: list<TurnRecord> turns
}

struct ChainRequest {
  1: string turn
}

enum ChainOutcome {
  Found = 0
  /** The receiver has no such turn. */
  Absent = 1
  /** The receiver has the turn but cannot read it. */
  Unreadable = 2
}

struct ChainResponse {
  1: ChainOutcome outcome
  /** Whether the receiver has copied all turns that it has to keep since its disk was last empty. */
  2: bool isSynchronized
  /** The turn and its predecessors, newest first, up to the first that the receiver lacks. */
  3: list<TurnRecord> turns
}

/** Names turns of the sender that the receiver has to keep too. */
struct OfferRequest {
  1: string sender
  /** The receiver's disk to which the sender's progress refers; empty if unknown. */
  2: string receiverDisk
  3: list<string> turns
  /**
   * Every reachable holder has confirmed what it has to keep of the turns that the sender had when
   * the reachable holders or their disks last changed.
   */
  4: bool isComplete
}

struct OfferResponse {
  /** Identifies the contents of the receiver's disk; changes if they are lost. */
  1: string disk
  2: bool isLeaving
  /** The offered turns that the receiver does not have. */
  3: list<string> missing
  /** Every reachable holder has what it has to keep of the receiver's turns. */
  4: bool isReplicated
  /** As in ChainResponse. */
  5: bool isSynchronized
  /** Holders that the receiver has not reached for a long time. */
  6: list<string> lostHolders
  /** The receiver copies turns to the sender, rather than to others in its place. */
  7: bool isSenderInRing
  /** As isReplicated, for the turns from before the reachable holders or their disks last changed. */
  8: bool isSettled
}
