#include <proxy/messageparser.h>

#include <criterion/criterion.h>

using namespace Proxy;

namespace {

constexpr auto request = MessageParser::Kind::Request;
constexpr auto response = MessageParser::Kind::Response;

struct Parsed
{
    ParseState state = ParseState::Empty;
    ParseError error = ParseError::None;
    std::string body;
    std::size_t used = 0;
    RequestHead requestHead;
    ResponseHead responseHead;
};

/// Feeds the bytes in pieces of the given size.
Parsed parse(MessageParser::Kind kind,
             const std::string &bytes,
             std::size_t piece,
             ParserLimits limits = {})
{
    MessageParser parser(kind, limits);
    Parsed result;
    while (result.used < bytes.size()) {
        const std::string_view rest = std::string_view(bytes).substr(result.used, piece);
        const std::size_t used = parser.feed(rest);
        result.used += used;
        result.body += parser.takeBody();
        const bool isOver
            = parser.state() == ParseState::Complete || parser.state() == ParseState::Failed;
        if (isOver || used == 0) {
            break;
        }
    }
    result.state = parser.state();
    result.error = parser.error();
    result.requestHead = parser.takeRequest();
    result.responseHead = parser.takeResponse();
    return result;
}

ParseState stateOf(const std::string &bytes)
{
    const Parsed whole = parse(request, bytes, bytes.size());
    const Parsed single = parse(request, bytes, 1);
    cr_assert_eq(
        whole.state, single.state, "the result must not depend on how the bytes are split");
    return whole.state;
}

std::string chunkedResponse(const std::string &field, const std::string &trailer)
{
    return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + field + "\r\n1\r\nx\r\n0\r\n"
           + trailer + "\r\n";
}

const std::string start = "POST /a/b?c=1 HTTP/1.1\r\nHost: x.example\r\n";

} // namespace

Test(messageparser, parsesARequestWithContentLength)
{
    const std::string text = start + "Content-Length: 5\r\n\r\nhello";
    for (const std::size_t piece : {std::size_t{1}, std::size_t{7}, text.size()}) {
        const Parsed parsed = parse(request, text + "GET", piece);
        cr_assert_eq(parsed.state, ParseState::Complete);
        cr_assert_eq(parsed.body, "hello");
        cr_assert_eq(parsed.used, text.size(), "the rest belongs to the next request");
        cr_assert_eq(parsed.requestHead.method, "POST");
        cr_assert_eq(parsed.requestHead.target, "/a/b?c=1");
        cr_assert_eq(parsed.requestHead.path(), "/a/b");
    }
}

Test(messageparser, parsesAChunkedRequest)
{
    const std::string text
        = start + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nT: v\r\n\r\n";
    for (const std::size_t piece : {std::size_t{1}, std::size_t{5}, text.size()}) {
        const Parsed parsed = parse(request, text, piece);
        cr_assert_eq(parsed.state, ParseState::Complete);
        cr_assert_eq(parsed.body, "abcde");
        cr_assert(!parsed.requestHead.headers.contains("T"), "trailers apply to one hop only");
    }
}

Test(messageparser, treatsARequestWithinABodyAsBody)
{
    const std::string inner = "GET /other/ HTTP/1.1\r\nHost: x.example\r\n\r\n";
    const std::string text
        = start + "Content-Length: " + std::to_string(inner.size()) + "\r\n\r\n" + inner;
    const Parsed parsed = parse(request, text, text.size());
    cr_assert_eq(parsed.state, ParseState::Complete);
    cr_assert_eq(parsed.body, inner);
}

Test(messageparser, rejectsMessagesThatHopsMayInterpretDifferently)
{
    const std::vector<std::string> bad{
        start + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        start + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
        start + "Content-Length: 3, 4\r\n\r\nabcd",
        start + "Content-Length: -1\r\n\r\n",
        start + "Content-Length: 1x\r\n\r\na",
        start + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        start + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        start + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
        start + "Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n",
        start + "Transfer-Encoding: chunked\r\n\r\n-1\r\n\r\n",
        start + "Transfer-Encoding: chunked\r\n\r\n3\r\nabcd\r\n0\r\n\r\n",
        start + "X-A: b\r\n folded\r\n\r\n",
        start + "X-A : b\r\n\r\n",
        start + " X-A: b\r\n\r\n",
        "POST / HTTP/1.1\nHost: x\n\n",
        start + "X-A: b\nX-B: c\r\n\r\n",
        start + "X-A: b\rc\r\n\r\n",
        start + std::string("X-A: b\0c\r\n\r\n", 12),
        start + "Host: y.example\r\n\r\n",
        "GET / HTTP/1.1\r\nX-A: b\r\n\r\n",
        "GET / HTTP/2.0\r\nHost: x\r\n\r\n",
        "POST / HTTP/1.0\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "CONNECT x:80 HTTP/1.1\r\nHost: x\r\n\r\n",
        "NONSENSE\r\n\r\n",
    };
    for (const std::string &text : bad) {
        cr_assert_eq(stateOf(text), ParseState::Failed, "accepted: %s", text.c_str());
    }
}

Test(messageparser, ignoresProtocolUpgrades)
{
    const std::string text
        = "GET / HTTP/1.1\r\nHost: x\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n\r\n";
    const Parsed parsed = parse(request, text + "PRI", text.size() + 3);
    cr_assert_eq(parsed.state, ParseState::Complete);
    cr_assert_eq(parsed.used, text.size());
}

Test(messageparser, limitsHeadAndBodySize)
{
    const ParserLimits limits{200, 10};
    const std::string large(300, 'x');
    cr_assert_eq(parse(request, start + "X-A: " + large + "\r\n\r\n", 50, limits).error,
                 ParseError::HeadTooLarge);
    cr_assert_eq(parse(request, start + "X-A: " + large, 50, limits).error,
                 ParseError::HeadTooLarge);
    cr_assert_eq(parse(request, start + "Content-Length: 11\r\n\r\n", 50, limits).error,
                 ParseError::BodyTooLarge);
    cr_assert_eq(parse(request,
                       start + "Transfer-Encoding: chunked\r\n\r\nb\r\nabcdefghijk\r\n0\r\n\r\n",
                       50,
                       limits)
                     .error,
                 ParseError::BodyTooLarge);
}

/// Guards against bytes of no meaning without end, and against bounds that depend on how the bytes
/// are split.
Test(messageparser, limitsEmptyLinesExtensionsAndTrailers)
{
    const std::string chunked = start + "Transfer-Encoding: chunked\r\n\r\n";
    const std::string longExtension = ";" + std::string(5'000, 'x');
    const std::string shortExtension = ";" + std::string(100, 'x');
    std::string emptyLines;
    std::string extensions;
    std::string trailers;
    for (int i = 0; i < 100; ++i) {
        emptyLines += "\r\n";
        extensions += "1" + shortExtension + "\r\nx\r\n";
        trailers += "Name: " + shortExtension + "\r\n";
    }
    const std::vector<std::string> excessive{
        emptyLines + chunked + "0\r\n\r\n",
        chunked + "1" + longExtension + "\r\nx\r\n0\r\n\r\n",
        chunked + extensions + "0\r\n\r\n",
        chunked + "1\r\nx\r\n0\r\n" + trailers + "\r\n",
    };
    for (const std::string &text : excessive) {
        cr_assert_eq(stateOf(text), ParseState::Failed, "accepted: %s", text.c_str());
        cr_assert_eq(parse(request, text, 7).error, ParseError::Malformed);
    }
    // A chunk allows for its own framing, whatever the number of chunks.
    std::string smallChunks;
    for (int i = 0; i < 5'000; ++i) {
        smallChunks += "1;a=b\r\nx\r\n";
    }
    cr_assert_eq(stateOf("\r\n\r\n" + chunked + smallChunks + "0\r\nA: b\r\n\r\n"),
                 ParseState::Complete);
}

/// Guards against bytes in fields that no field may hold, or that two hops read differently.
Test(messageparser, rejectsEachByteThatNoFieldMayHold)
{
    const std::string tokenMarks = "!#$%&'*+-.^_`|~";
    for (int byte = 0; byte < 256; ++byte) {
        const auto c = static_cast<char>(byte);
        const bool isToken
            = byte < 128 && (std::isalnum(byte) || tokenMarks.find(c) != tokenMarks.npos);
        const bool isControl = (byte < 0x20 && c != '\t') || byte == 0x7f;
        const std::string name = std::string("A") + c + "B: v\r\n";
        const std::string value = std::string("A: v") + c + "w\r\n";
        for (const std::size_t piece : {std::size_t(1), std::size_t(1000)}) {
            for (const bool isTrailer : {false, true}) {
                const auto stateWith = [&](const std::string &line) {
                    const std::string text
                        = isTrailer ? chunkedResponse({}, line) : chunkedResponse(line, {});
                    return parse(response, text, piece).state;
                };
                const bool isNameAccepted = stateWith(name) == ParseState::Complete;
                cr_expect_eq(isNameAccepted, isToken || c == ':', "byte %d in a name", byte);
                const bool isValueAccepted = stateWith(value) == ParseState::Complete;
                cr_expect_eq(isValueAccepted, !isControl, "byte %d in a value", byte);
            }
        }
    }
}

/// Guards against a chunked body whose parts do not fit together and that is read as a whole one.
Test(messageparser, rejectsChunksThatDoNotEndWhereTheyShould)
{
    const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (const std::string chunks : {"5\r\nhelloXX0\r\n\r\n",
                                     "5\r\nhello\rX0\r\n\r\n",
                                     "5\r\nhelloX\n0\r\n\r\n",
                                     "5\r\nhello\n0\r\n\r\n",
                                     "5\rXhello\r\n0\r\n\r\n",
                                     "5\nhello\r\n0\r\n\r\n",
                                     "5;a\nb\r\nhello\r\n0\r\n\r\n",
                                     "5;a\x01\r\nhello\r\n0\r\n\r\n",
                                     "5\r\nhello\r\n0\rX\r\n",
                                     "5\r\nhello\r\n0\r\n\rX",
                                     "5\r\nhello\r\n0\r\n\n"}) {
        for (const std::size_t piece : {std::size_t(1), std::size_t(1000)}) {
            cr_expect_neq(parse(response, head + chunks, piece).state,
                          ParseState::Complete,
                          "accepted: %s",
                          chunks.c_str());
        }
    }
    for (const std::string chunks : {"5\r\nhello\r\n0\r\n\r\n",
                                     "5 \r\nhello\r\n0\r\n\r\n",
                                     "005;a=\"b c\";d\r\nhello\r\n000\r\n\r\n",
                                     "2\r\nhe\r\n3\r\nllo\r\n0;x\r\nA: b\r\n\r\n"}) {
        for (const std::size_t piece : {std::size_t(1), std::size_t(1000)}) {
            const Parsed parsed = parse(response, head + chunks, piece);
            cr_expect_eq(parsed.state, ParseState::Complete, "rejected: %s", chunks.c_str());
            cr_expect_eq(parsed.body, "hello");
        }
    }
}

Test(messageparser, detectsTruncatedResponses)
{
    MessageParser whole(response);
    whole.feed("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nabc");
    whole.finish();
    cr_assert_eq(whole.state(), ParseState::Complete);
    cr_assert_eq(whole.framing().kind, BodyFraming::UntilClose);
    cr_assert_eq(whole.takeBody(), "abc");

    for (const char *cut : {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc",
                            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
                            "HTTP/1.1 200 OK\r\nContent-"}) {
        MessageParser parser(response);
        parser.feed(cut);
        parser.finish();
        cr_assert_eq(parser.state(), ParseState::Failed, "taken as complete: %s", cut);
    }
}

Test(messageparser, completesResponsesWithoutABody)
{
    MessageParser head(response);
    head.expectNoBody();
    head.feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n");
    cr_assert_eq(head.state(), ParseState::Complete);
    cr_assert_eq(parse(response, "HTTP/1.1 204 No Content\r\n\r\n", 100).state,
                 ParseState::Complete);
    cr_assert_eq(parse(response, "HTTP/1.1 304 Not Modified\r\n\r\n", 100).state,
                 ParseState::Complete);
}

Test(messageparser, leavesBytesAfterAResponse)
{
    const std::string text = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    const Parsed parsed = parse(response, text + "HTTP/1.1 200 OK\r\n", 1000);
    cr_assert_eq(parsed.state, ParseState::Complete);
    cr_assert_eq(parsed.used, text.size());
}

Test(httphead, removesHopByHopFields)
{
    HeaderFields headers;
    headers.add("Connection", "close, X-Hop");
    headers.add("x-hop", "1");
    headers.add("Keep-Alive", "timeout=3");
    headers.add("Transfer-Encoding", "chunked");
    headers.add("TE", "trailers");
    headers.add("Upgrade", "h2c");
    headers.add("X-Stays", "1");
    removeConnectionFields(headers);
    cr_assert_eq(headers.all().size(), 1);
    cr_assert(headers.contains("x-stays"));
}
