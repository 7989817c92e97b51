#pragma once

#include "httphead.h"

#include <base/instant.h>
#include <base/types.h>
#include <dispatch/requestplacer.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Proxy {

/// What a caller's headers say of its request, apart from the wire form.
struct RequestTraits
{
    /// Identifies the caller's attempt; servers echo it.
    std::string id;
    /// How long the caller waits.
    std::optional<Base::Duration> patience;
    /// The agent program that the request belongs to; empty if none.
    Base::ProgramId program;
    /// Line of turns within the program.
    std::string session;
    /// Tokens that the program's turns may generate together.
    std::optional<Base::Tokens> programBudget;
    /// When the program should be finished, from now.
    std::optional<Base::Duration> programTimeLeft;
    Base::Tokens promptTokens;
    /// Most tokens that the request generates.
    Base::Tokens maxOutput;
    std::vector<Dispatch::PromptPart> prompt;
    /// Last event that the caller has of a stream that it resumes.
    std::optional<std::string> lastEventId;
};

/// Load of a server, as it states it in an answer.
struct ReportedLoad
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
};

/// What a server's headers say of its answer.
struct ResponseTraits
{
    /// The request that the answer belongs to; empty if the server does not say.
    std::string id;
    /// The server states that it has not run the request and never will.
    bool isNotRun = false;
    /// The server is another one than the request names.
    bool isWrongServer = false;
    /// Bears the proof that the named server made it.
    bool isAuthentic = false;
    std::optional<ReportedLoad> load;
};

/// What the proxy adds to a request for the server that it chose.
struct ForwardTraits
{
    Base::ServerId server;
    /// Empty on public routes.
    Base::TeamId team;
    /// What is left of the caller's patience.
    Base::Duration timeLeft{};
    /// Event after which a stream goes on; replaces what the caller sent.
    std::optional<std::string> resumeAfter;
};

/// Translates between headers and traits; the adapter of a platform supplies one.
struct HeaderTranslator
{
    std::function<RequestTraits(const RequestHead &)> readRequest;
    std::function<ResponseTraits(const ResponseHead &)> readResponse;
    /// Removes what callers must not set and the key, and adds what servers are to know.
    std::function<void(HeaderFields &, const ForwardTraits &)> prepareForward;
};

} // namespace Proxy
