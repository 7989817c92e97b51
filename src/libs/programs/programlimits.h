#pragma once

#include <base/instant.h>
#include <base/types.h>

#include <cstdint>

namespace Programs {

/// Bounds of a ProgramTable. Build one with ProgramLimitsBuilder.
struct ProgramLimits
{
    std::uint16_t partitionCount = 256;
    /// Programs that one table holds; further creates are refused.
    std::uint32_t maxPrograms = 20'000;
    /// Calls of a program that asks for no limit of its own.
    std::uint32_t defaultMaxCalls = 10'000;
    /// Calls of one program that wait for an earlier number.
    std::uint32_t maxParkedCalls = 8;
    /// Bytes of input that waiting calls of all programs hold together.
    Base::Bytes maxParkedBytes{64 << 20};
    /// Requests that wait for the answer of one call.
    std::uint32_t maxCallersPerCall = 8;
    /// With the output, the record of a call stays below a megabyte, the platform's limit.
    Base::Bytes maxInput{256 << 10};
    Base::Bytes maxOutput{512 << 10};
    /// Bytes that the turns of one program may hold, and those of all programs.
    Base::Bytes maxHistory{16 << 20};
    Base::Bytes maxHistories{std::int64_t(1) << 30};
    /// Output limit of a model call that asks for none.
    Base::Tokens defaultOutputTokens{1'024};
    /// How long a call waits for an earlier number.
    Base::Duration parkTimeout = std::chrono::seconds(2);
    /// A call that has no answer after this time ends with a timeout.
    Base::Duration callTimeout = std::chrono::minutes(10);
    /// How long a cancelled call may take to report what it consumed.
    Base::Duration cancelTimeout = std::chrono::seconds(5);
    /// A program without a call for this time is ended.
    Base::Duration idleTimeout = std::chrono::minutes(30);
    /// Advice to callers that are refused because of a passing condition.
    Base::Duration retryAdvice = std::chrono::milliseconds(500);
    /// Pause before a refused append is repeated.
    Base::Duration appendRetryDelay = std::chrono::milliseconds(100);
    /// How long callers wait for the commit of a result before they hear that it is in doubt.
    Base::Duration commitTimeout = std::chrono::seconds(30);
    /// How long an ended program is remembered, so that late requests hear of its end.
    Base::Duration endedRetention = std::chrono::minutes(5);
    std::uint32_t maxEndedPrograms = 10'000;
};

class ProgramLimitsBuilder
{
public:
    ProgramLimitsBuilder &partitionCount(std::uint16_t count);
    ProgramLimitsBuilder &maxPrograms(std::uint32_t count);
    ProgramLimitsBuilder &defaultMaxCalls(std::uint32_t count);
    ProgramLimitsBuilder &parking(std::uint32_t callsPerProgram, Base::Bytes allPrograms);
    ProgramLimitsBuilder &maxCallersPerCall(std::uint32_t count);
    ProgramLimitsBuilder &callSizes(Base::Bytes maxInput, Base::Bytes maxOutput);
    ProgramLimitsBuilder &histories(Base::Bytes oneProgram, Base::Bytes allPrograms);
    ProgramLimitsBuilder &defaultOutputTokens(Base::Tokens tokens);
    ProgramLimitsBuilder &parkTimeout(Base::Duration duration);
    ProgramLimitsBuilder &callTimeout(Base::Duration duration);
    ProgramLimitsBuilder &cancelTimeout(Base::Duration duration);
    ProgramLimitsBuilder &idleTimeout(Base::Duration duration);
    ProgramLimitsBuilder &appendRetryDelay(Base::Duration duration);
    ProgramLimitsBuilder &commitTimeout(Base::Duration duration);
    ProgramLimitsBuilder &ended(Base::Duration retention, std::uint32_t maxPrograms);

    ProgramLimits build() const { return limits_; }

private:
    ProgramLimits limits_;
};

} // namespace Programs
