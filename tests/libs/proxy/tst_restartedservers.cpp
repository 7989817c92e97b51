#include "passthroughfixture.h"

#include <algorithm>
#include <functional>

namespace {

const std::string beginning = streamHead + chunk(event(1));
const std::string continuation = streamHead + chunk(event(2)) + "0\r\n\r\n";

constexpr const char *identityTarget = "/self";

HeaderTranslator identifyingTranslator()
{
    return {&readRequest,
            &readResponse,
            &prepareForward,
            identityTarget,
            [](std::string_view body) -> std::optional<std::uint64_t> {
                return std::stoull(std::string(body));
            }};
}

bool isQuestion(const std::string &request)
{
    return request.starts_with(std::string("GET ") + identityTarget);
}

std::string statement(int startedAt, const std::string &more = "")
{
    return "HTTP/1.1 200 OK\r\n" + more + "Content-Length: 1\r\n\r\n" + std::to_string(startedAt);
}

/// The list names version v1 for both servers. The first one, which is nearer, is restarted with
/// another version under its id, which the list does not show.
class RestartFixture : public Fixture
{
public:
    RestartFixture()
    {
        StreamControls controls;
        controls.began = [this](const auto &, const auto &record) { finding = record; };
        controls.find = [this](const auto &, const auto &callback) { callback(finding); };
        controls.readServers = [this](const auto &callback) { callback(&list_); };
        passThrough().setStreams(std::move(controls));
        passThrough().setFleetStart();
        configure();
        list({"one"});
    }

    /// Lists servers as processes of version v1, and confirms the list.
    void list(const std::vector<std::string> &ids)
    {
        list_.clear();
        for (const std::string &id : ids) {
            list_.push_back(listed(id, id == "one" ? first : second));
            list_.back().version = Base::SoftwareVersion("v1");
            list_.back().startedAt = 5;
            list_.back().server.zone = Base::ZoneId(id == "one" ? "" : "elsewhere");
        }
        passThrough().serversChanged(list_);
        passThrough().serversConfirmed(steadyNow());
    }

    /// A request is refused by the first server while that one is down.
    void restartFirst()
    {
        first.crash();
        request("/safe/", "r1");
        awaitResponse("HTTP/1.1 503");
        first.restart();
        received.clear();
    }

    void awaitEnd()
    {
        runUntil([&] { return passThrough().activeRequests() == 0; }, "the request ends");
        context().poll();
    }

    /// What is on record of the stream.
    Dispatch::StreamFinding finding;

private:
    std::vector<Dispatch::ListedServer> list_;
};

} // namespace

/// Guards against a stream of a restarted server that goes on at a server of the version that the
/// list names for the process before (ORDER): within one response, and in a request that resumes.
Test(restartedservers, aStreamOfAnUnlistedProcessIsNotContinuedAtTheListedVersion)
{
    for (const bool isWithinResponse : {true, false}) {
        RestartFixture fixture;
        fixture.restartFirst();
        fixture.first.add({{beginning + (isWithinResponse ? "" : "0\r\n\r\n")}});
        fixture.second.add({{continuation}, true});
        fixture.request("/resumable/", "r2");
        fixture.awaitResponse("data: d1");
        fixture.list({"one", "two"});
        if (isWithinResponse) {
            fixture.first.closeConnections();
            fixture.awaitEnd();
        } else {
            fixture.awaitEnd();
            fixture.received.clear();
            fixture.request("/resumable/", "r3", "Last-Event-Id: 1\r\n");
            fixture.awaitResponse("HTTP/1.1 503");
        }
        cr_expect_eq(fixture.received.find("data: d2"), std::string::npos);
        cr_expect_eq(fixture.second.requests().size(), 0);
    }
}

/// Guards against a stream that goes on at a restarted server, whose version is not the listed one.
Test(restartedservers, aStreamIsNotContinuedAtAnUnlistedProcess)
{
    RestartFixture fixture;
    fixture.restartFirst();
    fixture.finding
        = Dispatch::StreamRecord{Base::SoftwareVersion("v1"), {Base::ServerId("two"), 5}, {}};
    fixture.first.add({{continuation}, true});
    fixture.request("/resumable/", "r2", "Last-Event-Id: 1\r\n");
    fixture.awaitResponse("HTTP/1.1 503");
    cr_expect_eq(fixture.first.requests().size(), 0);
}

namespace {

/// Both servers are listed as processes of version v1 that started at 5, and say which process they
/// are.
class IdentityFixture : public Fixture
{
public:
    explicit IdentityFixture(bool isFleetStart)
        : Fixture({}, {}, identifyingTranslator())
    {
        StreamControls controls;
        controls.began = [this](const auto &, const auto &record) { finding = record; };
        controls.find = [this](const auto &, const auto &callback) { callback(finding); };
        controls.readServers = [this](const auto &callback) { callback(&inStore); };
        passThrough().setStreams(std::move(controls));
        if (isFleetStart) {
            passThrough().setFleetStart();
        }
        configure();
        for (const std::string id : {"one", "two"}) {
            inStore.push_back(listed(id, id == "one" ? first : second));
            inStore.back().version = Base::SoftwareVersion("v1");
            inStore.back().startedAt = 5;
            inStore.back().server.zone = Base::ZoneId(id == "one" ? "" : "elsewhere");
        }
        passThrough().serversChanged(inStore);
        passThrough().serversConfirmed(steadyNow());
        first.setResponder([this](const std::string &request) { return respond(first, request); });
        second.setResponder(
            [this](const std::string &request) { return respond(second, request); });
    }

    std::string respond(const ScriptedServer &server, const std::string &request)
    {
        if (isQuestion(request)) {
            onQuestion();
            return statement(&server == &first ? startOfFirst : 5,
                             &server == &second ? moreOfSecond : "");
        }
        std::string response = request.find("Last-Event-Id") != std::string::npos ? continuation
                               : request.find("/resumable/") != std::string::npos ? beginning
                                                                                  : okResponse;
        const std::size_t id = request.find("Request-Id: ") + 12;
        response.replace(response.find("{id}"), 4, request.substr(id, 2));
        return response;
    }

    void awaitEnd()
    {
        runUntil([&] { return !received.empty() || isClosed; }, "the response begins");
        runUntil([&] { return passThrough().activeRequests() == 0; }, "the request ends");
        context().poll();
    }

    /// Requests other than questions.
    static std::size_t runs(const ScriptedServer &server)
    {
        return static_cast<std::size_t>(std::count_if(
            server.requests().begin(), server.requests().end(), std::not_fn(&isQuestion)));
    }

    std::vector<Dispatch::ListedServer> inStore;
    Dispatch::StreamFinding finding;
    int startOfFirst = 5;
    std::string moreOfSecond;
    std::function<void()> onQuestion = [] {};
};

Dispatch::StreamRecord recordOf(const char *server, Dispatch::ProcessCertainty certainty)
{
    return {Base::SoftwareVersion("v1"), {Base::ServerId(server), 5}, {}, {}, certainty};
}

} // namespace

/// Guards against streams that are given up although their servers say that they are the listed
/// processes, and against those that go on although they say that they are not.
Test(restartedservers, aServerIsAskedWhichProcessItIs)
{
    using Dispatch::ProcessCertainty;
    for (const bool hasBegunStream : {false, true}) {
        for (const int startOfFirst : {5, 6}) {
            IdentityFixture fixture(false);
            fixture.startOfFirst = startOfFirst;
            fixture.finding = hasBegunStream ? recordOf("one", ProcessCertainty::Doubtful)
                                             : recordOf("two", ProcessCertainty::Certain);
            fixture.request("/resumable/", "r2", "Last-Event-Id: 1\r\n");
            fixture.awaitEnd();
            const bool isContinued = !hasBegunStream || startOfFirst == 5;
            cr_expect_eq(fixture.received.find("data: d2") != std::string::npos, isContinued);
            cr_expect_eq(IdentityFixture::runs(fixture.first), startOfFirst == 5 ? 1 : 0);
        }
    }
}

/// Guards against a question whose answer is dropped because the server ends the connection with
/// it, as servers that leave always do.
Test(restartedservers, aStatementCountsIfItEndsItsConnection)
{
    IdentityFixture fixture(false);
    fixture.finding = recordOf("two", Dispatch::ProcessCertainty::Probable);
    fixture.moreOfSecond = "Connection: close\r\n";
    fixture.request("/resumable/", "r2", "Last-Event-Id: 1\r\n");
    fixture.awaitEnd();
    cr_expect(fixture.received.find("data: d2") != std::string::npos,
              "received: %s",
              fixture.received.c_str());
}

/// Guards against a request that reaches a zone which was closed while the server was asked.
Test(restartedservers, noRequestIsSentToAZoneThatWasClosedWhileItsServerWasAsked)
{
    IdentityFixture fixture(false);
    fixture.finding = recordOf("two", Dispatch::ProcessCertainty::Certain);
    fixture.onQuestion = [&] { fixture.passThrough().applyClosures({{Base::ZoneId(), 1}}, 2); };
    fixture.request("/resumable/", "r2", "Last-Event-Id: 1\r\n");
    fixture.awaitEnd();
    cr_expect_eq(IdentityFixture::runs(fixture.first), 0);
}

/// Guards against events of two versions where a server restarts without a sign as the first one of
/// its version, which a read of the list would show.
Test(restartedservers, aStreamOfAServerThatRestartedWithoutASignIsNotContinued)
{
    IdentityFixture fixture(true);
    fixture.startOfFirst = 6;
    fixture.inStore[0].version = Base::SoftwareVersion("v2");
    fixture.inStore[0].startedAt = 6;
    fixture.request("/resumable/", "r1");
    fixture.awaitResponse("data: d1");
    fixture.first.closeConnections();
    fixture.awaitEnd();
    cr_expect_eq(fixture.received.find("data: d2"), std::string::npos);
}

/// Guards against streams that are lost with their server although one version is in service, at a
/// daemon that has just started.
Test(restartedservers, aStreamOutlivesItsServerWhereOneVersionIsInService)
{
    IdentityFixture fixture(false);
    fixture.request("/resumable/", "r2");
    fixture.awaitResponse("data: d1");
    fixture.first.crash();
    fixture.awaitEnd();
    cr_expect(fixture.received.find("data: d2") != std::string::npos,
              "received: %s",
              fixture.received.c_str());
}

/// Guards against events of two versions where the end of the process showed only as the end of an
/// idle connection.
Test(restartedservers, aStreamIsNotContinuedAfterAnIdleConnectionHasEnded)
{
    IdentityFixture fixture(true);
    fixture.request("/safe/", "r1");
    fixture.awaitResponse("hello");
    fixture.first.closeConnections();
    for (int i = 0; i < 10; ++i) {
        fixture.context().run_one_for(std::chrono::milliseconds(5));
    }
    fixture.received.clear();
    fixture.startOfFirst = 6;
    fixture.request("/resumable/", "r2");
    fixture.awaitResponse("data: d1");
    fixture.first.crash();
    fixture.awaitEnd();
    cr_expect_eq(fixture.received.find("data: d2"), std::string::npos);
}

/// Guards against a turn that was sent again from its start, and whose second stream is not on
/// record: that of the first one is older than the caller's request (ORDER).
Test(restartedservers, aStreamOfAnEarlierRequestIsNotTheOneToResume)
{
    struct Case
    {
        const char *timeLeft;
        const char *attempt;
        bool isContinued;
    };
    const std::vector<Case> cases{
        {"9500", "", false}, {"7000", "", true}, {"9500", "Resumes: r1\r\n", true}};
    for (const Case &each : cases) {
        IdentityFixture fixture(false);
        Contracts::RoutingDocument document = routing();
        document.version = Base::ConfigVersion(2);
        for (Contracts::Route &route : document.routes) {
            route.timeout = std::chrono::seconds(10);
        }
        fixture.passThrough().configure(document);
        Dispatch::StreamRecord record = recordOf("two", Dispatch::ProcessCertainty::Certain);
        record.age = std::chrono::seconds(2);
        fixture.finding = record;
        fixture.request("/resumable/",
                        "r3",
                        std::string("Last-Event-Id: 1\r\nTimeout-Ms: ") + each.timeLeft + "\r\n"
                            + each.attempt);
        fixture.awaitResponse(each.isContinued ? "data: d2" : "HTTP/1.1 503");
    }
}

/// Guards against the stream of an equal request that hides a doubtful one: both have one key.
Test(restartedservers, aDoubtfulRecordIsNotHiddenByAnEqualRequest)
{
    using Dispatch::ProcessCertainty;
    Dispatch::StreamVersions streams{{}};
    const Dispatch::StreamKey key(7);
    const Base::Instant now = steadyNow();
    streams.add({"a", key}, recordOf("one", ProcessCertainty::Doubtful), now);
    streams.add({"b", key}, recordOf("two", ProcessCertainty::Certain), now);
    const auto found = streams.find({"", key}, now);
    const auto *record = std::get_if<Dispatch::StreamRecord>(&found);
    cr_expect(!record || record->certainty == ProcessCertainty::Doubtful);
}

/// Guards against a caller that breaks off twice, and names the attempt that resumed the stream.
Test(restartedservers, aStreamIsFoundByTheAttemptThatResumedIt)
{
    Fixture fixture;
    fixture.configure();
    fixture.listVersions("v1", "v2");
    for (ScriptedServer *server : {&fixture.first, &fixture.second}) {
        server->setDefaultScript({{continuation, continuation, continuation}});
    }
    for (const char *id : {"r1", "r2", "r3"}) {
        const std::string previous = "r" + std::to_string(id[1] - '0' - 1);
        fixture.received.clear();
        fixture.request("/resumable/",
                        id,
                        id[1] == '1' ? "" : "Last-Event-Id: 1\r\nResumes: " + previous + "\r\n");
        fixture.awaitResponse("data: d2");
    }
}
