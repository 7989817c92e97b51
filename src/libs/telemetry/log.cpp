#include "log.h"

#include "redact.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>

#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <ctime>

namespace Telemetry {

namespace {

log4cplus::LogLevel toLibraryLevel(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return log4cplus::DEBUG_LOG_LEVEL;
    case LogLevel::Info:
        return log4cplus::INFO_LOG_LEVEL;
    case LogLevel::Warning:
        return log4cplus::WARN_LOG_LEVEL;
    case LogLevel::Error:
        break;
    }
    return log4cplus::ERROR_LOG_LEVEL;
}

const char *toString(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return "debug";
    case LogLevel::Info:
        return "info";
    case LogLevel::Warning:
        return "warning";
    case LogLevel::Error:
        break;
    }
    return "error";
}

/// UTC with milliseconds, such as "2026-01-31T10:00:00.123Z".
std::string timeText()
{
    const auto now = std::chrono::system_clock::now();
    const std::time_t seconds = std::chrono::system_clock::to_time_t(now);
    const auto sinceEpoch
        = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch());
    std::tm utc{};
    gmtime_r(&seconds, &utc);
    char text[32];
    const std::size_t length = std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%S", &utc);
    const std::string milliseconds = std::to_string(1000 + sinceEpoch.count() % 1000);
    return std::string(text, length) + "." + milliseconds.substr(1) + "Z";
}

std::string uniqueLoggerName()
{
    static std::atomic<int> count{0};
    return "marjoramfield." + std::to_string(++count);
}

log4cplus::SharedAppenderPtr createAppender(const LogSettings &settings)
{
    log4cplus::SharedAppenderPtr appender;
    if (settings.file.empty()) {
        const bool isStandardError = settings.target == LogTarget::StandardError;
        appender = new log4cplus::ConsoleAppender(isStandardError, true);
    } else {
        appender = new log4cplus::FileAppender(settings.file, std::ios_base::app);
    }
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>("%m%n"));
    return appender;
}

} // namespace

struct Log::Private
{
    log4cplus::Initializer initializer;
    log4cplus::Logger logger;
    std::string daemon;
    std::vector<std::string> keyPrefixes;

    void addField(nlohmann::ordered_json &line, const char *name, const std::string &value) const
    {
        if (!value.empty()) {
            line[name] = redact(value, keyPrefixes);
        }
    }

    void addDetail(nlohmann::ordered_json &line,
                   const std::string &name,
                   const std::string &value) const
    {
        addField(line, name.c_str(), value);
    }

    template<typename Number>
    void addDetail(nlohmann::ordered_json &line, const std::string &name, Number value) const
    {
        line[name] = value;
    }
};

Log::Log(const LogSettings &settings)
    : private_(std::make_unique<Private>())
{
    private_->logger = log4cplus::Logger::getInstance(uniqueLoggerName());
    private_->logger.setAdditivity(false);
    private_->logger.setLogLevel(toLibraryLevel(settings.level));
    private_->logger.addAppender(createAppender(settings));
    private_->daemon = settings.daemon;
    private_->keyPrefixes = settings.keyPrefixes;
}

Log::~Log()
{
    private_->logger.removeAllAppenders();
}

bool Log::isEnabled(LogLevel level) const
{
    return private_->logger.isEnabledFor(toLibraryLevel(level));
}

void Log::write(LogLevel level, std::string_view message, const LogFields &fields)
{
    if (!isEnabled(level)) {
        return;
    }
    nlohmann::ordered_json line;
    line["time"] = timeText();
    line["level"] = toString(level);
    private_->addField(line, "daemon", private_->daemon);
    private_->addField(line, "request", fields.request);
    private_->addField(line, "program", fields.program);
    private_->addField(line, "team", fields.team);
    private_->addField(line, "step", fields.step);
    private_->addField(line, "peer", fields.peer);
    line["message"] = redact(message, private_->keyPrefixes);
    for (const LogDetail &detail : fields.details) {
        std::visit([&](const auto &value) { private_->addDetail(line, detail.name, value); },
                   detail.value);
    }
    const auto replace = nlohmann::ordered_json::error_handler_t::replace;
    private_->logger.log(toLibraryLevel(level), line.dump(-1, ' ', false, replace));
}

} // namespace Telemetry
