#pragma once

#include <telemetry/log.h>

#include <nlohmann/json.hpp>

/// Entry of a server as the platform's store has it.
inline nlohmann::json server()
{
    return {{"service", "s"},
            {"address", "10.0.0.9:80"},
            {"zone", "a"},
            {"slots", 4},
            {"version", "v1"},
            {"state", "ready"}};
}

/// Shared by all fixtures, as the log library can be started only once per process.
inline Telemetry::Log &silentLog()
{
    static Telemetry::Log log(
        {.file = {}, .level = Telemetry::LogLevel::Error, .daemon = {}, .keyPrefixes = {}});
    return log;
}
