#include <callerapi/callerrequest.h>
#include <callerapi/responseformat.h>

#include <criterion/criterion.h>

namespace {

using Base::ErrorCode;
using CallerApi::CallerRequest;

constexpr Base::Bytes bodyLimit(1000);

Base::Result<CallerRequest> parse(const char *method, const char *target, const std::string &body)
{
    return CallerApi::parseCallerRequest({method, target, "application/json", body}, bodyLimit);
}

void assertRefused(const char *method, const char *target, const std::string &body, ErrorCode code)
{
    const Base::Result<CallerRequest> result = parse(method, target, body);
    cr_assert(result.has_error(), "%s %s was taken", method, target);
    cr_assert(result.error().code == code, "%s", result.error().message.c_str());
    cr_assert(result.error().ran == Base::Ran::NotRun);
}

} // namespace

Test(callerrequest, callFieldsAreParsed)
{
    const auto result
        = parse("POST",
                "/v1/programs/p7.1/calls",
                R"({"number": 3, "service": "planner", "input": {"a": 1}, "stream": true})");
    cr_assert(result.has_value());
    const auto &call = std::get<CallerApi::SubmitCallRequest>(result.value());
    cr_assert_str_eq(call.program.text().c_str(), "p7.1");
    cr_assert_eq(call.number.value(), 3U);
    cr_assert_str_eq(call.input.c_str(), R"({"a":1})");
    cr_assert(call.isStream);
}

Test(callerrequest, streamFlagDoesNotChangeBodyHash)
{
    const auto plain
        = parse("POST", "/v1/programs/p/calls", R"({"number": 1, "service": "s", "input": "x"})");
    const auto stream = parse("POST",
                              "/v1/programs/p/calls",
                              R"({"input": "x", "number": 1, "service": "s", "stream": true})");
    const auto other
        = parse("POST", "/v1/programs/p/calls", R"({"number": 1, "service": "s", "input": "y"})");
    const auto hash = [](const Base::Result<CallerRequest> &request) {
        return std::get<CallerApi::SubmitCallRequest>(request.value()).bodyHash;
    };
    cr_assert(hash(plain) == hash(stream));
    cr_assert(hash(plain) != hash(other));
}

Test(callerrequest, malformedBodiesAreRefused)
{
    const char *calls = "/v1/programs/p/calls";
    assertRefused("POST", "/v1/programs", "{", ErrorCode::Malformed);
    assertRefused("POST", "/v1/programs", "[]", ErrorCode::Malformed);
    assertRefused("POST", "/v1/programs", "{}", ErrorCode::Malformed);
    assertRefused("POST", "/v1/programs", R"({"budget_tokens": -1})", ErrorCode::Malformed);
    assertRefused("POST", "/v1/programs", R"({"budget_tokens": 1, "x": 2})", ErrorCode::Malformed);
    assertRefused(
        "POST", calls, R"({"number": 0, "service": "s", "input": ""})", ErrorCode::Malformed);
    assertRefused("POST", calls, R"({"number": 1, "service": "s"})", ErrorCode::Malformed);
    assertRefused(
        "POST", calls, R"({"number": "1", "service": "s", "input": ""})", ErrorCode::Malformed);
    assertRefused("POST", "/v1/chat/completions", R"({"model": "m"})", ErrorCode::Malformed);
    assertRefused("PUT", "/v1/programs/p", "", ErrorCode::Malformed);
}

Test(callerrequest, largeBodiesAndUnknownPathsAreRefused)
{
    assertRefused("POST", "/v1/programs", std::string(1001, ' '), ErrorCode::TooLarge);
    assertRefused("GET", "/v1/nothing", "", ErrorCode::UnknownProgram);
    assertRefused("GET", "/v1/programs/", "", ErrorCode::UnknownProgram);
    assertRefused("GET", "/v1/programs/a/b", "", ErrorCode::UnknownProgram);
    assertRefused("GET", "/v1/services/", "", ErrorCode::UnknownProgram);
}

Test(callerrequest, plainServiceKeepsPathAndQuery)
{
    const auto result = parse("GET", "/v1/services/stock/item/7?size=2", "");
    const auto &plain = std::get<CallerApi::PlainServiceRequest>(result.value());
    cr_assert_str_eq(plain.service.text().c_str(), "stock");
    cr_assert_str_eq(plain.target.c_str(), "/item/7?size=2");
}

Test(responseformat, errorsNameStepPeerAndWhetherTheCallRan)
{
    const Base::Error error{.code = ErrorCode::OverRate,
                            .step = Base::Step::Admit,
                            .peer = "vm-2-1",
                            .ran = Base::Ran::NotRun,
                            .message = "over the rate",
                            .retryAfter = std::chrono::milliseconds(1500)};
    const auto answer = CallerApi::formatResponse(error, CallerApi::AnswerStyle::Json, {});
    cr_assert_eq(answer.status, 429);
    cr_assert(answer.retryAfter == error.retryAfter);
    cr_assert_str_eq(answer.body.c_str(),
                     R"({"error":{"code":"over_rate","message":"over the rate","peer":"vm-2-1",)"
                     R"("ran":"not_run","step":"admit"}})");
}

Test(responseformat, bytesThatAreNotUtf8AreReplaced)
{
    CallerApi::DoneReply done;
    done.turn.output = "a\xff z";
    const auto answer = CallerApi::formatResponse(done, CallerApi::AnswerStyle::Json, {});
    cr_assert(answer.body.find("a\xef\xbf\xbd z") != std::string::npos);
}
