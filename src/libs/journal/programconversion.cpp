#include "programconversion.h"

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

} // namespace

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

} // namespace Journal
