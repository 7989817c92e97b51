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

/// Properties of a request according to its headers, independent of the header names.
struct RequestTraits
{
    /// Identifies the caller's attempt; servers return it in their responses.
    std::string id;
    /// Time that the caller waits for the response.
    std::optional<Base::Duration> callerTimeout;
    /// The agent program of the request; empty if none.
    Base::ProgramId program;
    /// Sequence of turns within the program.
    std::string session;
    /// Tokens that all turns of the program may generate together.
    std::optional<Base::Tokens> programBudget;
    /// Time until the program should be finished.
    std::optional<Base::Duration> programTimeLeft;
    Base::Tokens promptTokens;
    /// Maximum number of tokens that the request generates.
    Base::Tokens maxOutput;
    std::vector<Dispatch::PromptPart> prompt;
    /// The last event that the caller received of a stream to resume.
    std::optional<std::string> lastEventId;
    /// The attempt that brought the first event of that stream; empty if the caller names none.
    std::string resumedAttempt;
    /// The attempt that ran the turn that this request continues; empty if it starts a chain.
    std::string previousTurn;
    /// The previous turn is named more than once, or by a text that is no id.
    bool isPreviousTurnMalformed = false;
};

/// Load of a server as reported in a response.
struct ReportedLoad
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    /// Time that work takes on the server's VM now, in percent of the usual; unset if not stated.
    std::optional<std::uint32_t> slowness;
};

/// Properties of a response according to its headers.
struct ResponseTraits
{
    /// The request of this response; empty if the server does not name it.
    std::string id;
    /// The server guarantees that it has not executed the request and never will.
    bool isNotRun = false;
    /// The request names another server.
    bool isWrongServer = false;
    /// The response carries the proof that it comes from the named server.
    bool isAuthentic = false;
    std::optional<ReportedLoad> load;
    /// The server states a load that cannot be read.
    bool isLoadMalformed = false;
    /// The server is about to stop and must get no new requests.
    bool isServerLeaving = false;
    /// Requests that the server takes from all daemons together; unset if it states no limit.
    std::optional<Base::RequestRate> requestLimit;
    /// The server states a limit that cannot be read.
    bool isRequestLimitMalformed = false;
};

/// Properties that the proxy adds to a request for the chosen server.
struct ForwardTraits
{
    Base::ServerId server;
    /// Empty on public routes.
    Base::TeamId team;
    /// Remaining time until the caller's timeout.
    Base::Duration timeLeft{};
    /// The last event before the resumed stream; replaces the caller's value.
    std::optional<std::string> resumeAfter;
};

/// Translates between headers and traits; provided by the platform adapter.
struct HeaderTranslator
{
    std::function<RequestTraits(const RequestHead &)> readRequest;
    std::function<ResponseTraits(const ResponseHead &)> readResponse;
    /// Removes the key and fields that callers must not set, and adds the given traits.
    std::function<void(HeaderFields &, const ForwardTraits &)> prepareForward;
    /// Where a server says which process it is; empty if servers do not say it.
    std::string identityTarget = {};
    /// Returns the start time of the process that such a response states, in milliseconds since the
    /// Unix epoch; nothing if it states none.
    std::function<std::optional<std::uint64_t>(std::string_view body)> readStartTime = {};
};

} // namespace Proxy
