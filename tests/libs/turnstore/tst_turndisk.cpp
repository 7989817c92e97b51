#include "storefixture.h"

#include <libs/turnhistory/turns.h>
#include <turnstore/diskscan.h>
#include <turnstore/turndisk.h>

#include <criterion/criterion.h>

#include <filesystem>
#include <fstream>

#include <sys/resource.h>

using namespace TurnStore;
using TurnHistory::Turn;
using TurnHistory::TurnId;
using TurnHistory::TurnIndex;
using TurnHistory::UnixTime;

namespace {

/// A disk in a temporary folder, and its index.
class DiskFixture
{
public:
    DiskFixture() { open(); }

    void open(std::uint64_t capacityBytes = 1'000'000)
    {
        disk.reset();
        index = TurnIndex();
        TurnDiskSettings settings;
        settings.folder = folder.path() + "/turns";
        settings.capacityBytes = capacityBytes;
        settings.segmentBytes = 500;
        disk = std::make_unique<TurnDisk>(context, settings, silentLog(), metrics);
        disk->load(index);
    }

    WriteResult append(const Turn &turn)
    {
        std::optional<WriteResult> result;
        disk->append({turn}, [&](WriteResult written, const auto &positions) {
            result = written;
            if (written == WriteResult::Durable) {
                index.add(turn, positions.front());
            }
        });
        runUntil(
            context, [&] { return result.has_value(); }, "the write ends");
        return *result;
    }

    std::optional<Turn> read(const std::string &id)
    {
        const TurnHistory::IndexedTurn *indexed = index.find(TurnId(id));
        return indexed ? disk->read(indexed->position) : std::nullopt;
    }

    std::vector<std::filesystem::path> segments() const
    {
        std::vector<std::filesystem::path> result;
        for (const auto &entry : std::filesystem::directory_iterator(folder.path() + "/turns")) {
            if (entry.path().extension() == ".turns") {
                result.push_back(entry.path());
            }
        }
        std::sort(result.begin(), result.end());
        return result;
    }

    TemporaryFolder folder;
    asio::io_context context;
    Telemetry::Metrics metrics;
    std::unique_ptr<TurnDisk> disk;
    TurnIndex index;
};

Turn numberedTurn(int number)
{
    Turn turn = makeTurn("t" + std::to_string(number));
    turn.content = std::string(200, static_cast<char>('a' + number));
    return turn;
}

} // namespace

Test(turndisk, returnsTurnsAfterARestart)
{
    DiskFixture fixture;
    for (int i = 0; i < 10; ++i) {
        cr_assert_eq(fixture.append(numberedTurn(i)), WriteResult::Durable);
    }
    const TurnHistory::DiskId id = fixture.disk->id();
    for (int restart = 0; restart < 2; ++restart) {
        for (int i = 0; i < 10; ++i) {
            cr_assert(fixture.read("t" + std::to_string(i)) == numberedTurn(i));
        }
        fixture.open();
        cr_assert_eq(fixture.disk->id(), id);
    }
    cr_assert_gt(fixture.segments().size(), 1);
}

/// A segment that could not be read when the daemon started was removed with all of its turns.
Test(turndisk, keepsASegmentThatCannotBeReadAtTheStart)
{
    DiskFixture fixture;
    fixture.append(numberedTurn(1));
    fixture.disk->markSynchronized();
    const TurnHistory::DiskId id = fixture.disk->id();
    fixture.disk.reset();
    TurnDiskSettings settings;
    settings.folder = fixture.folder.path() + "/turns";
    settings.capacityBytes = 1'000'000;
    TurnDisk disk(fixture.context, settings, silentLog(), fixture.metrics);
    TurnIndex index;
    rlimit usual{};
    cr_assert_eq(::getrlimit(RLIMIT_NOFILE, &usual), 0);
    const rlimit none{0, usual.rlim_max};
    cr_assert_eq(::setrlimit(RLIMIT_NOFILE, &none), 0);
    disk.load(index);
    cr_assert_eq(::setrlimit(RLIMIT_NOFILE, &usual), 0);
    cr_assert_eq(index.size(), 0);
    cr_assert_eq(fixture.segments().size(), 1, "the turns are removed");
    cr_assert(!disk.isSynchronized(), "absent turns are taken for certain");
    cr_assert_neq(disk.id(), id, "other holders do not copy what is missing");
}

Test(turndisk, servesWhatIsIntactOfADamagedSegment)
{
    DiskFixture fixture;
    for (int i = 0; i < 6; ++i) {
        fixture.append(numberedTurn(i));
    }
    fixture.disk.reset();
    {
        std::fstream file(fixture.segments().front(), std::ios::in | std::ios::out);
        file.seekp(100);
        file << "damage";
    }
    fixture.open();
    cr_assert_eq(fixture.index.size(), 5);
    cr_assert(!fixture.read("t0"));
    cr_assert(fixture.read("t5") == numberedTurn(5));
}

Test(turndisk, isScannedWithoutADaemon)
{
    DiskFixture fixture;
    for (int i = 0; i < 6; ++i) {
        fixture.append(numberedTurn(i));
    }
    const std::string folder = fixture.folder.path() + "/turns";
    DiskScan scan = scanFolder(folder);
    cr_assert_eq(scan.turns.size(), 6);
    cr_assert(scan.damage.empty() && scan.problems.empty());
    cr_assert_eq(scan.turns.front().contentBytes, 200);
    {
        std::fstream file(fixture.segments().front(), std::ios::in | std::ios::out);
        file.seekp(100);
        file << "damage";
    }
    scan = scanFolder(folder);
    cr_assert_eq(scan.turns.size(), 5);
    cr_assert_eq(scan.damage.size(), 1);
    cr_assert_eq(scan.damage.front().offset, 0);
    cr_assert_eq(scanFolder(folder + "/nowhere").problems.size(), 1);
}

Test(turndisk, reportsRecordsThatWereDamagedAfterTheStart)
{
    DiskFixture fixture;
    fixture.append(numberedTurn(0));
    std::filesystem::resize_file(fixture.segments().front(), 50);
    cr_assert(!fixture.read("t0"));
}

Test(turndisk, refusesTurnsBeyondItsCapacity)
{
    DiskFixture fixture;
    fixture.open(700);
    cr_assert_eq(fixture.append(numberedTurn(0)), WriteResult::Durable);
    cr_assert_eq(fixture.append(numberedTurn(1)), WriteResult::Durable);
    cr_assert_eq(fixture.append(numberedTurn(2)), WriteResult::Full);
    cr_assert(fixture.read("t1") == numberedTurn(1), "kept turns stay");
}

Test(turndisk, removesSegmentsWhoseRetentionHasEnded)
{
    DiskFixture fixture;
    for (int i = 0; i < 10; ++i) {
        Turn turn = numberedTurn(i);
        turn.endedAt = UnixTime(i * 100'000);
        fixture.append(turn);
    }
    const std::uint64_t before = fixture.disk->usedBytes();
    fixture.disk->removeExpired(fixture.index, UnixTime(550'000));
    cr_assert_lt(fixture.disk->usedBytes(), before);
    cr_assert(!fixture.read("t0"));
    cr_assert(fixture.read("t9").has_value());
    fixture.open();
    cr_assert(!fixture.read("t0"));
    cr_assert(fixture.read("t9").has_value());
}

Test(turndisk, remembersWhetherItIsSynchronized)
{
    DiskFixture fixture;
    cr_assert(!fixture.disk->isSynchronized());
    fixture.disk->markSynchronized();
    const TurnHistory::DiskId id = fixture.disk->id();
    fixture.open();
    cr_assert(fixture.disk->isSynchronized());
    cr_assert_eq(fixture.disk->id(), id);
    fixture.disk.reset();
    std::filesystem::remove_all(fixture.folder.path() + "/turns");
    fixture.open();
    cr_assert(!fixture.disk->isSynchronized());
    cr_assert_neq(fixture.disk->id(), id);
}

Test(turndisk, removesSegmentsWithoutAnyRecord)
{
    DiskFixture fixture;
    fixture.append(numberedTurn(0));
    fixture.disk.reset();
    std::ofstream(fixture.folder.path() + "/turns/77.turns") << "no record";
    fixture.open();
    cr_assert_eq(fixture.segments().size(), 1);
    cr_assert_eq(fixture.append(numberedTurn(1)), WriteResult::Durable);
}
