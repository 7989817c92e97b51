#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Telemetry {

enum class LogLevel {
    Debug,
    Info,
    Warning,
    Error
};

/// One input or outcome of a decision.
struct LogDetail
{
    std::string name;
    std::variant<std::string, std::int64_t, double> value;
};

/// Context of a log line; empty fields are left out.
struct LogFields
{
    std::string request;
    std::string program;
    std::string team;
    std::string step;
    std::string peer;
    /// Inputs of the decision with their age or version, and the outcome.
    std::vector<LogDetail> details;
};

enum class LogTarget {
    StandardError,
    StandardOutput
};

struct LogSettings
{
    /// Log file; if empty, lines are written to the target.
    std::string file;
    LogLevel level = LogLevel::Info;
    /// Identifies the daemon in every line.
    std::string daemon;
    /// Words that contain one of these prefixes are keys and are redacted.
    std::vector<std::string> keyPrefixes;
    LogTarget target = LogTarget::StandardError;
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
