#include "codec.h"

#include "formatconversion.h"
#include "programconversion.h"

#include <base/visitor.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

namespace Journal {

namespace {

using Buffer = apache::thrift::transport::TMemoryBuffer;
using Protocol = apache::thrift::protocol::TCompactProtocolT<Buffer>;

constexpr std::int32_t formatVersion = 1;

// Upper bound per struct: field headers, numbers at their maximum width, and string lengths.
constexpr std::int64_t structOverheadBytes = 160;
constexpr std::int64_t chunkOverheadBytes = 40;

template<typename Format>
std::string toBytes(const Format &value)
{
    const auto buffer = std::make_shared<Buffer>();
    Protocol protocol(buffer);
    value.write(&protocol);
    return buffer->getBufferAsString();
}

Base::Error decodeError(std::string message)
{
    Base::Error error;
    error.code = Base::ErrorCode::Internal;
    error.step = Base::Step::Recover;
    error.peer = "platform";
    error.message = std::move(message);
    return error;
}

template<typename Format>
Base::Result<Format> fromBytes(std::string_view bytes)
{
    // Thrift takes a mutable pointer but does not write in OBSERVE mode.
    auto *data = const_cast<char *>(bytes.data());
    const auto buffer = std::make_shared<Buffer>(reinterpret_cast<std::uint8_t *>(data),
                                                 static_cast<std::uint32_t>(bytes.size()),
                                                 Buffer::OBSERVE);
    Protocol protocol(buffer);
    Format value;
    try {
        value.read(&protocol);
    } catch (const std::exception &exception) {
        return decodeError(std::string("malformed journal object: ") + exception.what());
    }
    if (value.format != formatVersion) {
        return decodeError("journal object has format " + std::to_string(value.format)
                           + ", expected " + std::to_string(formatVersion));
    }
    return value;
}

std::int64_t length(const std::string &text)
{
    return static_cast<std::int64_t>(text.size());
}

std::int64_t boundOf(const Base::Error &error)
{
    return structOverheadBytes + length(error.peer) + length(error.message);
}

std::int64_t boundOf(const ProgramCreated &created)
{
    return structOverheadBytes + length(created.program.text()) + length(created.team.text())
           + length(created.key.text()) + (created.parent ? length(created.parent->text()) : 0);
}

std::int64_t boundOf(const CallIntent &intent)
{
    return structOverheadBytes + length(intent.program.text()) + length(intent.service.text())
           + length(intent.input);
}

std::int64_t boundOf(const CallResult &turn)
{
    return structOverheadBytes + length(turn.program.text()) + length(turn.service.text())
           + length(turn.server.text()) + length(turn.input) + length(turn.output)
           + (turn.error ? boundOf(*turn.error) : 0);
}

std::int64_t boundOf(const ProgramEnded &ended)
{
    return structOverheadBytes + length(ended.program.text());
}

std::int64_t boundOf(const ChildReserved &child)
{
    return structOverheadBytes + length(child.parent.text()) + length(child.child.text());
}

std::int64_t boundOf(const ChildSettled &child)
{
    return structOverheadBytes + length(child.parent.text()) + length(child.child.text());
}

std::int64_t boundOf(const ProgramForgotten &forgotten)
{
    return structOverheadBytes + length(forgotten.program.text());
}

std::int64_t boundOf(const ProgramState &state)
{
    std::int64_t bound = structOverheadBytes + boundOf(state.created);
    if (state.openCall) {
        bound += boundOf(*state.openCall);
    }
    for (const ChildReserved &child : state.openChildren) {
        bound += boundOf(child);
    }
    if (state.ended) {
        bound += boundOf(*state.ended);
    }
    for (const SnapshotChunk &chunk : state.chunks) {
        bound += chunkOverheadBytes + length(chunk.name);
    }
    return bound;
}

std::int64_t boundOf(const ProgramRecovered &recovered)
{
    return structOverheadBytes + boundOf(recovered.state);
}

std::int64_t boundOf(const TurnRecovered &recovered)
{
    return structOverheadBytes + boundOf(recovered.turn);
}

std::int64_t boundOf(const PartitionAdopted &adopted)
{
    return structOverheadBytes + (adopted.predecessor ? length(adopted.predecessor->text()) : 0);
}

std::int64_t boundOf(const PartitionReleased &released)
{
    return structOverheadBytes + length(released.successor.text());
}

std::int64_t boundOf(const AdoptionBegun &)
{
    return structOverheadBytes;
}

Format::Entry toFormat(const Entry &entry)
{
    Format::Entry result;
    result.incarnation = entry.incarnation.text();
    result.sequence = static_cast<std::int64_t>(entry.sequence.value());
    result.records.reserve(entry.records.size());
    for (const Record &record : entry.records) {
        result.records.push_back(Journal::toFormat(record));
    }
    if (entry.seal) {
        result.__isset.seal = true;
        result.seal.by = entry.seal->by.text();
    }
    return result;
}

std::optional<Entry> fromFormat(Format::Entry &&entry)
{
    Entry result;
    result.incarnation = Base::IncarnationId(std::move(entry.incarnation));
    result.sequence = EntrySequence(static_cast<std::uint64_t>(entry.sequence));
    result.records.reserve(entry.records.size());
    for (Format::Record &record : entry.records) {
        std::optional<Record> known = Journal::fromFormat(std::move(record));
        if (!known) {
            return std::nullopt;
        }
        result.records.push_back(std::move(*known));
    }
    if (entry.__isset.seal) {
        result.seal = SealMark{Base::IncarnationId(std::move(entry.seal.by))};
    }
    return result;
}

} // namespace

std::string encode(const Segment &segment)
{
    Format::Segment result;
    result.format = formatVersion;
    result.writer = segment.writer.text();
    result.number = static_cast<std::int64_t>(segment.number.value());
    result.writeId = segment.writeId.text();
    for (const Entry &entry : segment.entries) {
        result.entries.push_back(toFormat(entry));
    }
    return toBytes(result);
}

std::string encode(const Checkpoint &checkpoint)
{
    Format::Checkpoint result;
    result.format = formatVersion;
    result.incarnation = checkpoint.incarnation.text();
    result.firstLive = static_cast<std::int64_t>(checkpoint.firstLive.value());
    for (const PartitionState &partition : checkpoint.partitions) {
        result.partitions.push_back(toFormat(partition));
    }
    result.parts = checkpoint.parts;
    result.throughSequence = static_cast<std::int64_t>(checkpoint.throughSequence.value());
    return toBytes(result);
}

std::string encode(const HistoryChunk &chunk)
{
    Format::HistoryChunk result;
    result.format = formatVersion;
    result.partition = chunk.partition.value();
    for (const CallResult &turn : chunk.turns) {
        result.turns.push_back(toFormat(turn));
    }
    return toBytes(result);
}

Base::Result<Segment> decodeSegment(std::string_view bytes)
{
    BOOST_OUTCOME_TRY(segment, fromBytes<Format::Segment>(bytes));
    Segment result;
    result.writer = Base::IncarnationId(std::move(segment.writer));
    result.number = Base::SegmentNumber(static_cast<std::uint64_t>(segment.number));
    result.writeId = Base::WriteId(std::move(segment.writeId));
    for (Format::Entry &entry : segment.entries) {
        std::optional<Entry> known = fromFormat(std::move(entry));
        if (!known) {
            return decodeError("journal segment " + std::to_string(result.number.value())
                               + " written by " + result.writer.text()
                               + " contains a record of an unknown kind");
        }
        result.entries.push_back(std::move(*known));
    }
    return result;
}

Base::Result<Checkpoint> decodeCheckpoint(std::string_view bytes)
{
    BOOST_OUTCOME_TRY(checkpoint, fromBytes<Format::Checkpoint>(bytes));
    Checkpoint result;
    result.incarnation = Base::IncarnationId(std::move(checkpoint.incarnation));
    result.firstLive = Base::SegmentNumber(static_cast<std::uint64_t>(checkpoint.firstLive));
    for (Format::PartitionState &partition : checkpoint.partitions) {
        result.partitions.push_back(fromFormat(std::move(partition)));
    }
    result.parts = std::move(checkpoint.parts);
    result.throughSequence = EntrySequence(static_cast<std::uint64_t>(checkpoint.throughSequence));
    return result;
}

Base::Result<HistoryChunk> decodeHistoryChunk(std::string_view bytes)
{
    BOOST_OUTCOME_TRY(chunk, fromBytes<Format::HistoryChunk>(bytes));
    HistoryChunk result;
    result.partition = Base::PartitionId(static_cast<std::uint16_t>(chunk.partition));
    result.turns.reserve(chunk.turns.size());
    for (Format::CallResult &turn : chunk.turns) {
        result.turns.push_back(fromFormat(std::move(turn)));
    }
    return result;
}

Base::Bytes sizeBound(const Record &record)
{
    const std::int64_t body
        = std::visit([](const auto &value) { return boundOf(value); }, record.body);
    return Base::Bytes(structOverheadBytes + body);
}

Base::Bytes sizeBound(const CallResult &turn)
{
    return Base::Bytes(boundOf(turn));
}

Base::Bytes sizeBound(const ProgramState &state)
{
    return Base::Bytes(boundOf(state));
}

} // namespace Journal
