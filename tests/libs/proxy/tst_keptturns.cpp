#include "passthroughfixture.h"

using TurnHistory::Chain;
using TurnHistory::LookupResult;
using TurnHistory::Turn;
using TurnHistory::TurnId;

namespace {

const std::string completeStream = streamHead + chunk(event(1) + event(2)) + "0\r\n\r\n";

Turn previousTurn(const std::string &team)
{
    Turn turn;
    turn.id = TurnId("r0");
    turn.team = Base::TeamId(team);
    turn.placementKey = "first program";
    turn.content = "input\nout\n";
    return turn;
}

/// The turns that are kept, and how the next operations on them end.
class History
{
public:
    explicit History(Fixture &fixture)
    {
        HistoryControls controls;
        controls.isAvailable = [this] { return isAvailable; };
        controls.find = [this](const TurnId &id, const std::string &, auto done) {
            asked.push_back(id.text());
            Chain chain;
            if (result == LookupResult::Found) {
                chain.append(TurnHistory::cachedTurn(previous));
            }
            done(result, chain);
        };
        controls.keep = [this](const Turn &turn, Base::Duration left, auto done) {
            kept.push_back(turn);
            timeLeft = left;
            onKept = done;
            return [this] { ++cancelled; };
        };
        fixture.passThrough().setHistory(controls);
        fixture.configure();
        fixture.listServers(false);
    }

    bool isAvailable = true;
    LookupResult result = LookupResult::Found;
    Turn previous = previousTurn("club");
    std::vector<std::string> asked;
    std::vector<Turn> kept;
    Base::Duration timeLeft{};
    std::function<void(bool)> onKept;
    int cancelled = 0;
};

} // namespace

Test(keptturns, sendsThePreviousTurnsBeforeTheNewInput)
{
    Fixture fixture;
    History history(fixture);
    fixture.first.add({{completeStream}});
    fixture.request("/kept/", "r1", "Previous: r0\r\n");
    fixture.runUntil([&] { return !history.kept.empty(); }, "the turn is to be kept");
    cr_assert(fixture.first.requests().at(0).ends_with("\r\n\r\ninput\nout\nbody"));
    cr_assert(history.asked == std::vector<std::string>({"r0"}));
    const Turn &turn = history.kept.front();
    cr_assert_eq(turn.id, TurnId("r1"));
    cr_assert_eq(turn.previous, TurnId("r0"));
    cr_assert_eq(turn.team, Base::TeamId("club"));
    cr_assert_eq(turn.placementKey, "first program");
    cr_assert_eq(turn.content, "bodyd1\nd2\n");
}

Test(keptturns, endsTheResponseOnceTheTurnIsKept)
{
    Fixture fixture;
    History history(fixture);
    fixture.first.add({{completeStream}});
    fixture.request("/kept/", "r1");
    fixture.awaitResponse("data: d2");
    fixture.runUntil([&] { return !history.kept.empty(); }, "the turn is to be kept");
    cr_assert(history.asked.empty(), "a turn without a predecessor needs no history");
    cr_assert(fixture.received.find("0\r\n\r\n") == std::string::npos);
    history.onKept(true);
    fixture.awaitResponse("0\r\n\r\n");
}

Test(keptturns, breaksTheResponseOffIfTheTurnCannotBeKept)
{
    Fixture fixture;
    History history(fixture);
    fixture.first.add({{completeStream}});
    fixture.request("/kept/", "r1");
    fixture.runUntil([&] { return !history.kept.empty(); }, "the turn is to be kept");
    history.onKept(false);
    fixture.awaitClose();
    cr_assert(fixture.received.find("0\r\n\r\n") == std::string::npos);
}

/// Attempts to keep a turn whose caller left would load the holders for nothing.
Test(keptturns, endsTheAttemptsToKeepATurnWhoseCallerLeft)
{
    Fixture fixture;
    History history(fixture);
    fixture.first.add({{completeStream}});
    fixture.request("/kept/", "r1");
    fixture.runUntil([&] { return !history.kept.empty(); }, "the turn is to be kept");
    cr_assert(history.timeLeft > Base::Duration::zero());
    cr_assert_eq(history.cancelled, 0);
    fixture.disconnect();
    fixture.runUntil([&] { return history.cancelled == 1; }, "the attempts end");
    history.onKept(true); // comes too late
    cr_assert_eq(history.cancelled, 1);
}

Test(keptturns, keepsNoTurnThatBrokeOff)
{
    Fixture fixture;
    History history(fixture);
    fixture.first.add({{streamHead + chunk(event(1))}, true});
    fixture.request("/kept/", "r1");
    fixture.awaitClose();
    cr_assert(history.kept.empty());
}

Test(keptturns, refusesAccordingToWhatIsKnownOfThePreviousTurn)
{
    struct Case
    {
        LookupResult result;
        std::string team;
        std::string field;
        bool isAvailable;
        const char *response;
    };
    const std::vector<Case> cases{
        {LookupResult::Absent, "club", "Previous: r0\r\n", true, "HTTP/1.1 404"},
        {LookupResult::Found, "other", "Previous: r0\r\n", true, "HTTP/1.1 404"},
        {LookupResult::Unavailable, "club", "Previous: r0\r\n", true, "HTTP/1.1 503"},
        {LookupResult::Found, "club", "Previous: r0\r\n", false, "HTTP/1.1 503"},
        {LookupResult::Found, "club", "", false, "HTTP/1.1 503"},
        {LookupResult::Found, "club", "Previous: \r\n", true, "HTTP/1.1 400"}};
    for (const Case &each : cases) {
        Fixture fixture;
        History history(fixture);
        history.result = each.result;
        history.previous = previousTurn(each.team);
        history.isAvailable = each.isAvailable;
        fixture.request("/kept/", "r1", each.field);
        fixture.awaitResponse(each.response);
        cr_assert_eq(requestCount(fixture), 0);
        cr_assert(history.kept.empty());
    }
}

Test(keptturns, refusesAChainBeyondTheLimitOfABody)
{
    Fixture fixture;
    History history(fixture);
    history.previous.content = std::string(997, 'x');
    fixture.request("/kept/", "r1", "Previous: r0\r\n");
    fixture.awaitResponse("HTTP/1.1 413");
    cr_assert_eq(requestCount(fixture), 0);
}

Test(keptturns, ignoresThePreviousTurnOnOtherRoutes)
{
    Fixture fixture;
    History history(fixture);
    fixture.first.add({{completeStream}});
    fixture.request("/stream/", "r1", "Previous: r0\r\n");
    fixture.awaitResponse("0\r\n\r\n");
    cr_assert(history.asked.empty() && history.kept.empty());
    cr_assert(fixture.first.requests().at(0).ends_with("\r\n\r\nbody"));
}

Test(keptturns, sendsNothingMoreToAServerThatAnnouncedItsLeave)
{
    Fixture fixture;
    fixture.configure();
    fixture.listServers(true);
    const std::string leaving = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nProof: p\r\nLeaving: 1\r\n"
                                "Content-Length: 5\r\n\r\nhello";
    fixture.first.add({{leaving, leaving, leaving}});
    fixture.second.add({{leaving, leaving, leaving}});
    for (int i = 1; i <= 2; ++i) {
        const std::string id = "r" + std::to_string(i);
        fixture.request("/once/", id);
        fixture.awaitResponse("Request-Id: " + id);
        fixture.runUntil([&] { return fixture.passThrough().activeRequests() == 0; },
                         "the request ends");
    }
    cr_assert_eq(fixture.first.requests().size(), 1);
    cr_assert_eq(fixture.second.requests().size(), 1);
    fixture.request("/once/", "r3");
    fixture.awaitResponse("HTTP/1.1 503");
}

/// Guards against a daemon that runs out of memory as many requests continue long histories.
Test(keptturns, aHistoryWithoutMemoryIsRefused)
{
    DaemonMemory memory(Base::Bytes(0));
    Fixture fixture;
    fixture.passThrough().setMemory(memory);
    History history(fixture);
    Base::MemoryLease others(memory.requests().newHolder());
    // Enough for the body of the request, and too little for what it continues.
    others.forceResize(static_cast<std::size_t>(memory.requests().capacity().value()) - 20);
    fixture.request("/kept/", "r1", "Previous: r0\r\n");
    fixture.awaitResponse("\r\n\r\n");
    cr_assert(fixture.received.starts_with("HTTP/1.1 503 "), "%s", fixture.received.c_str());
    cr_assert(fixture.received.find("Retry-After: ") != std::string::npos);
    cr_assert(fixture.first.requests().empty());
    others.release();
    cr_assert_eq(memory.requests().used(), Base::Bytes(0));
    fixture.first.add({{okResponse}});
    fixture.request("/kept/", "r2", "Previous: r0\r\n");
    fixture.runUntil([&] { return !fixture.first.requests().empty(); }, "the server is asked");
    cr_assert_geq(memory.requests().used(), Base::Bytes(14));
}
