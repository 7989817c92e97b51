#pragma once

#include "coreguard.h"
#include "daemonsettings.h"

#include <gateway/httpserver.h>
#include <telemetry/metrics.h>

#include <unordered_map>

namespace Runtime {

/// The callers' HTTP interface in front of the core.
class CallerFront
{
public:
    CallerFront(asio::io_context &context,
                const DaemonSettings &settings,
                CoreGuard &core,
                Telemetry::Metrics &metrics);

    void start() { server_.start(); }
    void stopAccepting() { server_.stopAccepting(); }
    size_t pendingRequests() const { return server_.pendingRequests(); }

    /// Carries out the core's answer.
    void answer(const Scheduler::AnswerCaller &answer);
    /// Answers every open request with the error.
    void answerAll(const Base::Error &error);

private:
    struct Open
    {
        Base::ModelId model;
        CallerApi::AnswerStyle style = CallerApi::AnswerStyle::Json;
        bool isStreaming = false;
        Base::Instant since;
    };

    void request(const Gateway::IncomingRequest &request);
    void callerGone(Base::RequestId id);
    void send(Base::RequestId id, const Open &open, const CallerApi::CallerReply &reply);

    Base::Bytes maxBody_;
    CoreGuard &core_;
    Telemetry::Metrics &metrics_;
    Gateway::HttpServer server_;
    /// Never held while the core or the server is called.
    std::mutex mutex_;
    std::unordered_map<Base::RequestId, Open> open_;
};

} // namespace Runtime
