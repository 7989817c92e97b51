#include "programlimits.h"

namespace Programs {

ProgramLimitsBuilder &ProgramLimitsBuilder::partitionCount(std::uint16_t count)
{
    limits_.partitionCount = count;
    return *this;
}

ProgramLimitsBuilder &ProgramLimitsBuilder::maxPrograms(std::uint32_t count)
{
    limits_.maxPrograms = count;
    return *this;
}

ProgramLimitsBuilder &ProgramLimitsBuilder::defaultMaxCalls(std::uint32_t count)
{
    limits_.defaultMaxCalls = count;
    return *this;
}

ProgramLimitsBuilder &ProgramLimitsBuilder::parking(std::uint32_t callsPerProgram,
                                                    Base::Bytes allPrograms)
{
    limits_.maxParkedCalls = callsPerProgram;
    limits_.maxParkedBytes = allPrograms;
    return *this;
}

ProgramLimitsBuilder &ProgramLimitsBuilder::maxCallersPerCall(std::uint32_t count)
{
    limits_.maxCallersPerCall = count;
    return *this;
}

ProgramLimitsBuilder &ProgramLimitsBuilder::callSizes(Base::Bytes maxInput, Base::Bytes maxOutput)
{
    limits_.maxInput = maxInput;
    limits_.maxOutput = maxOutput;
    return *this;
}

ProgramLimitsBuilder &ProgramLimitsBuilder::histories(Base::Bytes oneProgram,
                                                      Base::Bytes allPrograms)
{
    limits_.maxHistory = oneProgram;
    limits_.maxTotalHistory = allPrograms;
    return *this;
}

ProgramLimitsBuilder &ProgramLimitsBuilder::defaultOutputTokens(Base::Tokens tokens)
{
    limits_.defaultOutputTokens = tokens;
    return *this;
}

ProgramLimitsBuilder &ProgramLimitsBuilder::parkTimeout(Base::Duration duration)
{
    limits_.parkTimeout = duration;
    return *this;
}

ProgramLimitsBuilder &ProgramLimitsBuilder::callTimeout(Base::Duration duration)
{
    limits_.callTimeout = duration;
    return *this;
}

ProgramLimitsBuilder &ProgramLimitsBuilder::cancelTimeout(Base::Duration duration)
{
    limits_.cancelTimeout = duration;
    return *this;
}

ProgramLimitsBuilder &ProgramLimitsBuilder::idleTimeout(Base::Duration duration)
{
    limits_.idleTimeout = duration;
    return *this;
}

ProgramLimitsBuilder &ProgramLimitsBuilder::appendRetryDelay(Base::Duration duration)
{
    limits_.appendRetryDelay = duration;
    return *this;
}

ProgramLimitsBuilder &ProgramLimitsBuilder::commitTimeout(Base::Duration duration)
{
    limits_.commitTimeout = duration;
    return *this;
}

ProgramLimitsBuilder &ProgramLimitsBuilder::ended(Base::Duration retention,
                                                  std::uint32_t maxPrograms)
{
    limits_.endedRetention = retention;
    limits_.maxEndedPrograms = maxPrograms;
    return *this;
}

} // namespace Programs
