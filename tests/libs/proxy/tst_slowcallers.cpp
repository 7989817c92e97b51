#include "passthroughfixture.h"

namespace {

/// Reading from the server pauses whenever bytes to the caller are unsent.
PassThroughSettings pausingSettings()
{
    PassThroughSettings settings;
    settings.bufferedResponseBytes = 4;
    settings.callerBacklogBytes = 1;
    return settings;
}

} // namespace

/// Guards against a request that runs on a connection whose reading is still paused for the caller
/// of the response before, so that its response is never read.
Test(slowcallers, aConnectionWhoseResponseEndsDuringAPauseIsReadAgain)
{
    const std::string plain = okResponse;
    const std::string stream = streamHead + chunk(event(1)) + "0\r\n\r\n";
    for (const std::string &response : {plain, stream}) {
        Fixture fixture(pausingSettings());
        fixture.configure();
        fixture.listServers(false);
        fixture.first.add({{response, response, response}});
        for (const char *id : {"r1", "r2", "r3"}) {
            fixture.request("/stream/", id);
            fixture.awaitResponse("Request-Id: " + std::string(id) + "\r\n");
            fixture.runUntil([&] { return fixture.passThrough().activeRequests() == 0; },
                             "the request ends");
        }
        cr_assert_eq(fixture.first.connectionCount(), 1, "the connection is kept");
    }
}

/// Guards against a kept connection that does not notice its end, as its reading is paused.
Test(slowcallers, anIdleConnectionIsWatchedAfterAPause)
{
    Fixture fixture(pausingSettings());
    fixture.configure();
    fixture.listServers(false);
    fixture.first.add({{okResponse}});
    fixture.first.add({{okResponse}});
    fixture.request("/once/", "r1");
    fixture.awaitResponse("hello");
    fixture.first.closeConnections();
    fixture.context().poll();
    fixture.request("/once/", "r2");
    fixture.awaitResponse("Request-Id: r2\r\n");
}

/// Guards against a pause that does not end once the caller has read.
Test(slowcallers, aResponseGoesOnAfterEachPause)
{
    Fixture fixture(pausingSettings());
    fixture.configure();
    fixture.listServers(false);
    fixture.first.add(
        {{streamHead + chunk(event(1)), chunk(event(2)), chunk(event(3)) + "0\r\n\r\n"}});
    fixture.request("/stream/", "r1");
    fixture.awaitResponse(event(1));
    fixture.first.sendNext("r1");
    fixture.awaitResponse(event(2));
    fixture.first.sendNext("r1");
    fixture.awaitResponse(event(3));
    fixture.awaitResponse("0\r\n\r\n");
}
