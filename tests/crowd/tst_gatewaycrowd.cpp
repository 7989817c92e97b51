#include "crowdclient.h"
#include "gatewaydaemon.h"

#include <criterion/criterion.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cstdio>
#include <iostream>

using namespace Crowd;

namespace {

/// What a daemon may take of its machine, with what the system holds for it.
constexpr std::int64_t memoryBound = 256'000'000;
/// Limits on descriptors that the tests set for the process, and so on its sockets.
constexpr std::int64_t descriptorBound = 1024;
constexpr std::int64_t lowDescriptorBound = 256;

/// The limit of a body by default, and what the crowds hold back of it.
constexpr std::size_t bodyLimit = 4'000'000;
constexpr std::size_t heldBack = 10;

constexpr int bodyClients = 64;
constexpr int headClients = 200;
constexpr int silentClients = 260;
constexpr int streamReaders = 80;
constexpr int answerReaders = 40;

constexpr const char *chatPath = "/v1/chat/completions";
/// In the form of a key, of no team.
constexpr const char *unknownKey = "mf_0123456789abcdef_0123456789abcdef0123456789abcdef";

std::string chatBody(const std::string &prompt, bool isStream = false)
{
    return nlohmann::json{{"model", "menu-1"},
                          {"stream", isStream},
                          {"messages", {{{"role", "user"}, {"content", prompt}}}}}
        .dump();
}

/// A valid request of the largest size.
std::string largestChatBody()
{
    return chatBody(std::string(bodyLimit - chatBody({}).size(), 'x'));
}

std::string withLength(const std::string &head, std::size_t length)
{
    return head + "Content-Length: " + std::to_string(length) + "\r\n\r\n";
}

std::string chunked(const std::string &body)
{
    constexpr std::size_t chunkBytes = 50'000;
    std::string result;
    for (std::size_t i = 0; i < body.size(); i += chunkBytes) {
        const std::string chunk = body.substr(i, chunkBytes);
        std::array<char, 24> size{};
        std::snprintf(size.data(), size.size(), "%zx\r\n", chunk.size());
        result += size.data() + chunk + "\r\n";
    }
    return result + "0\r\n\r\n";
}

Bytes shared(std::string bytes)
{
    return std::make_shared<const std::string>(std::move(bytes));
}

Bytes unfinished(std::string bytes)
{
    bytes.resize(bytes.size() - heldBack);
    return shared(std::move(bytes));
}

void checkOrdinaryRequest(const GatewayDaemon &daemon)
{
    const Response response
        = requestOnce(daemon.callers(), "POST", chatPath, daemon.key(), chatBody("say: lunch"));
    cr_expect_eq(response.status, 200, "an ordinary request: %s", response.body.c_str());
}

/// Sends what the crowd has, and checks the daemon while it holds its connections and afterwards.
void checkAgainst(GatewayDaemon &daemon, ClientCrowd &crowd, std::int64_t socketBound)
{
    std::int64_t unread = 0;
    std::int64_t sockets = 0;
    const auto observe = [&] {
        unread = std::max(unread, daemon.unreadBytes());
        sockets = std::max(sockets, daemon.openSockets());
    };
    crowd.settle(observe);
    cr_assert(daemon.isRunning(), "the process has ended");
    checkOrdinaryRequest(daemon);
    crowd.closeAll();
    checkOrdinaryRequest(daemon);
    cr_assert(daemon.isRunning(), "the process has ended");
    const std::int64_t peak = daemon.peakBytes();
    // Criterion counts a warning of its own as a failure of the program.
    std::cout << "peak " << peak / 1000 << " kB, unread " << unread / 1000 << " kB, sockets "
              << sockets << std::endl;
    cr_expect_lt(peak + unread, memoryBound);
    cr_expect_lt(sockets, socketBound);
}

void checkRefusal(const Response &response, int status, const std::string &code)
{
    cr_assert_eq(response.status, status, "%s %s", response.head.c_str(), response.body.c_str());
    const nlohmann::json error = nlohmann::json::parse(response.body).at("error");
    cr_expect(error.at("code") == code, "%s", response.body.c_str());
    cr_expect(error.at("ran") == "not_run", "%s", response.body.c_str());
    cr_expect(error.contains("message") && error.contains("step") && error.contains("peer"));
}

} // namespace

TestSuite(gatewaycrowd, .timeout = 300);

// Guards against bodies that are kept until their ends arrive, however many they are.
Test(gatewaycrowd, unfinishedBodiesWithAKey)
{
    GatewayDaemon daemon({.descriptors = descriptorBound});
    ClientCrowd crowd(daemon.callers());
    const std::string body = largestChatBody();
    crowd.add(bodyClients,
              withLength(requestHead("POST", chatPath, daemon.key()), body.size()),
              unfinished(body));
    checkAgainst(daemon, crowd, descriptorBound);
}

// Guards against bodies that are kept although nobody has their key.
Test(gatewaycrowd, unfinishedBodiesWithAnUnknownKey)
{
    GatewayDaemon daemon({.descriptors = descriptorBound});
    ClientCrowd crowd(daemon.callers());
    const std::string body = largestChatBody();
    crowd.add(bodyClients,
              withLength(requestHead("POST", chatPath, unknownKey), body.size()),
              unfinished(body));
    checkAgainst(daemon, crowd, descriptorBound);
}

// Guards against an account of bodies that counts stated lengths only.
Test(gatewaycrowd, unfinishedChunkedBodies)
{
    GatewayDaemon daemon({.descriptors = descriptorBound});
    ClientCrowd crowd(daemon.callers());
    crowd.add(bodyClients,
              requestHead("POST", chatPath, daemon.key()) + "Transfer-Encoding: chunked\r\n\r\n",
              unfinished(chunked(largestChatBody())));
    checkAgainst(daemon, crowd, descriptorBound);
}

// Guards against an account that ends with the arrival of a body: requests are kept until they are
// answered.
Test(gatewaycrowd, wholeBodiesThatWaitForAServer)
{
    GatewayDaemon daemon({.descriptors = descriptorBound});
    daemon.tool().inject(Fakes::ToolFault::Hang);
    ClientCrowd crowd(daemon.callers());
    crowd.add(bodyClients,
              withLength(requestHead("POST", "/v1/services/stock/orders", daemon.key()), bodyLimit),
              shared(std::string(bodyLimit, 'x')));
    checkAgainst(daemon, crowd, descriptorBound);
}

// Guards against heads without a bound on their sum.
Test(gatewaycrowd, unfinishedHeads)
{
    constexpr int fields = 95;
    constexpr std::size_t fieldBytes = 16'000;
    GatewayDaemon daemon({.descriptors = descriptorBound});
    ClientCrowd crowd(daemon.callers());
    std::string head = requestHead("POST", chatPath, daemon.key());
    for (int i = 0; i < fields; ++i) {
        head += "X-Field-" + std::to_string(i) + ": " + std::string(fieldBytes, 'x') + "\r\n";
    }
    crowd.add(headClients, {}, shared(head));
    checkAgainst(daemon, crowd, descriptorBound);
}

// Guards against connections that take all descriptors, after which none is accepted any more.
Test(gatewaycrowd, silentConnections)
{
    GatewayDaemon daemon({.descriptors = lowDescriptorBound});
    ClientCrowd crowd(daemon.callers());
    crowd.add(silentClients, {}, shared({}));
    checkAgainst(daemon, crowd, lowDescriptorBound);
}

// Guards against output that is kept without a bound for callers that do not read their streams.
Test(gatewaycrowd, streamsThatAreNotRead)
{
    constexpr std::size_t pieceBytes = 20'000;
    constexpr int pieces = 20;
    GatewayDaemon daemon({.descriptors = descriptorBound});
    ClientCrowd crowd(daemon.callers());
    std::string prompt = "say:";
    for (int i = 0; i < pieces; ++i) {
        prompt += " " + std::string(pieceBytes, 'x');
    }
    const std::string body = chatBody(prompt, true);
    crowd.add(streamReaders,
              withLength(requestHead("POST", chatPath, daemon.key()), body.size()),
              shared(body));
    checkAgainst(daemon, crowd, descriptorBound);
}

// Guards against large answers to small requests that are kept without a bound for callers that do
// not read them.
Test(gatewaycrowd, answersThatAreNotRead)
{
    constexpr int turns = 20;
    constexpr std::size_t inputBytes = 200'000;
    GatewayDaemon daemon({.descriptors = descriptorBound});
    const Response created = requestOnce(
        daemon.callers(), "POST", "/v1/programs", daemon.key(), R"({"budget_tokens": 10000000})");
    cr_assert_eq(created.status, 201, "%s", created.body.c_str());
    const std::string program = nlohmann::json::parse(created.body).at("program");
    for (int i = 1; i <= turns; ++i) {
        const nlohmann::json turn{
            {"number", i}, {"service", "stock"}, {"input", std::string(inputBytes, 'x')}};
        const Response response = requestOnce(daemon.callers(),
                                              "POST",
                                              "/v1/programs/" + program + "/calls",
                                              daemon.key(),
                                              turn.dump());
        cr_assert_eq(response.status, 200, "%s", response.body.c_str());
    }
    ClientCrowd crowd(daemon.callers());
    crowd.add(answerReaders,
              withLength(requestHead("GET", "/v1/programs/" + program, daemon.key()), 0),
              shared({}));
    checkAgainst(daemon, crowd, descriptorBound);
}

// Guards against refusals of unfinished requests that lack the form of errors, or the time after
// which a caller may repeat them.
Test(gatewaycrowd, refusalsHaveTheFormOfErrors)
{
    GatewayDaemon daemon(
        {.descriptors = descriptorBound,
         .callerSettings = R"("max_body_bytes": 1000000, "body_memory_bytes": 2000000)"});
    const std::string large(600'000, 'x');
    const std::string path = "/v1/services/stock/orders";
    checkRefusal(
        requestOnce(daemon.callers(), "POST", path, unknownKey, large), 401, "unauthorized");
    checkRefusal(
        requestOnce(daemon.callers(), "POST", path, daemon.key(), std::string(1'000'001, 'x')),
        413,
        "too_large");
    ClientCrowd crowd(daemon.callers());
    crowd.add(1,
              withLength(requestHead("POST", path, daemon.key()), bodyLimit / 4),
              shared(std::string(1'000, 'x')));
    crowd.settle([] {});
    const Response full = requestOnce(daemon.callers(), "POST", path, daemon.key(), large);
    checkRefusal(full, 503, "unavailable");
    cr_expect(full.head.find("Retry-After: 1") != std::string::npos, "%s", full.head.c_str());
    crowd.closeAll();
    crowd.settle([] {});
    const Response alone = requestOnce(daemon.callers(), "POST", path, daemon.key(), large);
    cr_expect_eq(alone.status, 200, "%s", alone.body.c_str());
}
