#pragma once

#include "daemonsettings.h"
#include "descriptionqueue.h"
#include "synchronizedcore.h"

#include <gateway/httpserver.h>
#include <telemetry/metrics.h>

#include <unordered_map>

namespace Runtime {

/// The HTTP server of the callers' interface; passes requests to the core and sends its answers.
class CallerServer
{
public:
    CallerServer(asio::io_context &context,
                 const DaemonSettings &settings,
                 SynchronizedCore &core,
                 Telemetry::Metrics &metrics);

    void start() { server_.start(); }
    void stopAccepting() { server_.stopAccepting(); }
    size_t pendingRequests() const { return server_.pendingRequests(); }
    void updateMetrics();

    /// Sends an answer of the core, or a part of a stream.
    void answer(const Scheduler::AnswerCaller &answer);
    /// Answers every open request with the error.
    void answerAll(const Base::Error &error);

private:
    struct OpenRequest
    {
        Base::ModelId model;
        CallerApi::AnswerStyle style = CallerApi::AnswerStyle::Json;
        bool isStreaming = false;
        Base::Instant receivedAt;
    };

    void request(Gateway::IncomingRequest request);
    /// The response to a request that is refused whatever its body is.
    std::optional<Gateway::HttpResponse> refuseHead(const Gateway::RequestHeadView &head);
    Gateway::HttpResponse reject(const Gateway::Rejection &rejection);
    Gateway::HttpResponse earlyResponse(const Base::Error &error, const std::string &reason);
    void callerGone(Base::RequestId id);
    void sendAnswer(const Scheduler::AnswerCaller &answer);
    void pass(std::optional<Scheduler::IncomingCall> call);
    void send(Base::RequestId id, const OpenRequest &open, const CallerApi::CallerReply &reply);

    Base::Bytes maxBody_;
    SynchronizedCore &core_;
    Telemetry::Metrics &metrics_;
    Gateway::HttpServer server_;
    /// Not held while the core or the server is called.
    std::mutex mutex_;
    std::unordered_map<Base::RequestId, OpenRequest> open_;
    DescriptionQueue descriptions_;
};

} // namespace Runtime
