#include "waiting.h"

#include <backends/plainserviceclient.h>

#include <fakes/toolfake.h>

#include <criterion/criterion.h>

using namespace Backends;

namespace {

class Bench
{
public:
    Bench() { tool.start(); }

    Base::Result<PlainReply> call(const std::string &method, bool isIdempotent = false)
    {
        PlainCall call;
        call.server = Base::ServerId("tool-1");
        call.baseUrl = tool.url();
        call.method = method;
        call.target = "/orders?week=2";
        call.headers = {{"X-Request-Id", "r1"}};
        call.body = method == "GET" ? "" : "soup";
        call.isIdempotent = isIdempotent;
        call.totalTimeout = Timeout(300);
        call.maxReplySize = maxReplySize;
        Arrivals<Base::Result<PlainReply>> replies;
        client.call(call, [&](Base::Result<PlainReply> reply) { replies.add(std::move(reply)); });
        return replies.first(1).at(0);
    }

    Base::Bytes maxReplySize{1000};
    Fakes::ToolFake tool;
    HttpClient http;
    PlainServiceClient client{http};
};

} // namespace

Test(plainserviceclient, forwardsTheCall)
{
    Bench bench;
    const auto reply = bench.call("POST");
    cr_assert_eq(reply.value().status, 200);
    cr_assert_eq(reply.value().body, R"({"executed":"/orders","execution":1})");
    const auto ledger = bench.tool.ledger();
    cr_assert_eq(ledger.at(0).body, "soup");
    cr_assert_eq(ledger.at(0).requestId, "r1");
    cr_assert_eq(bench.tool.received().at(0).target, "/orders?week=2");
}

// libcurl sends a request again if a reused connection closes without a response.
Test(plainserviceclient, lostResponseOnReusedConnectionIsNotRepeated)
{
    Bench bench;
    cr_assert(bench.call("GET").has_value());
    bench.tool.inject(Fakes::ToolFault::DieAfterDoing, 0, 1);
    const auto reply = bench.call("POST");
    cr_assert(reply.has_error());
    cr_assert_eq(reply.error().ran, Base::Ran::MayHaveRun);
    cr_assert_eq(bench.tool.ledger().size(), 1U);
}

Test(plainserviceclient, nonIdempotentCallAvoidsIdleConnections)
{
    Bench bench;
    const auto idle = std::chrono::milliseconds(2200);
    cr_assert(bench.call("GET", true).has_value());
    std::this_thread::sleep_for(idle);
    cr_assert(bench.call("GET", true).has_value());
    cr_assert(bench.call("POST").has_value());
    std::this_thread::sleep_for(idle);
    cr_assert(bench.call("POST").has_value());
    const auto received = bench.tool.received();
    cr_assert_eq(received.at(1).connection, received.at(0).connection);
    cr_assert_eq(received.at(2).connection, received.at(0).connection);
    cr_assert_neq(received.at(3).connection, received.at(0).connection);
}

Test(plainserviceclient, oversizedResponseIsAnError)
{
    Bench bench;
    bench.maxReplySize = Base::Bytes(10);
    const auto reply = bench.call("POST");
    cr_assert(reply.has_error());
    cr_assert_eq(reply.error().ran, Base::Ran::Ran);
}

Test(plainserviceclient, idempotentCallIsRepeatedAfterLostResponse)
{
    Bench bench;
    cr_assert(bench.call("GET").has_value());
    bench.tool.inject(Fakes::ToolFault::DieAfterDoing, 0, 1);
    cr_assert(bench.call("PUT", true).has_value());
    cr_assert_eq(bench.tool.ledger().size(), 2U);
}

Test(plainserviceclient, hangingServerCausesTimeout)
{
    Bench bench;
    bench.tool.inject(Fakes::ToolFault::Hang);
    const auto reply = bench.call("POST");
    cr_assert(reply.has_error());
    cr_assert_eq(reply.error().code, Base::ErrorCode::Timeout);
    cr_assert_eq(reply.error().ran, Base::Ran::MayHaveRun);
}

Test(plainserviceclient, refusedConnectionDidNotRun)
{
    Bench bench;
    bench.tool.stop();
    const auto reply = bench.call("POST");
    cr_assert(reply.has_error());
    cr_assert_eq(reply.error().ran, Base::Ran::NotRun);
}

Test(plainserviceclient, serviceStatusIsForwarded)
{
    Bench bench;
    bench.tool.inject(Fakes::ToolFault::FailBeforeDoing);
    cr_assert_eq(bench.call("POST").value().status, 500);
}
