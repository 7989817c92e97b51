#pragma once

#include "scriptedserver.h"

#include <libs/loopback.h>
#include <proxy/httpcaller.h>

#include <optional>
#include <string>

inline constexpr std::size_t maxCallResponse = 1000;

/// Calls a server that follows the script and buffers little of the request.
inline Proxy::CallResult callServer(const ScriptedServer::Script &script,
                                    const std::string &body = {})
{
    constexpr int receiveBytes = 4 * 1024;
    constexpr auto timeout = std::chrono::seconds(10);
    static const auto address = freeEndpoint<asio::ip::tcp>();
    asio::io_context context;
    ScriptedServer server(context, address);
    server.setReceiveBytes(receiveBytes);
    server.add(script);
    Proxy::HttpCaller caller(context, server.endpoint(), "x.example");
    std::optional<Proxy::CallResult> result;
    caller.call(body.empty() ? "GET" : "POST",
                "/",
                body,
                {.timeout = timeout, .responseBytes = Base::Bytes(maxCallResponse)},
                [&](Proxy::CallResult each) { result = std::move(each); });
    while (!result) {
        context.run_one();
    }
    return *result;
}
