#include <platform/objectstore.h>

#include <libs/heapuse.h>
#include <libs/proxy/scriptedserver.h>

#include <criterion/criterion.h>

#include <optional>

using namespace Adapter;

namespace {

constexpr auto callTime = std::chrono::seconds(2);

/// The store's client and a server in its place.
class Fixture
{
public:
    Fixture()
        : server(context)
        , store(context, server.endpoint(), log(), metrics)
    {}

    /// Lists the servers; sets the highest use of the heap meanwhile.
    StoreResponse list()
    {
        const std::size_t before = heapBytes();
        std::optional<StoreResponse> response;
        store.list(
            StoreKind::Servers, true, callTime, [&](auto each) { response = std::move(each); });
        while (!response) {
            context.run_one();
            highest = std::max(highest, heapBytes() - before);
        }
        return *response;
    }

    static Telemetry::Log &log()
    {
        static Telemetry::Log silent(
            {.file = {}, .level = Telemetry::LogLevel::Error, .daemon = {}, .keyPrefixes = {}});
        return silent;
    }

    asio::io_context context;
    Telemetry::Metrics metrics;
    ScriptedServer server;
    ObjectStore store;
    std::size_t highest = 0;
};

} // namespace

/// Guards against a daemon that runs out of memory as something else than the store sends without
/// end at its address.
Test(endlessstore, aResponseWithoutEndIsNoResponse)
{
    Fixture fixture;
    fixture.server.add(
        {.responses = {"HTTP/1.1 200 OK\r\n\r\n"}, .endlessTail = std::string(64 * 1024, ' ')});
    const StoreResponse response = fixture.list();
    cr_assert_eq(response.status, StoreStatus::Unknown);
    cr_assert_lt(fixture.highest, 16 * 1000 * 1000, "%zu bytes", fixture.highest);
    cr_assert(
        response.problem.find("exceeds") != std::string::npos, "%s", response.problem.c_str());
}

/// Guards against a limit that makes large configurations unreadable: a page may exceed a megabyte
/// by one object of the largest size.
Test(endlessstore, aPageOfTheLargestSizeIsRead)
{
    constexpr std::size_t megabyte = 1024 * 1024;
    for (const std::size_t objectBytes : {megabyte, 8 * megabyte}) {
        Fixture fixture;
        fixture.store.setMaxObject(Base::Bytes(static_cast<std::int64_t>(objectBytes)));
        const std::string page
            = R"({"items": [{"meta": {"name": "a", "revision": 3}}], "current_rev": 4})";
        // Blanks up to the stated length.
        fixture.server.add(
            {.responses = {"HTTP/1.1 200 OK\r\nContent-Length: "
                           + std::to_string(megabyte + objectBytes) + "\r\n\r\n" + page},
             .endlessTail = std::string(64 * 1024, ' ')});
        const StoreResponse response = fixture.list();
        cr_assert_eq(response.status, StoreStatus::Done, "%s", response.problem.c_str());
        cr_assert_eq(response.objects.size(), 1);
    }
}
