#pragma once

#include "httpclient.h"

#include <optional>
#include <variant>

namespace Backends {

/// Identity and base URL of a model engine.
struct EngineAddress
{
    Base::ServerId server;
    /// Such as "http://10.0.0.5:8000", without a slash at the end.
    std::string baseUrl;
};

struct ChatMessage
{
    std::string role;
    std::string content;
};

struct ModelTimeouts
{
    Timeout connect{500};
    Timeout total{600'000};
    /// Maximum time without data, also before the first token.
    Timeout idle{60'000};
};

struct ModelCall
{
    EngineAddress engine;
    Base::ProgramId program;
    Base::ModelId model;
    std::vector<ChatMessage> messages;
    Base::Tokens maxOutputTokens;
    bool stream = true;
    ModelTimeouts timeouts;
};

/// A piece of generated text. A response that is not streamed is delivered as one piece.
struct TokenPiece
{
    std::string text;
};

/// The response is complete.
struct ModelDone
{
    Base::Tokens promptTokens;
    Base::Tokens outputTokens;
    std::string finishReason;
};

struct ModelFailed
{
    Base::Error error;
    /// Pieces delivered before the failure.
    Base::Tokens pieces;
};

using ModelEvent = std::variant<TokenPiece, ModelDone, ModelFailed>;

/// Runs in the HTTP client's thread. ModelDone or ModelFailed is delivered last, exactly once.
using ModelHandler = std::function<FlowControl(const ModelEvent &)>;

struct ReleaseOrder
{
    EngineAddress engine;
    Base::ProgramId program;
    /// Fencing token of the partition owner that sends the order.
    Base::Epoch epoch;
};

enum class OrderOutcome {
    Confirmed,
    /// The engine has received an order with a newer fencing token.
    Fenced,
    /// No response; the order may be sent again.
    Unanswered
};

struct LoadReport
{
    int running = 0;
    int queued = 0;
    /// Age of the figures when the engine sent them.
    Base::Duration age{0};
    /// Programs whose prefixes the engine holds in its cache.
    std::vector<Base::ProgramId> cachedPrograms;
};

/// Sends calls (OpenAI-compatible protocol) and orders to model engines.
class EngineClient
{
public:
    explicit EngineClient(HttpClient &http);

    HttpRequestId call(const ModelCall &call, ModelHandler handler);
    /// Closes the connection, upon which the engine stops generating.
    void cancel(HttpRequestId id) { http_.cancel(id); }
    void resume(HttpRequestId id) { http_.resume(id); }

    void release(const ReleaseOrder &order, std::function<void(OrderOutcome)> handler);
    void loadReport(const EngineAddress &engine,
                    std::function<void(Base::Result<LoadReport>)> handler);

private:
    HttpClient &http_;
};

} // namespace Backends
