#include "passthroughfixture.h"

namespace {

const std::string beginning = streamHead + chunk(event(1));
const std::string continuation = streamHead + chunk(event(2)) + "0\r\n\r\n";

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
