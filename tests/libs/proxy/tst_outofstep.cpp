#include "passthroughfixture.h"

namespace {

const std::string continuation = streamHead + chunk(event(2)) + "0\r\n\r\n";

constexpr Base::Duration standstill = std::chrono::seconds(3);

/// A daemon whose list names the version v1 only, of a fleet that has just started.
class OutOfStepFixture : public Fixture
{
public:
    /// The list that a read of the store returns; nothing if the read fails.
    enum class Store {
        AsKnown,
        VersionJoined,
        FirstRestarted,
        Unavailable
    };

    explicit OutOfStepFixture(Store store)
        : OutOfStepFixture(store, std::make_shared<Base::Duration>())
    {}

    /// The clock that goes on while the VM is suspended, but not the steady one.
    void suspend() { *suspended_ += standstill; }
    /// A report that waited in the socket's buffer.
    void receiveReport() { passThrough().serversConfirmed(steadyNow()); }

    void requestStream(const std::string &version, const std::string &more)
    {
        send("POST /resumable/ HTTP/" + version
             + "\r\nHost: x.example\r\nAuthorization: Bearer secret\r\nRequest-Id: r2\r\n" + more
             + "Content-Length: 4\r\n\r\nbody");
    }

    void awaitEnd()
    {
        runUntil([&] { return !received.empty() || isClosed; }, "the response begins");
        runUntil([&] { return passThrough().activeRequests() == 0; }, "the request ends");
        context().poll();
    }

    /// What the other daemons and the record stores know of the stream.
    Dispatch::StreamFinding finding;
    int reads = 0;

private:
    OutOfStepFixture(Store store, const std::shared_ptr<Base::Duration> &suspended)
        : Fixture(settings(suspended))
        , store_(store)
        , suspended_(suspended)
    {
        StreamControls controls;
        controls.began = [](const auto &, const auto &) {};
        controls.find = [this](const auto &, const auto &callback) { callback(finding); };
        controls.readServers = [this](const auto &callback) {
            ++reads;
            const auto servers = listInStore();
            callback(store_ == Store::Unavailable ? nullptr : &servers);
        };
        passThrough().setStreams(std::move(controls));
        passThrough().setFleetStart();
        configure();
        passThrough().serversChanged(knownServers());
        receiveReport();
    }

    static PassThroughSettings settings(const std::shared_ptr<Base::Duration> &suspended)
    {
        PassThroughSettings result;
        result.continuousNow = [suspended] { return continuousNow() + *suspended; };
        return result;
    }

    /// The first server is nearer, so that it gets each request first.
    std::vector<Dispatch::ListedServer> knownServers() const
    {
        std::vector<Dispatch::ListedServer> servers{listed("one", first), listed("two", second)};
        for (Dispatch::ListedServer &server : servers) {
            server.version = Base::SoftwareVersion("v1");
        }
        servers.back().server.zone = Base::ZoneId("elsewhere");
        return servers;
    }

    std::vector<Dispatch::ListedServer> listInStore() const
    {
        std::vector<Dispatch::ListedServer> servers = knownServers();
        if (store_ == Store::VersionJoined) {
            servers.push_back(servers.back());
            servers.back().server.id = Base::ServerId("three");
            servers.back().version = Base::SoftwareVersion("v2");
        } else if (store_ == Store::FirstRestarted) {
            servers.front().version = Base::SoftwareVersion("v2");
            servers.front().startedAt = 1;
        }
        return servers;
    }

    Store store_;
    std::shared_ptr<Base::Duration> suspended_;
};

using Store = OutOfStepFixture::Store;

const std::vector<std::string> callerVersions{"1.1", "1.0"};

} // namespace

/// Guards against a stream of another version that is continued at the version that this daemon
/// knew before it was cut off or stood still (ORDER).
Test(outofstep, aStreamOfUnknownVersionIsResumedByAListReadAfterTheRequest)
{
    struct Case
    {
        const char *name;
        Store store;
        bool isSuspended;
        bool isReportBuffered;
        bool isResumed;
        int reads;
    };
    const std::vector<Case> cases{
        {"normal", Store::AsKnown, false, false, true, 1},
        {"a version joined", Store::VersionJoined, false, false, false, 1},
        {"store unavailable", Store::Unavailable, false, false, false, 1},
        {"suspended", Store::AsKnown, true, false, false, 0},
        {"suspended, with a report that waited", Store::AsKnown, true, true, false, 0}};
    for (const Case &each : cases) {
        for (const std::string &version : callerVersions) {
            for (const char *attempt : {"", "Resumes: r1\r\n"}) {
                OutOfStepFixture fixture(each.store);
                for (ScriptedServer *server : {&fixture.first, &fixture.second}) {
                    server->add({{continuation}, true});
                }
                if (each.isSuspended) {
                    fixture.suspend();
                }
                if (each.isReportBuffered) {
                    fixture.receiveReport();
                }
                fixture.requestStream(version, std::string("Last-Event-Id: 1\r\n") + attempt);
                fixture.awaitEnd();
                const bool isResumed = fixture.received.find(" 200 OK") != std::string::npos;
                cr_expect_eq(isResumed, each.isResumed, "%s", each.name);
                cr_expect_eq(requestCount(fixture), each.isResumed ? 1 : 0, "%s", each.name);
                cr_expect_eq(fixture.reads, each.reads, "%s", each.name);
            }
        }
    }
}

/// Guards against the same where the record names the version under which a server was listed
/// before it was restarted with another one: in a request that resumes, and within one response.
Test(outofstep, aRecordedStreamIsContinuedByAListReadAfterAStandstill)
{
    struct Case
    {
        const char *name;
        Store store;
        bool isSuspended;
        bool isContinued;
        int reads;
    };
    const std::vector<Case> cases{
        {"normal", Store::AsKnown, false, true, 1},
        {"server restarted", Store::FirstRestarted, false, false, 1},
        {"store unavailable", Store::Unavailable, false, true, 1},
        {"suspended", Store::AsKnown, true, true, 1},
        {"suspended, server restarted", Store::FirstRestarted, true, false, 1},
        {"suspended, store unavailable", Store::Unavailable, true, true, 1}};
    for (const Case &each : cases) {
        for (const std::string &version : callerVersions) {
            for (const bool isWithinResponse : {false, true}) {
                OutOfStepFixture fixture(each.store);
                if (each.isSuspended) {
                    fixture.suspend();
                }
                if (isWithinResponse) {
                    fixture.first.add({{streamHead + chunk(event(1))}, true});
                }
                for (ScriptedServer *server : {&fixture.first, &fixture.second}) {
                    server->add({{continuation}, true});
                }
                fixture.finding = Dispatch::StreamRecord{
                    Base::SoftwareVersion("v1"), {Base::ServerId("one"), 0}, {}};
                fixture.requestStream(version, isWithinResponse ? "" : "Last-Event-Id: 1\r\n");
                fixture.awaitEnd();
                const bool isContinued = fixture.received.find("data: d2") != std::string::npos;
                cr_expect_eq(isContinued, each.isContinued, "%s", each.name);
                cr_expect_eq(fixture.reads, each.reads, "%s", each.name);
            }
        }
    }
}
