#include "formatconversion.h"

#include <base/visitor.h>

namespace Journal {

namespace {

std::int64_t toMicroseconds(Base::Instant at)
{
    return at.time_since_epoch().count();
}

Base::Instant toInstant(std::int64_t microseconds)
{
    return Base::Instant(Base::Duration(microseconds));
}

std::int64_t toSigned(std::uint64_t value)
{
    return static_cast<std::int64_t>(value);
}

Base::BodyHash toBodyHash(std::int64_t value)
{
    return Base::BodyHash(static_cast<std::uint64_t>(value));
}

Base::CallNumber toCallNumber(std::int32_t value)
{
    return Base::CallNumber(static_cast<std::uint32_t>(value));
}

Base::Epoch toEpoch(std::int64_t value)
{
    return Base::Epoch(static_cast<std::uint64_t>(value));
}

Base::PartitionId toPartition(std::int32_t value)
{
    return Base::PartitionId(static_cast<std::uint16_t>(value));
}

Format::Error toFormat(const Base::Error &error)
{
    Format::Error result;
    result.code = static_cast<std::int32_t>(error.code);
    result.step = static_cast<std::int32_t>(error.step);
    result.peer = error.peer;
    result.ran = static_cast<Format::RunState::type>(error.ran);
    result.message = error.message;
    if (error.retryAfter) {
        result.__set_retryAfter(error.retryAfter->count());
    }
    return result;
}

Base::Error fromFormat(Format::Error &&error)
{
    Base::Error result;
    result.code = static_cast<Base::ErrorCode>(error.code);
    result.step = static_cast<Base::Step>(error.step);
    result.peer = std::move(error.peer);
    result.ran = static_cast<Base::Ran>(error.ran);
    result.message = std::move(error.message);
    if (error.__isset.retryAfter) {
        result.retryAfter = Base::Duration(error.retryAfter);
    }
    return result;
}

Format::ProgramCreated toFormat(const ProgramCreated &created)
{
    Format::ProgramCreated result;
    result.program = created.program.text();
    result.team = created.team.text();
    result.budget = created.budget.value();
    result.maxCalls = static_cast<std::int32_t>(created.maxCalls);
    result.createdAt = toMicroseconds(created.createdAt);
    if (created.deadline) {
        result.__set_deadline(toMicroseconds(*created.deadline));
    }
    if (created.parent) {
        result.__set_parent(created.parent->text());
    }
    result.key = created.key.text();
    return result;
}

ProgramCreated fromFormat(Format::ProgramCreated &&created)
{
    ProgramCreated result;
    result.program = Base::ProgramId(std::move(created.program));
    result.team = Base::TeamId(std::move(created.team));
    result.budget = Base::Tokens(created.budget);
    result.maxCalls = static_cast<std::uint32_t>(created.maxCalls);
    result.createdAt = toInstant(created.createdAt);
    if (created.__isset.deadline) {
        result.deadline = toInstant(created.deadline);
    }
    if (created.__isset.parent) {
        result.parent = Base::ProgramId(std::move(created.parent));
    }
    result.key = Base::KeyId(std::move(created.key));
    return result;
}

Format::CallIntent toFormat(const CallIntent &intent)
{
    Format::CallIntent result;
    result.program = intent.program.text();
    result.number = static_cast<std::int32_t>(intent.number.value());
    result.bodyHash = toSigned(intent.bodyHash.value());
    result.serviceId = intent.service.text();
    result.input = intent.input;
    result.reserved = intent.reserved.value();
    result.isIdempotent = intent.isIdempotent;
    result.at = toMicroseconds(intent.at);
    return result;
}

CallIntent fromFormat(Format::CallIntent &&intent)
{
    CallIntent result;
    result.program = Base::ProgramId(std::move(intent.program));
    result.number = toCallNumber(intent.number);
    result.bodyHash = toBodyHash(intent.bodyHash);
    result.service = Base::ServiceId(std::move(intent.serviceId));
    result.input = std::move(intent.input);
    result.reserved = Base::Tokens(intent.reserved);
    result.isIdempotent = intent.isIdempotent;
    result.at = toInstant(intent.at);
    return result;
}

Format::ProgramEnded toFormat(const ProgramEnded &ended)
{
    Format::ProgramEnded result;
    result.program = ended.program.text();
    result.reason = static_cast<Format::EndReason::type>(ended.reason);
    result.at = toMicroseconds(ended.at);
    return result;
}

ProgramEnded fromFormat(Format::ProgramEnded &&ended)
{
    return {Base::ProgramId(std::move(ended.program)),
            static_cast<EndReason>(ended.reason),
            toInstant(ended.at)};
}

Format::ChildReserved toFormat(const ChildReserved &child)
{
    Format::ChildReserved result;
    result.parent = child.parent.text();
    result.child = child.child.text();
    result.reserved = child.reserved.value();
    return result;
}

ChildReserved fromFormat(Format::ChildReserved &&child)
{
    return {Base::ProgramId(std::move(child.parent)),
            Base::ProgramId(std::move(child.child)),
            Base::Tokens(child.reserved)};
}

Format::ChildSettled toFormat(const ChildSettled &child)
{
    Format::ChildSettled result;
    result.parent = child.parent.text();
    result.child = child.child.text();
    result.spent = child.spent.value();
    return result;
}

ChildSettled fromFormat(Format::ChildSettled &&child)
{
    return {Base::ProgramId(std::move(child.parent)),
            Base::ProgramId(std::move(child.child)),
            Base::Tokens(child.spent)};
}

Format::SnapshotChunk toFormat(const SnapshotChunk &chunk)
{
    Format::SnapshotChunk result;
    result.name = chunk.name;
    result.first = static_cast<std::int32_t>(chunk.first.value());
    result.last = static_cast<std::int32_t>(chunk.last.value());
    result.size = chunk.size.value();
    return result;
}

SnapshotChunk fromFormat(Format::SnapshotChunk &&chunk)
{
    return {std::move(chunk.name),
            toCallNumber(chunk.first),
            toCallNumber(chunk.last),
            Base::Bytes(chunk.size)};
}

Format::ProgramState toFormat(const ProgramState &state)
{
    Format::ProgramState result;
    result.created = toFormat(state.created);
    result.lastEnded = static_cast<std::int32_t>(state.lastEnded.value());
    result.spent = state.spent.value();
    if (state.openCall) {
        result.__set_openCall(toFormat(*state.openCall));
    }
    for (const ChildReserved &child : state.openChildren) {
        result.openChildren.push_back(toFormat(child));
    }
    if (state.ended) {
        result.__set_ended(toFormat(*state.ended));
    }
    for (const SnapshotChunk &chunk : state.chunks) {
        result.chunks.push_back(toFormat(chunk));
    }
    return result;
}

ProgramState fromFormat(Format::ProgramState &&state)
{
    ProgramState result;
    result.created = fromFormat(std::move(state.created));
    result.lastEnded = toCallNumber(state.lastEnded);
    result.spent = Base::Tokens(state.spent);
    if (state.__isset.openCall) {
        result.openCall = fromFormat(std::move(state.openCall));
    }
    for (Format::ChildReserved &child : state.openChildren) {
        result.openChildren.push_back(fromFormat(std::move(child)));
    }
    if (state.__isset.ended) {
        result.ended = fromFormat(std::move(state.ended));
    }
    for (Format::SnapshotChunk &chunk : state.chunks) {
        result.chunks.push_back(fromFormat(std::move(chunk)));
    }
    return result;
}

Format::PartitionAdopted toFormat(const PartitionAdopted &adopted)
{
    Format::PartitionAdopted result;
    result.epoch = toSigned(adopted.epoch.value());
    if (adopted.predecessor) {
        result.__set_predecessor(adopted.predecessor->text());
    }
    result.isDegraded = adopted.isDegraded;
    return result;
}

PartitionAdopted fromFormat(Format::PartitionAdopted &&adopted)
{
    PartitionAdopted result;
    result.epoch = toEpoch(adopted.epoch);
    if (adopted.__isset.predecessor) {
        result.predecessor = Base::IncarnationId(std::move(adopted.predecessor));
    }
    result.isDegraded = adopted.isDegraded;
    return result;
}

Format::PartitionReleased toFormat(const PartitionReleased &released)
{
    Format::PartitionReleased result;
    result.epoch = toSigned(released.epoch.value());
    result.successor = released.successor.text();
    return result;
}

PartitionReleased fromFormat(Format::PartitionReleased &&released)
{
    return {toEpoch(released.epoch), Base::IncarnationId(std::move(released.successor))};
}

Format::RecordBody toFormat(const ProgramRecord &body)
{
    Format::RecordBody result;
    const auto set = [](auto &member, const auto &value, auto &&mark) {
        member = toFormat(value);
        mark();
    };
    auto &has = result.__isset;
    std::visit(
        Base::Visitor{
            [&](const ProgramCreated &value) {
                set(result.programCreated, value, [&] { has.programCreated = true; });
            },
            [&](const CallIntent &value) {
                set(result.callIntent, value, [&] { has.callIntent = true; });
            },
            [&](const CallResult &value) {
                set(result.callResult, value, [&] { has.callResult = true; });
            },
            [&](const ProgramEnded &value) {
                set(result.programEnded, value, [&] { has.programEnded = true; });
            },
            [&](const ChildReserved &value) {
                set(result.childReserved, value, [&] { has.childReserved = true; });
            },
            [&](const ChildSettled &value) {
                set(result.childSettled, value, [&] { has.childSettled = true; });
            },
            [&](const ProgramForgotten &value) {
                result.programForgotten.program = value.program.text();
                has.programForgotten = true;
            },
            [&](const ProgramRecovered &value) {
                set(result.programRecovered.state, value.state, [&] {
                    has.programRecovered = true;
                });
            },
            [&](const TurnRecovered &value) {
                set(result.turnRecovered.turn, value.turn, [&] { has.turnRecovered = true; });
            },
            [&](const PartitionAdopted &value) {
                set(result.partitionAdopted, value, [&] { has.partitionAdopted = true; });
            },
            [&](const PartitionReleased &value) {
                set(result.partitionReleased, value, [&] { has.partitionReleased = true; });
            },
            [&](const AdoptionBegun &value) {
                result.adoptionBegun.epoch = toSigned(value.epoch.value());
                has.adoptionBegun = true;
            }},
        body);
    return result;
}

std::optional<ProgramRecord> fromFormat(Format::RecordBody &&body)
{
    const auto &has = body.__isset;
    if (has.programCreated) {
        return fromFormat(std::move(body.programCreated));
    }
    if (has.callIntent) {
        return fromFormat(std::move(body.callIntent));
    }
    if (has.callResult) {
        return Journal::fromFormat(std::move(body.callResult));
    }
    if (has.programEnded) {
        return fromFormat(std::move(body.programEnded));
    }
    if (has.childReserved) {
        return fromFormat(std::move(body.childReserved));
    }
    if (has.childSettled) {
        return fromFormat(std::move(body.childSettled));
    }
    if (has.programForgotten) {
        return ProgramForgotten{Base::ProgramId(std::move(body.programForgotten.program))};
    }
    if (has.programRecovered) {
        return ProgramRecovered{fromFormat(std::move(body.programRecovered.state))};
    }
    if (has.turnRecovered) {
        return TurnRecovered{Journal::fromFormat(std::move(body.turnRecovered.turn))};
    }
    if (has.partitionAdopted) {
        return fromFormat(std::move(body.partitionAdopted));
    }
    if (has.partitionReleased) {
        return fromFormat(std::move(body.partitionReleased));
    }
    if (has.adoptionBegun) {
        return AdoptionBegun{toEpoch(body.adoptionBegun.epoch)};
    }
    return std::nullopt;
}

} // namespace

Format::CallResult toFormat(const CallResult &turn)
{
    Format::CallResult result;
    result.program = turn.program.text();
    result.number = static_cast<std::int32_t>(turn.number.value());
    result.bodyHash = toSigned(turn.bodyHash.value());
    result.serviceId = turn.service.text();
    result.server = turn.server.text();
    result.input = turn.input;
    result.output = turn.output;
    if (turn.error) {
        result.__set_error(toFormat(*turn.error));
    }
    result.promptTokens = turn.promptTokens.value();
    result.outputTokens = turn.outputTokens.value();
    result.charged = turn.charged.value();
    result.at = toMicroseconds(turn.at);
    return result;
}

CallResult fromFormat(Format::CallResult &&turn)
{
    CallResult result;
    result.program = Base::ProgramId(std::move(turn.program));
    result.number = toCallNumber(turn.number);
    result.bodyHash = toBodyHash(turn.bodyHash);
    result.service = Base::ServiceId(std::move(turn.serviceId));
    result.server = Base::ServerId(std::move(turn.server));
    result.input = std::move(turn.input);
    result.output = std::move(turn.output);
    if (turn.__isset.error) {
        result.error = fromFormat(std::move(turn.error));
    }
    result.promptTokens = Base::Tokens(turn.promptTokens);
    result.outputTokens = Base::Tokens(turn.outputTokens);
    result.charged = Base::Tokens(turn.charged);
    result.at = toInstant(turn.at);
    return result;
}

Format::Record toFormat(const Record &record)
{
    Format::Record result;
    result.partition = record.partition.value();
    result.body = toFormat(record.body);
    return result;
}

std::optional<Record> fromFormat(Format::Record &&record)
{
    std::optional<ProgramRecord> body = fromFormat(std::move(record.body));
    if (!body) {
        return std::nullopt;
    }
    return Record{toPartition(record.partition), std::move(*body)};
}

Format::PartitionState toFormat(const PartitionState &partition)
{
    Format::PartitionState result;
    result.partition = partition.partition.value();
    if (partition.adopted) {
        result.__set_adopted(toFormat(*partition.adopted));
    }
    if (partition.released) {
        result.__set_released(toFormat(*partition.released));
    }
    for (const ProgramState &program : partition.programs) {
        result.programs.push_back(toFormat(program));
    }
    return result;
}

PartitionState fromFormat(Format::PartitionState &&partition)
{
    PartitionState result;
    result.partition = toPartition(partition.partition);
    if (partition.__isset.adopted) {
        result.adopted = fromFormat(std::move(partition.adopted));
    }
    if (partition.__isset.released) {
        result.released = fromFormat(std::move(partition.released));
    }
    for (Format::ProgramState &program : partition.programs) {
        result.programs.push_back(fromFormat(std::move(program)));
    }
    return result;
}

} // namespace Journal
