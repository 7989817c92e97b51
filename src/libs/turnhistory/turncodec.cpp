#include "turncodec.h"

#include <turnstore/turnstore_types.h>

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

namespace TurnHistory {

namespace {

namespace Wire = TurnStoreProtocol;
using apache::thrift::protocol::TCompactProtocol;
using apache::thrift::transport::TMemoryBuffer;

template<typename Message>
std::string encode(const Message &message)
{
    const auto buffer = std::make_shared<TMemoryBuffer>();
    TCompactProtocol protocol(buffer);
    message.write(&protocol);
    return buffer->getBufferAsString();
}

/// Returns nothing unless all bytes belong to one message.
template<typename Message>
std::optional<Message> decode(std::string_view bytes)
{
    try {
        // The transport does not write to a buffer that it observes.
        auto *data = reinterpret_cast<std::uint8_t *>(const_cast<char *>(bytes.data()));
        const auto buffer = std::make_shared<TMemoryBuffer>(
            data, static_cast<std::uint32_t>(bytes.size()), TMemoryBuffer::OBSERVE);
        TCompactProtocol protocol(buffer);
        Message message;
        message.read(&protocol);
        return buffer->available_read() == 0 ? std::optional(std::move(message)) : std::nullopt;
    } catch (const apache::thrift::TException &) {
        return std::nullopt; // the callers log or count undecodable messages
    }
}

Wire::TurnRecord toWire(const Turn &turn)
{
    Wire::TurnRecord record;
    record.id = turn.id.text();
    record.previous = turn.previous.text();
    record.team = turn.team.text();
    record.placementKey = turn.placementKey;
    record.retentionMs
        = std::chrono::duration_cast<std::chrono::milliseconds>(turn.retention).count();
    record.endedAtMs = turn.endedAt.value();
    record.content = turn.content;
    return record;
}

Turn fromWire(Wire::TurnRecord &&record)
{
    Turn turn;
    turn.id = TurnId(std::move(record.id));
    turn.previous = TurnId(std::move(record.previous));
    turn.team = Base::TeamId(std::move(record.team));
    turn.placementKey = std::move(record.placementKey);
    turn.retention = std::chrono::milliseconds(record.retentionMs);
    turn.endedAt = UnixTime(record.endedAtMs);
    turn.content = std::move(record.content);
    return turn;
}

std::vector<Turn> fromWire(std::vector<Wire::TurnRecord> &&records)
{
    std::vector<Turn> turns;
    turns.reserve(records.size());
    for (Wire::TurnRecord &record : records) {
        turns.push_back(fromWire(std::move(record)));
    }
    return turns;
}

std::vector<std::string> toWire(const std::vector<TurnId> &ids)
{
    std::vector<std::string> texts;
    texts.reserve(ids.size());
    for (const TurnId &id : ids) {
        texts.push_back(id.text());
    }
    return texts;
}

std::vector<TurnId> idsFromWire(std::vector<std::string> &&texts)
{
    std::vector<TurnId> ids;
    ids.reserve(texts.size());
    for (std::string &text : texts) {
        ids.emplace_back(std::move(text));
    }
    return ids;
}

Wire::ChainOutcome::type toWire(ChainOutcome outcome)
{
    switch (outcome) {
    case ChainOutcome::Found:
        return Wire::ChainOutcome::Found;
    case ChainOutcome::Absent:
        return Wire::ChainOutcome::Absent;
    case ChainOutcome::Unreadable:
        break;
    }
    return Wire::ChainOutcome::Unreadable;
}

ChainOutcome fromWire(Wire::ChainOutcome::type outcome)
{
    switch (outcome) {
    case Wire::ChainOutcome::Found:
        return ChainOutcome::Found;
    case Wire::ChainOutcome::Absent:
        return ChainOutcome::Absent;
    case Wire::ChainOutcome::Unreadable:
        break;
    }
    return ChainOutcome::Unreadable;
}

} // namespace

std::string encodeTurn(const Turn &turn)
{
    return encode(toWire(turn));
}

std::optional<Turn> decodeTurn(std::string_view bytes)
{
    auto record = decode<Wire::TurnRecord>(bytes);
    return record ? std::optional(fromWire(std::move(*record))) : std::nullopt;
}

std::string encodeKeepRequest(const std::vector<Turn> &turns)
{
    Wire::KeepRequest request;
    for (const Turn &turn : turns) {
        request.turns.push_back(toWire(turn));
    }
    return encode(request);
}

std::optional<std::vector<Turn>> decodeKeepRequest(std::string_view bytes)
{
    auto request = decode<Wire::KeepRequest>(bytes);
    return request ? std::optional(fromWire(std::move(request->turns))) : std::nullopt;
}

std::string encodeChainRequest(const TurnId &turn)
{
    Wire::ChainRequest request;
    request.turn = turn.text();
    return encode(request);
}

std::optional<TurnId> decodeChainRequest(std::string_view bytes)
{
    auto request = decode<Wire::ChainRequest>(bytes);
    return request ? std::optional(TurnId(std::move(request->turn))) : std::nullopt;
}

std::string encodeChainResponse(const ChainResponse &response)
{
    Wire::ChainResponse wire;
    wire.outcome = toWire(response.outcome);
    wire.isSynchronized = response.isSynchronized;
    for (const Turn &turn : response.turns) {
        wire.turns.push_back(toWire(turn));
    }
    return encode(wire);
}

ChainResponse decodeChainResponse(std::string_view bytes)
{
    auto wire = decode<Wire::ChainResponse>(bytes);
    if (!wire) {
        return {};
    }
    return {fromWire(wire->outcome), wire->isSynchronized, fromWire(std::move(wire->turns))};
}

std::string encodeOfferRequest(const OfferRequest &request)
{
    Wire::OfferRequest wire;
    wire.sender = request.sender.text();
    wire.receiverDisk = request.receiverDisk.text();
    wire.turns = toWire(request.turns);
    wire.isComplete = request.isComplete;
    return encode(wire);
}

std::optional<OfferRequest> decodeOfferRequest(std::string_view bytes)
{
    auto wire = decode<Wire::OfferRequest>(bytes);
    if (!wire) {
        return std::nullopt;
    }
    return OfferRequest{Base::VmId(std::move(wire->sender)),
                        DiskId(std::move(wire->receiverDisk)),
                        idsFromWire(std::move(wire->turns)),
                        wire->isComplete};
}

std::string encodeOfferResponse(const OfferResponse &response)
{
    Wire::OfferResponse wire;
    wire.disk = response.disk.text();
    wire.isLeaving = response.isLeaving;
    wire.isReplicated = response.isReplicated;
    wire.isSettled = response.isSettled;
    wire.isSynchronized = response.isSynchronized;
    wire.isSenderInRing = response.isSenderInRing;
    for (const Base::VmId &vm : response.lostHolders) {
        wire.lostHolders.push_back(vm.text());
    }
    wire.missing = toWire(response.missing);
    return encode(wire);
}

std::optional<OfferResponse> decodeOfferResponse(std::string_view bytes)
{
    auto wire = decode<Wire::OfferResponse>(bytes);
    if (!wire) {
        return std::nullopt;
    }
    OfferResponse response;
    response.disk = DiskId(std::move(wire->disk));
    response.isLeaving = wire->isLeaving;
    response.isReplicated = wire->isReplicated;
    response.isSettled = wire->isSettled;
    response.isSynchronized = wire->isSynchronized;
    response.isSenderInRing = wire->isSenderInRing;
    for (std::string &vm : wire->lostHolders) {
        response.lostHolders.emplace(std::move(vm));
    }
    response.missing = idsFromWire(std::move(wire->missing));
    return response;
}

} // namespace TurnHistory
