#pragma once

#include <dispatch/dispatcher.h>

#include <string>

inline Base::Instant at(std::int64_t milliseconds)
{
    return Base::Instant(std::chrono::milliseconds(milliseconds));
}

inline Dispatch::ServerConfig serverConfig(const std::string &id,
                                           std::uint32_t slots,
                                           const std::string &service = "chat",
                                           Dispatch::ServiceKind kind
                                           = Dispatch::ServiceKind::Model)
{
    return {
        Base::ServerId(id), Base::ZoneId("a"), Base::ServiceId(service), kind, slots, false, {}};
}

inline Dispatch::DispatchRequest callOf(std::uint64_t id,
                                        const std::string &program,
                                        const std::string &team = "club")
{
    Dispatch::DispatchRequest request;
    request.id = Dispatch::DispatchId(id);
    request.program = Base::ProgramId(program);
    request.team = Base::TeamId(team);
    request.service = Base::ServiceId("chat");
    request.isIdempotent = true;
    request.promptTokens = Base::Tokens(1000);
    request.expectedOutput = Base::Tokens(100);
    request.deadline = at(60000);
    return request;
}

inline Dispatch::Usage usage(std::int64_t prompt, std::int64_t output)
{
    return {Base::Tokens(prompt), Base::Tokens(), Base::Tokens(output)};
}

template<typename Action>
std::vector<Action> take(Dispatch::Dispatcher &from)
{
    std::vector<Action> found;
    for (const Dispatch::DispatchAction &action : from.takeActions()) {
        if (const auto *match = std::get_if<Action>(&action)) {
            found.push_back(*match);
        }
    }
    return found;
}
