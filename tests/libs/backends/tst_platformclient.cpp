#include "waiting.h"

#include <backends/base64.h>
#include <backends/platformclient.h>
#include <platform/conditionalwriter.h>

#include <fakes/storefake.h>

#include <criterion/criterion.h>

#include <algorithm>

using namespace Backends;
using namespace Platform;

namespace {

const ObjectKey leaseKey{ObjectKind::DaemonLease, "vm-1.7/odd name"};

class Bench
{
public:
    Bench()
    {
        store.start();
        PlatformOptions options;
        options.baseUrl = store.url();
        options.requestTimeout = Timeout(250);
        options.initialBackoff = Timeout(20);
        options.maxBackoff = Timeout(40);
        client = std::make_unique<PlatformClient>(http, options);
    }

    StoreOutcome execute(StoreOperation operation)
    {
        Arrivals<StoreReply> replies;
        client->execute({StoreRequestId(4), std::move(operation)},
                        [&](const StoreReply &reply) { replies.add(reply); });
        const auto arrived = replies.first(1);
        cr_assert_eq(arrived.at(0).id.value(), 4U);
        return arrived.at(0).outcome;
    }

    StoreOutcome put(std::uint64_t expected, const std::string &body, const std::string &writeId)
    {
        return execute(PutObject{leaseKey, ObjectVersion(expected), body, Base::WriteId(writeId)});
    }

    Fakes::StoreFake store;
    HttpClient http;
    std::unique_ptr<PlatformClient> client;
};

/// Short text form of a watch event.
std::string describe(const WatchEvent &event)
{
    if (const auto *seen = std::get_if<ObjectUpdated>(&event)) {
        return seen->object.key.name + "=" + seen->object.body;
    }
    if (const auto *removed = std::get_if<ObjectRemoved>(&event)) {
        return "-" + removed->key.name;
    }
    return std::holds_alternative<WatchSynced>(event) ? "synced" : "broken";
}

} // namespace

Test(platformclient, writesConditionally)
{
    Bench bench;
    const std::string binary("\0\x01\xff{}", 5);
    cr_assert(std::holds_alternative<ObjectAbsent>(bench.execute(GetObject{leaseKey})));
    const auto written = std::get<ObjectWritten>(bench.put(0, binary, "w1"));
    cr_assert(std::holds_alternative<VersionConflict>(bench.put(0, "x", "w2")));
    cr_assert(std::holds_alternative<VersionConflict>(bench.put(99, "x", "w2")));
    const auto found = std::get<ObjectFound>(bench.execute(GetObject{leaseKey})).object;
    const StoredObject expected{leaseKey, written.version, binary, Base::WriteId("w1")};
    cr_assert(found == expected);
    cr_assert(std::holds_alternative<ObjectWritten>(bench.put(written.version.value(), "x", "w3")));
    const ListObjects list{ObjectKind::DaemonLease, "vm-1"};
    cr_assert_eq(std::get<ObjectsListed>(bench.execute(list)).objects.size(), 1U);
    cr_assert(std::holds_alternative<ObjectDeleted>(bench.execute(DeleteObject{leaseKey})));
    cr_assert(std::holds_alternative<ObjectAbsent>(bench.execute(DeleteObject{leaseKey})));
}

Test(platformclient, outagesAreReportedAsUnavailable)
{
    Bench bench;
    for (const auto mode :
         {Fakes::StoreMode::Outage, Fakes::StoreMode::Hang, Fakes::StoreMode::LoseAnswers}) {
        bench.store.setBehaviour({mode});
        cr_assert(std::holds_alternative<StoreUnavailable>(bench.put(0, "x", "w")));
    }
    bench.store.stop();
    cr_assert(std::holds_alternative<StoreUnavailable>(bench.put(0, "x", "w")));
}

Test(platformclient, lostResponseIsResolvedByWriteId)
{
    Bench bench;
    bench.store.setBehaviour({Fakes::StoreMode::LoseAnswers});
    ConditionalWriter writer({leaseKey, ObjectVersion(), "body", Base::WriteId("mine")});
    auto progress = writer.handle(bench.execute(writer.start()));
    cr_assert(std::holds_alternative<WriteUnresolved>(progress));
    progress = writer.handle(bench.execute(writer.retry()));
    cr_assert(std::holds_alternative<WriteConfirmed>(progress));
    cr_assert_eq(bench.store.counters().writes, 1U);
}

Test(platformclient, watchFollowsChangesAcrossAnOutage)
{
    Bench bench;
    bench.put(0, "a", "w1");
    Arrivals<std::string> events;
    const WatchId id = bench.client->watch(
        leaseKey.kind, leaseKey.name, [&](const auto &event) { events.add(describe(event)); });
    const std::string name = leaseKey.name;
    cr_assert(events.first(2) == (std::vector<std::string>{name + "=a", "synced"}));
    cr_assert(eventually([&] { return bench.store.counters().waitingWatches == 1; }));
    bench.put(1, "b", "w2");
    cr_assert_eq(events.first(3).at(2), name + "=b");
    bench.store.setBehaviour({Fakes::StoreMode::Outage});
    cr_assert_eq(events.first(4).at(3), "broken");
    bench.store.setBehaviour({});
    bench.execute(DeleteObject{leaseKey});
    // The removal is detected by the new list or reported by the new watch.
    cr_assert(eventually([&] {
        const auto now = events.now();
        return std::find(now.begin(), now.end(), "-" + name) != now.end();
    }));
    bench.client->stopWatch(id);
    cr_assert(eventually([&] { return bench.store.counters().waitingWatches == 0; }));
}

Test(base64, roundTrip)
{
    for (std::size_t length = 0; length < 10; ++length) {
        const std::string bytes(length, '\xfe');
        cr_assert(decodeBase64(encodeBase64(bytes)) == bytes);
    }
    cr_assert(!decodeBase64("abc"));
    cr_assert(!decodeBase64("ab!d"));
}
