#include <telemetry/log.h>
#include <telemetry/redact.h>

#include <nlohmann/json.hpp>

#include <criterion/criterion.h>

#include <cstdio>
#include <fstream>

#include <unistd.h>

using namespace Telemetry;

namespace {

const std::vector<std::string> prefixes{"mjk_"};

std::vector<std::string> linesOf(const std::string &file)
{
    std::ifstream stream(file);
    std::vector<std::string> lines;
    for (std::string line; std::getline(stream, line);) {
        lines.push_back(line);
    }
    return lines;
}

} // namespace

Test(redact, redactsKeysInAllSupportedForms)
{
    const std::vector<std::string> secret{"Authorization: Bearer abcSECRET",
                                          "authorization=abcSECRET",
                                          "GET /x?api_key=abcSECRET&y=1",
                                          R"({"password": "abcSECRET"})",
                                          "X-API-Key: abcSECRET",
                                          "key mjk_abcSECRET refused",
                                          "at http://host/mjk_abcSECRET/path"};
    for (const std::string &text : secret) {
        const std::string redacted = redact(text, prefixes);
        cr_assert_eq(redacted.find("abcSECRET"), std::string::npos, "%s", redacted.c_str());
    }
    cr_assert_eq(redact("call 3 of p-1 took 20.5 ms, retry", prefixes),
                 "call 3 of p-1 took 20.5 ms, retry");
}

Test(log, writesOneJsonObjectPerLineWithoutKeys)
{
    const std::string file = "tst_log_" + std::to_string(getpid()) + ".log";
    {
        Log log({file, LogLevel::Info, "vm-1.3", prefixes});
        cr_assert(!log.isEnabled(LogLevel::Debug));
        log.write(LogLevel::Debug, "not written");
        log.write(LogLevel::Warning,
                  "key mjk_abcSECRET\nrefused",
                  {"17", "p1", "club", "dispatch", "mjk_abcSECRET"});
        log.write(LogLevel::Info, "bad bytes \xff");
    }
    const auto lines = linesOf(file);
    std::remove(file.c_str());
    cr_assert_eq(lines.size(), 2U);
    const auto line = nlohmann::json::parse(lines[0]);
    cr_assert_eq(line["level"], "warning");
    cr_assert_eq(line["daemon"], "vm-1.3");
    cr_assert_eq(line["request"], "17");
    cr_assert_eq(line["program"], "p1");
    cr_assert_eq(line["team"], "club");
    cr_assert_eq(line["step"], "dispatch");
    cr_assert_eq(line["message"], "key ***\nrefused");
    cr_assert_eq(lines[0].find("abcSECRET"), std::string::npos);
}
