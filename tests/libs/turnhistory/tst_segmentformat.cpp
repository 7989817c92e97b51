#include "turns.h"

#include <turnhistory/segmentformat.h>

#include <base/random.h>

#include <criterion/criterion.h>

#include <algorithm>
#include <map>

using namespace TurnHistory;

namespace {

struct Scan
{
    std::vector<Turn> turns;
    std::uint64_t damagedBytes = 0;
    std::uint64_t validBytes = 0;
};

/// Scans the bytes and checks that each turn can be read again at the reported position.
Scan scan(const std::string &bytes)
{
    Scan result;
    SegmentVisitor visitor;
    visitor.onTurn = [&](const Turn &turn, std::uint64_t offset, std::uint32_t length) {
        const auto again = decodeRecord(std::string_view(bytes).substr(offset, length));
        cr_assert(again && *again == turn);
        result.turns.push_back(turn);
        result.validBytes += length;
    };
    visitor.onDamage = [&](std::uint64_t, std::uint64_t length) { result.damagedBytes += length; };
    scanSegment(bytes, visitor);
    cr_assert_eq(result.validBytes + result.damagedBytes, bytes.size());
    return result;
}

Turn randomTurn(Base::Random &random, int number)
{
    Turn turn = makeTurn("t" + std::to_string(number));
    turn.content.resize(random.below(300));
    for (char &c : turn.content) {
        c = static_cast<char>(random.below(256));
    }
    if (random.chance(0.2)) {
        turn.content += "MTR1"; // the mark of a record within another
    }
    return turn;
}

} // namespace

Test(segmentformat, returnsWhatWasWritten)
{
    Base::Random random(1);
    std::string bytes;
    std::vector<Turn> turns;
    for (int i = 0; i < 50; ++i) {
        turns.push_back(randomTurn(random, i));
        bytes += encodeRecord(turns.back());
    }
    const Scan result = scan(bytes);
    cr_assert(result.turns == turns);
    cr_assert_eq(result.damagedBytes, 0);
}

Test(segmentformat, rejectsEveryChangeOfARecord)
{
    const std::string record = encodeRecord(makeTurn("a", "b"));
    for (std::size_t at = 0; at < record.size(); ++at) {
        for (int bit = 0; bit < 8; ++bit) {
            std::string changed = record;
            changed[at] = static_cast<char>(changed[at] ^ (1 << bit));
            cr_assert(!decodeRecord(changed), "byte %zu, bit %d", at, bit);
        }
        cr_assert(!decodeRecord(record.substr(0, at)));
    }
    cr_assert(!decodeRecord(record + "x"));
}

/// Damages a segment in the ways of a power loss and of a failing disk. Records that were not
/// touched must be found, and no turn that was never written.
Test(segmentformat, findsEveryIntactRecordOfADamagedSegment)
{
    for (std::uint64_t seed = 1; seed <= 3000; ++seed) {
        Base::Random random(seed);
        std::map<std::string, Turn> written;
        std::vector<std::pair<Turn, std::string>> records;
        for (int i = 0; i < 8; ++i) {
            const Turn turn = randomTurn(random, i);
            written.emplace(turn.id.text(), turn);
            records.emplace_back(turn, encodeRecord(turn));
        }
        std::vector<bool> isIntact(records.size(), true);
        for (std::size_t i = 0; i < records.size(); ++i) {
            std::string &bytes = records[i].second;
            switch (random.below(8)) {
            case 0: // lost
                bytes.clear();
                isIntact[i] = false;
                break;
            case 1: // torn
                bytes.resize(random.below(bytes.size()));
                isIntact[i] = false;
                break;
            case 2: // a hole that was never written
                std::fill_n(bytes.begin(), 1 + random.below(bytes.size()), '\0');
                isIntact[i] = false;
                break;
            case 3: // flipped
                bytes[random.below(bytes.size())] ^= 0x10;
                isIntact[i] = false;
                break;
            case 4: // repeated
                bytes += bytes;
                break;
            default:
                break;
            }
        }
        for (std::size_t i = records.size() - 1; i > 0; --i) { // reordered
            if (random.chance(0.3)) {
                const std::size_t other = random.below(i + 1);
                std::swap(records[i], records[other]);
                const bool intact = isIntact[i];
                isIntact[i] = isIntact[other];
                isIntact[other] = intact;
            }
        }
        std::string bytes;
        for (const auto &[turn, record] : records) {
            bytes += record;
        }
        const Scan result = scan(bytes);
        for (const Turn &turn : result.turns) {
            cr_assert(written.at(turn.id.text()) == turn, "seed %zu", std::size_t(seed));
        }
        for (std::size_t i = 0; i < records.size(); ++i) {
            const bool isFound
                = std::find(result.turns.begin(), result.turns.end(), records[i].first)
                  != result.turns.end();
            cr_assert(!isIntact[i] || isFound, "seed %zu, record %zu", std::size_t(seed), i);
        }
    }
}
