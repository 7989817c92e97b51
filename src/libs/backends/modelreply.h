#pragma once

#include "engineclient.h"
#include "ssereader.h"

namespace Backends {

/// Turns the bytes of an engine's answer into model events.
class ModelReply
{
public:
    ModelReply(Base::ServerId server, bool isStream, ModelHandler handler);

    void takeHead(const HttpReplyHead &head);
    FlowControl takeData(std::string_view data);
    void takeEnd(const HttpOutcome &outcome);

private:
    FlowControl takeStream(std::string_view data);
    FlowControl takeEvent(const std::string &data);
    FlowControl takeChunk(const std::string &data);
    void takeWholeAnswer();
    FlowControl emitPiece(std::string text);
    void emitDone();
    FlowControl fail(std::string message);
    Base::Error backendError(std::string message) const;

    Base::ServerId server_;
    bool isStream_;
    ModelHandler handler_;
    int status_ = 0;
    SseReader reader_;
    /// Of an answer that is no stream: its body, up to a limit.
    std::string body_;
    ModelDone done_;
    Base::Tokens pieces_;
    bool hasUsage_ = false;
    bool isFinished_ = false;
    std::optional<std::string> failure_;
};

} // namespace Backends
