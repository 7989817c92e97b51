#pragma once

#include <base/instant.h>
#include <base/types.h>

#include <cstdint>

namespace Programs {

/// Limits of a ProgramTable. Built with ProgramLimitsBuilder.
struct ProgramLimits
{
    std::uint16_t partitionCount = 256;
    /// Maximum number of programs in one table; further creations are refused.
    std::uint32_t maxPrograms = 20'000;
    /// Maximum number of calls of a program that sets no limit itself.
    std::uint32_t defaultMaxCalls = 10'000;
    /// Maximum number of calls of one program that wait for earlier numbers.
    std::uint32_t maxParkedCalls = 8;
    /// Maximum total input size of the parked calls of all programs.
    Base::Bytes maxParkedBytes{64 << 20};
    /// Maximum number of requests that wait for the result of one call.
    std::uint32_t maxCallersPerCall = 8;
    /// Limits of input and output keep the record of a call below the platform's limit of 1 MB.
    Base::Bytes maxInput{256 << 10};
    Base::Bytes maxOutput{512 << 10};
    /// Maximum total size of the turns of one program, and of all programs.
    Base::Bytes maxHistory{16 << 20};
    Base::Bytes maxTotalHistory{std::int64_t(1) << 30};
    /// Output limit of a model call that sets none.
    Base::Tokens defaultOutputTokens{1'024};
    /// Maximum time that a call waits for an earlier number.
    Base::Duration parkTimeout = std::chrono::seconds(2);
    /// A call without a response after this time ends with a timeout.
    Base::Duration callTimeout = std::chrono::minutes(10);
    /// Maximum time that a cancelled call may take to report its consumed tokens.
    Base::Duration cancelTimeout = std::chrono::seconds(5);
    /// A program without a call for this time is ended.
    Base::Duration idleTimeout = std::chrono::minutes(30);
    /// Retry delay suggested to callers that are refused for a temporary reason.
    Base::Duration retryAfter = std::chrono::milliseconds(500);
    /// Pause before a refused append is repeated.
    Base::Duration appendRetryDelay = std::chrono::milliseconds(100);
    /// Maximum time that callers wait for the commit of a result before they get an error.
    Base::Duration commitTimeout = std::chrono::seconds(30);
    /// How long the summary of an ended program is kept to answer late requests.
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
