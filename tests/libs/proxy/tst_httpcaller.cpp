#include "passthroughfixture.h"
#include "scriptedcall.h"

#include <libs/heapuse.h>
#include <libs/loopback.h>
#include <proxy/documentexchange.h>

namespace {

const std::string framedHead = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n";
const std::string chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

} // namespace

/// Guards against a response of the store or of another daemon that is cut off and looks whole.
Test(httpcaller, aResponseThatIsCutOffIsNoResponse)
{
    for (const std::string &response :
         {framedHead + "howdy", chunkedHead + chunk("howdy") + "0\r\n\r\n"}) {
        for (std::size_t cut = 0; cut < response.size(); ++cut) {
            for (const bool isReset : {false, true}) {
                const CallResult result
                    = callServer({{response.substr(0, cut)}, !isReset, false, isReset});
                cr_assert_eq(result.status, 0, "after %zu bytes", cut);
                cr_assert(result.body.empty() && !result.problem.empty());
            }
        }
        cr_assert_eq(callServer({{response}, true}).body, "howdy");
    }
}

/// Guards against a limit that refuses a response of the largest size, or lets a larger one pass.
Test(httpcaller, aResponseBeyondTheLimitIsNoResponse)
{
    for (const std::size_t size : {maxCallResponse, maxCallResponse + 1}) {
        const std::string body(size, 'x');
        std::string framed = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(size);
        framed += "\r\n\r\n";
        framed += body;
        for (const std::string &response :
             {framed, chunkedHead + chunk(body) + "0\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\n" + body}) {
            const CallResult result = callServer({{response}, true});
            const bool isAllowed = size == maxCallResponse;
            cr_assert_eq(result.status, isAllowed ? 200 : 0, "%zu bytes", size);
            cr_assert_eq(result.body.size(), isAllowed ? size : 0);
            cr_assert_eq(result.problem, isAllowed ? "" : "response exceeds 1000 bytes");
            cr_assert(!result.isNotSent);
        }
    }
    // The stated length is enough.
    const CallResult result = callServer({{"HTTP/1.1 200 OK\r\nContent-Length: 1001\r\n\r\n"}});
    cr_assert_eq(result.problem, "response exceeds 1000 bytes");
}

/// Guards against a daemon that runs out of memory as it fetches a document from an address at
/// which something else sends without end.
Test(httpcaller, aDocumentWithoutEndIsNotKept)
{
    constexpr std::size_t limit = 16 * 1000 * 1000;
    const std::string tail(1000, 'x');
    Telemetry::Log log(
        {.file = {}, .level = Telemetry::LogLevel::Error, .daemon = {}, .keyPrefixes = {}});
    for (const std::string &head :
         {std::string("HTTP/1.1 200 OK\r\n\r\n7\n"),
          std::string("HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n7\n"),
          chunkedHead}) {
        asio::io_context context;
        ScriptedServer server(context);
        const bool isChunked = head == chunkedHead;
        server.add({.responses = {head}, .endlessTail = isChunked ? chunk(tail) : tail});
        DocumentExchange documents(
            context, freeEndpoint<asio::ip::tcp>(), log, [] { return steadyNow(); });
        const std::size_t before = heapBytes();
        std::size_t highest = before;
        bool isDone = false;
        const auto &address = server.endpoint();
        documents.fetch({address.address(), address.port()}, "servers", [&](const auto &document) {
            isDone = true;
            cr_assert(!document);
        });
        while (!isDone) {
            context.run_one();
            highest = std::max(highest, heapBytes());
        }
        cr_assert_lt(highest - before, limit, "%s: %zu bytes", head.c_str(), highest - before);
        while (server.closedByPeer() == 0) {
            context.run_one();
        }
    }
}

/// Guards against a daemon that runs out of memory as many holders of turns send large responses at
/// once, and against such holders that leave no memory for the responses of the store.
Test(httpcaller, theSumOfResponsesIsLimited)
{
    constexpr int holderCount = 8;
    constexpr std::size_t sent = 300'000;
    const Base::Bytes capacity(2'000'000);
    const Base::Bytes reserve(capacity.value() / 8);
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: ";
    Base::MemoryBudget budget(capacity);
    {
        asio::io_context context;
        const CallLimits limits{std::chrono::seconds(1), Base::Bytes(16'000'000)};
        std::vector<std::unique_ptr<ScriptedServer>> servers;
        std::vector<std::unique_ptr<HttpCaller>> callers;
        std::vector<std::string> problems;
        const auto call
            = [&](const std::string &response, Base::Bytes left, HttpCaller::Done done) {
                  servers.push_back(std::make_unique<ScriptedServer>(context));
                  servers.back()->add({{response}});
                  callers.push_back(std::make_unique<HttpCaller>(
                      context, servers.back()->endpoint(), "x.example"));
                  callers.back()->setMemory(budget, left);
                  callers.back()->call("GET", "/", {}, limits, std::move(done));
              };
        for (int i = 0; i < holderCount; ++i) {
            call(head + "10000000\r\n\r\n" + std::string(sent, 'x'), reserve, [&](auto result) {
                problems.push_back(result.problem);
            });
        }
        context.run_for(std::chrono::milliseconds(300));
        cr_assert_leq(budget.peak(), capacity, "%ld bytes", long(budget.peak().value()));
        cr_assert(!problems.empty() && problems.size() < holderCount);
        cr_assert_eq(problems.front(), "no memory for the response");
        std::optional<CallResult> page;
        call(head + "100000\r\n\r\n" + std::string(100'000, 'x'), {}, [&](auto result) {
            page = std::move(result);
        });
        context.run_for(std::chrono::milliseconds(200));
        cr_assert(page && page->status == 200 && problems.size() < holderCount);
        context.run_for(std::chrono::milliseconds(800));
        cr_assert_eq(problems.size(), holderCount);
    }
    cr_assert_eq(budget.used(), Base::Bytes(0));
}
