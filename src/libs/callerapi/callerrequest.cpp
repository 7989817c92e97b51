#include "callerrequest.h"

#include <base/random.h>
#include <base/settingsreader.h>

namespace CallerApi {

namespace {

using Base::Error;
using Base::ErrorCode;
using Base::Result;
using Base::SettingsProblem;
using Base::SettingsReader;

constexpr std::int64_t maxTokens = 1'000'000'000;
constexpr std::int64_t maxDeadlineSeconds = 7 * 24 * 3600;
constexpr std::int64_t maxCallsLimit = 1'000'000;
constexpr std::string_view programsPath = "/v1/programs";
constexpr std::string_view servicesPath = "/v1/services/";
constexpr std::string_view chatPath = "/v1/chat/completions";
constexpr std::string_view callsSuffix = "/calls";

Error parseError(ErrorCode code, std::string message)
{
    return Error{.code = code, .step = Base::Step::Parse, .message = std::move(message)};
}

Error problemError(const SettingsProblem &problem)
{
    return parseError(ErrorCode::Malformed,
                      problem.path + ": found " + problem.found + ", expected " + problem.expected);
}

Result<nlohmann::json> parseBody(std::string_view body)
{
    nlohmann::json document = nlohmann::json::parse(body, nullptr, false);
    if (document.is_discarded()) {
        return parseError(ErrorCode::Malformed, "the body is not valid JSON");
    }
    if (!document.is_object()) {
        return parseError(ErrorCode::Malformed, "the body is not a JSON object");
    }
    return document;
}

std::optional<Base::Tokens> optionalTokens(SettingsReader &reader, const std::string &name)
{
    if (!reader.has(name)) {
        return std::nullopt;
    }
    return Base::Tokens(reader.integer(name, 1, maxTokens));
}

/// Strings are returned unchanged, other JSON values as compact JSON.
std::string inputText(const nlohmann::json &value)
{
    return value.is_string() ? value.get<std::string>() : value.dump();
}

Result<CallerRequest> parseCreate(std::string_view body)
{
    BOOST_OUTCOME_TRY(document, parseBody(body));
    std::vector<SettingsProblem> problems;
    SettingsReader reader(document, "", problems);
    CreateProgramRequest request;
    request.budget = Base::Tokens(reader.integer("budget_tokens", 1, maxTokens));
    request.maxCalls = static_cast<std::uint32_t>(reader.integer("max_calls", 0, maxCallsLimit, 0));
    if (reader.has("deadline_s")) {
        request.deadline
            = std::chrono::seconds(reader.integer("deadline_s", 1, maxDeadlineSeconds));
    }
    if (reader.has("parent")) {
        request.parent = Base::ProgramId(reader.text("parent"));
    }
    reader.rejectUnknown();
    if (!problems.empty()) {
        return problemError(problems.front());
    }
    return CallerRequest(std::move(request));
}

Result<CallerRequest> parseSubmit(const std::string &program, std::string_view body)
{
    BOOST_OUTCOME_TRY(document, parseBody(body));
    std::vector<SettingsProblem> problems;
    SettingsReader reader(document, "", problems);
    SubmitCallRequest request;
    request.program = Base::ProgramId(program);
    request.number
        = Base::CallNumber(static_cast<std::uint32_t>(reader.integer("number", 1, maxCallsLimit)));
    request.service = Base::ServiceId(reader.text("service"));
    request.isStream = reader.boolean("stream", false);
    request.maxOutput = optionalTokens(reader, "max_output_tokens");
    if (!reader.has("input")) {
        reader.addProblem("input", "nothing", "string or JSON value");
    }
    reader.text("input", std::string());
    reader.rejectUnknown();
    std::erase_if(problems, [](const SettingsProblem &problem) {
        return problem.path == "/input" && problem.found != "nothing";
    });
    if (!problems.empty()) {
        return problemError(problems.front());
    }
    request.input = inputText(document["input"]);
    // Streaming only selects the response format, so a repeat may differ in it.
    document.erase("stream");
    request.bodyHash = Base::BodyHash(Base::hash64(document.dump()));
    return CallerRequest(std::move(request));
}

Result<CallerRequest> parseChat(std::string_view body)
{
    BOOST_OUTCOME_TRY(document, parseBody(body));
    std::vector<SettingsProblem> problems;
    SettingsReader reader(document, "", problems);
    ChatCompletionRequest request;
    request.model = Base::ModelId(reader.text("model"));
    request.isStream = reader.boolean("stream", false);
    request.maxOutput = optionalTokens(reader, "max_tokens");
    if (!problems.empty()) {
        return problemError(problems.front());
    }
    const auto messages = document.find("messages");
    if (messages == document.end() || !messages->is_array() || messages->empty()) {
        return parseError(ErrorCode::Malformed, "/messages: expected a non-empty array");
    }
    request.input = messages->dump();
    request.bodyHash = Base::BodyHash(Base::hash64(document.dump()));
    return CallerRequest(std::move(request));
}

std::string_view pathOf(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

Error unknownPath(std::string_view path)
{
    return parseError(ErrorCode::UnknownProgram, "unknown path: " + std::string(path));
}

Result<CallerRequest> parseProgramPath(const HttpRequestView &request, std::string_view rest)
{
    if (rest.ends_with(callsSuffix) && request.method == "POST") {
        rest.remove_suffix(callsSuffix.size());
        return parseSubmit(std::string(rest), request.body);
    }
    if (rest.empty() || rest.find('/') != std::string_view::npos) {
        return unknownPath(request.target);
    }
    if (request.method == "GET") {
        return CallerRequest(DescribeProgramRequest{Base::ProgramId(std::string(rest))});
    }
    if (request.method == "DELETE") {
        return CallerRequest(EndProgramRequest{Base::ProgramId(std::string(rest))});
    }
    return parseError(ErrorCode::Malformed,
                      "method " + std::string(request.method) + " is not allowed for path "
                          + std::string(pathOf(request.target)));
}

Result<CallerRequest> parseService(const HttpRequestView &request)
{
    std::string_view rest = request.target.substr(servicesPath.size());
    const size_t end = rest.find_first_of("/?");
    const std::string_view service = rest.substr(0, end);
    if (service.empty()) {
        return unknownPath(request.target);
    }
    std::string target = end == std::string_view::npos ? "/" : std::string(rest.substr(end));
    if (target.front() == '?') {
        target.insert(0, "/");
    }
    return CallerRequest(PlainServiceRequest{.service = Base::ServiceId(std::string(service)),
                                             .method = std::string(request.method),
                                             .target = std::move(target),
                                             .contentType = std::string(request.contentType),
                                             .body = std::string(request.body)});
}

} // namespace

Result<CallerRequest> parseCallerRequest(const HttpRequestView &request, Base::Bytes bodyLimit)
{
    if (static_cast<std::int64_t>(request.body.size()) > bodyLimit.value()) {
        return parseError(ErrorCode::TooLarge,
                          "the body has " + std::to_string(request.body.size())
                              + " bytes, the limit is " + std::to_string(bodyLimit.value()));
    }
    if (request.target.starts_with(servicesPath)) {
        return parseService(request);
    }
    const std::string_view path = pathOf(request.target);
    if (path == chatPath && request.method == "POST") {
        return parseChat(request.body);
    }
    if (path == programsPath && request.method == "POST") {
        return parseCreate(request.body);
    }
    if (path.starts_with(programsPath) && path.size() > programsPath.size()
        && path[programsPath.size()] == '/') {
        return parseProgramPath(request, path.substr(programsPath.size() + 1));
    }
    return unknownPath(path);
}

std::optional<Base::ServiceId> plainServiceOf(std::string_view target)
{
    if (!target.starts_with(servicesPath)) {
        return std::nullopt;
    }
    const std::string_view rest = target.substr(servicesPath.size());
    return Base::ServiceId(std::string(rest.substr(0, rest.find_first_of("/?"))));
}

std::string bearerKey(std::string_view authorization)
{
    constexpr std::string_view scheme = "Bearer ";
    if (!authorization.starts_with(scheme)) {
        return {};
    }
    return std::string(authorization.substr(scheme.size()));
}

} // namespace CallerApi
