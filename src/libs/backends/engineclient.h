#pragma once

#include "httpclient.h"

#include <optional>
#include <variant>

namespace Backends {

/// A model engine as calls reach it.
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
    /// Longest silence, before the first token too.
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

/// A piece of generated text. An answer that is not streamed comes as one piece.
struct TokenPiece
{
    std::string text;
};

/// The answer is whole.
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

/// Runs in the HTTP client's thread. ModelDone or ModelFailed comes last, exactly once.
using ModelHandler = std::function<FlowControl(const ModelEvent &)>;

struct ReleaseOrder
{
    EngineAddress engine;
    Base::ProgramId program;
    /// Fencing number of the owner that gives the order.
    Base::Epoch epoch;
};

enum class OrderOutcome {
    Confirmed,
    /// The engine has seen a newer fencing number.
    Fenced,
    /// No answer; the order may be repeated.
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

/// Calls and orders to model engines with the OpenAI-shaped protocol.
class EngineClient
{
public:
    explicit EngineClient(HttpClient &http);

    HttpRequestId call(const ModelCall &call, ModelHandler handler);
    /// Closes the connection, which makes the engine stop generating.
    void cancel(HttpRequestId id) { http_.cancel(id); }
    void resume(HttpRequestId id) { http_.resume(id); }

    void release(const ReleaseOrder &order, std::function<void(OrderOutcome)> handler);
    void loadReport(const EngineAddress &engine,
                    std::function<void(Base::Result<LoadReport>)> handler);

private:
    HttpClient &http_;
};

} // namespace Backends
