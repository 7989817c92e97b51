#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace Telemetry {

enum class LogLevel {
    Debug,
    Info,
    Warning,
    Error
};

/// Context of a log line; empty fields are left out.
struct LogFields
{
    std::string request;
    std::string program;
    std::string team;
    std::string step;
    std::string peer;
};

struct LogSettings
{
    /// Empty means standard error.
    std::string file;
    LogLevel level = LogLevel::Info;
    /// Identifies the daemon in every line.
    std::string daemon;
    /// Words that contain one of these are keys and are never written.
    std::vector<std::string> keyPrefixes;
};

/// Structured log: one JSON object per line, written through log4cplus. Thread-safe.
class Log
{
public:
    explicit Log(const LogSettings &settings);
    ~Log();

    Log(const Log &) = delete;
    Log &operator=(const Log &) = delete;

    bool isEnabled(LogLevel level) const;
    void write(LogLevel level, std::string_view message, const LogFields &fields = {});

private:
    struct Private;
    std::unique_ptr<Private> private_;
};

} // namespace Telemetry
