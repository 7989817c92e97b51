// Objects of the journal in the platform's store, in Thrift's compact protocol.
// New fields are optional; field numbers are never reused.

namespace cpp Journal.Format

enum RunState {
    NotRun = 0,
    MayHaveRun = 1,
    HasRun = 2
}

/// Times are in microseconds of Base::DecisionClock.
struct Error {
    1: i32 code,
    2: i32 step,
    3: string peer,
    4: RunState ran,
    5: string message,
    6: optional i64 retryAfter
}

struct ProgramCreated {
    1: string program,
    2: string team,
    3: i64 budget,
    4: i32 maxCalls,
    5: i64 createdAt,
    6: optional i64 deadline,
    7: optional string parent,
    8: string key
}

struct CallIntent {
    1: string program,
    2: i32 number,
    3: i64 bodyHash,
    4: string serviceId,
    5: binary input,
    6: i64 reserved,
    7: bool isIdempotent,
    8: i64 at
}

struct CallResult {
    1: string program,
    2: i32 number,
    3: i64 bodyHash,
    4: string serviceId,
    5: string server,
    6: binary input,
    7: binary output,
    8: optional Error error,
    9: i64 promptTokens,
    10: i64 outputTokens,
    11: i64 charged,
    12: i64 at
}

enum EndReason {
    ByCaller = 0,
    Expired = 1,
    DeadlinePassed = 2,
    KeyWithdrawn = 3
}

struct ProgramEnded {
    1: string program,
    2: EndReason reason,
    3: i64 at
}

struct ChildReserved {
    1: string parent,
    2: string child,
    3: i64 reserved
}

struct ChildSettled {
    1: string parent,
    2: string child,
    3: i64 spent
}

struct ProgramForgotten {
    1: string program
}

struct SnapshotChunk {
    1: string name,
    2: i32 first,
    3: i32 last,
    4: i64 size
}

struct ProgramState {
    1: ProgramCreated created,
    2: i32 lastEnded,
    3: i64 spent,
    4: optional CallIntent openCall,
    5: list<ChildReserved> openChildren,
    6: optional ProgramEnded ended,
    7: list<SnapshotChunk> chunks
}

struct ProgramRecovered {
    1: ProgramState state
}

struct TurnRecovered {
    1: CallResult turn
}

struct AdoptionBegun {
    1: i64 epoch
}

struct PartitionAdopted {
    1: i64 epoch,
    2: optional string predecessor,
    3: bool isDegraded
}

struct PartitionReleased {
    1: i64 epoch,
    2: string successor
}

union RecordBody {
    1: ProgramCreated programCreated,
    2: CallIntent callIntent,
    3: CallResult callResult,
    4: ProgramEnded programEnded,
    5: ChildReserved childReserved,
    6: ChildSettled childSettled,
    7: ProgramForgotten programForgotten,
    8: ProgramRecovered programRecovered,
    9: TurnRecovered turnRecovered,
    10: PartitionAdopted partitionAdopted,
    11: PartitionReleased partitionReleased,
    12: AdoptionBegun adoptionBegun
}

struct Record {
    1: i32 partition,
    2: RecordBody body
}

/// End of an incarnation's journal.
struct SealMark {
    1: string by
}

/// One commit of one incarnation, with contiguous sequence numbers. A segment may contain entries of
/// several incarnations, each of which is sealed separately.
struct Entry {
    1: string incarnation,
    2: i64 sequence,
    3: list<Record> records,
    4: optional SealMark seal
}

struct Segment {
    1: i32 format,
    2: string writer,
    3: i64 number,
    4: string writeId,
    5: list<Entry> entries
}

struct PartitionState {
    1: i32 partition,
    2: optional PartitionAdopted adopted,
    3: optional PartitionReleased released,
    4: list<ProgramState> programs
}

/// State after all segments before firstLive.
struct Checkpoint {
    1: i32 format,
    2: string incarnation,
    3: i64 firstLive,
    4: list<PartitionState> partitions,
    5: list<string> parts,
    6: i64 throughSequence
}

/// Object with turns of programs of one partition.
struct HistoryChunk {
    1: i32 format,
    2: i32 partition,
    3: list<CallResult> turns
}
