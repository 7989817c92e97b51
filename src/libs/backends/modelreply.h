#pragma once

#include "engineclient.h"
#include "ssereader.h"

namespace Backends {

/// Converts the bytes of an engine's response to model events.
class ModelReply
{
public:
    ModelReply(Base::ServerId server, bool isStream, ModelHandler handler);

    void handleHead(const HttpReplyHead &head);
    FlowControl handleData(std::string_view data);
    void handleEnd(const HttpOutcome &outcome);

private:
    FlowControl handleStream(std::string_view data);
    FlowControl handleEvent(const std::string &data);
    FlowControl handleChunk(const std::string &data);
    void handleWholeResponse();
    FlowControl emitPiece(std::string text);
    void emitDone();
    FlowControl fail(std::string message);
    Base::Error backendError(std::string message) const;

    Base::ServerId server_;
    bool isStream_;
    ModelHandler handler_;
    int status_ = 0;
    SseReader reader_;
    /// Body of a response that is not streamed, up to maxBodyBytes.
    std::string body_;
    ModelDone done_;
    Base::Tokens pieces_;
    bool hasUsage_ = false;
    bool isFinished_ = false;
    std::optional<std::string> failure_;
};

} // namespace Backends
