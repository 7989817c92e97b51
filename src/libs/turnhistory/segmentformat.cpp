#include "segmentformat.h"

#include "turncodec.h"

#include <base/random.h>

namespace TurnHistory {

namespace {

constexpr std::string_view magic = "MTR1";
constexpr std::size_t lengthOffset = 4;
constexpr std::size_t hashOffset = 8;
constexpr std::size_t headerBytes = 16;

/// Limit on the length of a record, so that a damaged length is detected early.
constexpr std::uint64_t maxPayloadBytes = 64ULL * 1024 * 1024;

void appendNumber(std::string &bytes, std::uint64_t number, std::size_t size)
{
    for (std::size_t i = 0; i < size; ++i) {
        bytes += static_cast<char>(number >> (8 * i));
    }
}

std::uint64_t readNumber(std::string_view bytes, std::size_t offset, std::size_t size)
{
    std::uint64_t number = 0;
    for (std::size_t i = 0; i < size; ++i) {
        number |= std::uint64_t(static_cast<unsigned char>(bytes[offset + i])) << (8 * i);
    }
    return number;
}

/// Returns the valid record at the start of the bytes, or nothing.
std::optional<std::string_view> findPayload(std::string_view bytes)
{
    if (bytes.size() < headerBytes || !bytes.starts_with(magic)) {
        return std::nullopt;
    }
    const std::uint64_t length = readNumber(bytes, lengthOffset, 4);
    if (length > maxPayloadBytes || length > bytes.size() - headerBytes) {
        return std::nullopt;
    }
    const std::string_view payload = bytes.substr(headerBytes, length);
    const bool isIntact = Base::hash64(payload) == readNumber(bytes, hashOffset, 8);
    return isIntact ? std::optional(payload) : std::nullopt;
}

} // namespace

std::string encodeRecord(const Turn &turn)
{
    const std::string payload = encodeTurn(turn);
    std::string bytes(magic);
    bytes.reserve(headerBytes + payload.size());
    appendNumber(bytes, payload.size(), 4);
    appendNumber(bytes, Base::hash64(payload), 8);
    return bytes + payload;
}

std::optional<Turn> decodeRecord(std::string_view bytes)
{
    const auto payload = findPayload(bytes);
    if (!payload || payload->size() + headerBytes != bytes.size()) {
        return std::nullopt;
    }
    return decodeTurn(*payload);
}

void scanSegment(std::string_view bytes, const SegmentVisitor &visitor)
{
    std::size_t offset = 0;
    std::size_t damageBegin = 0;
    const auto reportDamage = [&](std::size_t end) {
        if (end > damageBegin) {
            visitor.onDamage(damageBegin, end - damageBegin);
        }
    };
    while ((offset = bytes.find(magic, offset)) != std::string_view::npos) {
        const auto payload = findPayload(bytes.substr(offset));
        const auto turn = payload ? decodeTurn(*payload) : std::nullopt;
        if (!turn) {
            ++offset;
            continue;
        }
        reportDamage(offset);
        const auto size = static_cast<std::uint32_t>(headerBytes + payload->size());
        visitor.onTurn(*turn, offset, size);
        offset += size;
        damageBegin = offset;
    }
    reportDamage(bytes.size());
}

} // namespace TurnHistory
