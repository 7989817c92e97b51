#include "passthroughfixture.h"

#include <libs/loopback.h>
#include <proxy/httpcaller.h>

namespace {

const std::string framedHead = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n";
const std::string chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Calls a server that follows the script.
CallResult call(const ScriptedServer::Script &script)
{
    static const auto address = freeEndpoint<asio::ip::tcp>();
    asio::io_context context;
    ScriptedServer server(context, address);
    server.add(script);
    HttpCaller caller(context, server.endpoint(), "x.example");
    std::optional<CallResult> result;
    caller.call("GET", "/", {}, guardTime, [&](CallResult each) { result = std::move(each); });
    while (!result) {
        context.run_one();
    }
    return *result;
}

} // namespace

/// Guards against a response of the store or of another daemon that is cut off and looks whole.
Test(httpcaller, aResponseThatIsCutOffIsNoResponse)
{
    for (const std::string &response :
         {framedHead + "howdy", chunkedHead + chunk("howdy") + "0\r\n\r\n"}) {
        for (std::size_t cut = 0; cut < response.size(); ++cut) {
            for (const bool isReset : {false, true}) {
                const CallResult result
                    = call({{response.substr(0, cut)}, !isReset, false, isReset});
                cr_assert_eq(result.status, 0, "after %zu bytes", cut);
                cr_assert(result.body.empty() && !result.problem.empty());
            }
        }
        cr_assert_eq(call({{response}, true}).body, "howdy");
    }
}
