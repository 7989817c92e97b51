#include "relayfixture.h"

#include <proxy/messageparser.h>

#include <map>

namespace {

const std::string namedHead = "\r\nRequest-Id: r1\r\nProof: p\r\n";
const std::string foreignHead = "HTTP/1.1 200 OK\r\nRequest-Id: r9\r\nProof: p\r\n";
const std::string refusal
    = "HTTP/1.1 503 Busy\r\nRequest-Id: r1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
const std::string streamType = "Content-Type: text/event-stream\r\n";

/// What a server sends if its response is not cut off.
struct Shape
{
    std::string name;
    /// Up to the end of the head of the final response.
    std::string head;
    std::string body;
    std::string content;
    int status = 200;
    /// The end of the connection completes the response.
    bool isUnframed = false;
    /// The response belongs to another request.
    bool isForeign = false;
    std::string method = "POST";
};

const Shape withLength
    = {"length", "HTTP/1.1 200 OK" + namedHead + "Content-Length: 5\r\n\r\n", "howdy", "howdy"};
const Shape chunked = {"chunked",
                       "HTTP/1.1 200 OK" + namedHead + "Transfer-Encoding: chunked\r\n\r\n",
                       "2\r\nho\r\n3\r\nwdy\r\n0\r\n\r\n",
                       "howdy"};
const Shape unframed
    = {"unframed", "HTTP/1.1 200 OK" + namedHead + "\r\n", "howdy", "howdy", 200, true};
const Shape foreignUnframed
    = {"foreign unframed", foreignHead + "\r\n", "other", "", 200, true, true};

const std::vector<Shape> plainShapes = {
    withLength,
    chunked,
    unframed,
    {"100, length", "HTTP/1.1 100 Continue\r\n\r\n" + withLength.head, "howdy", "howdy"},
    {"103, unframed",
     "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + unframed.head,
     "howdy",
     "howdy",
     200,
     true},
    {"204", "HTTP/1.1 204 No Content" + namedHead + "\r\n", "", "", 204},
    {"304", "HTTP/1.1 304 Not Modified" + namedHead + "\r\n", "", "", 304},
    {"304 with length",
     "HTTP/1.1 304 Not Modified" + namedHead + "Content-Length: 5\r\n\r\n",
     "",
     "",
     304},
    {"500", "HTTP/1.1 500 No" + namedHead + "Content-Length: 2\r\n\r\n", "no", "no", 500},
    {"HTTP/1.0, unframed", "HTTP/1.0 200 OK" + namedHead + "\r\n", "howdy", "howdy", 200, true},
    {"HTTP/1.0, length",
     "HTTP/1.0 200 OK" + namedHead + "Content-Length: 5\r\n\r\n",
     "howdy",
     "howdy"},
    {"HEAD", withLength.head, "", "", 200, false, false, "HEAD"},
    {"HEAD, unframed", unframed.head, "", "", 200, false, false, "HEAD"},
    {"foreign, length",
     foreignHead + "Content-Length: 5\r\n\r\nother" + withLength.head,
     "howdy",
     "howdy"},
    {"foreign, 100, unframed",
     foreignHead + "Content-Length: 5\r\n\r\notherHTTP/1.1 100 Continue\r\n\r\n" + unframed.head,
     "howdy",
     "howdy",
     200,
     true},
    foreignUnframed,
    {"foreign chunked",
     foreignHead + "Transfer-Encoding: chunked\r\n\r\n5\r\nother\r\n0\r\n\r\n" + withLength.head,
     "howdy",
     "howdy"},
    {"status 099", "HTTP/1.1 099 Odd" + namedHead + "\r\n", "howdy", "", 200, true, true},
    {"103 with a body",
     "HTTP/1.1 103 Early Hints\r\nContent-Length: 5\r\n\r\nother" + withLength.head,
     "howdy",
     "",
     200,
     false,
     true},
    {"foreign HTTP/1.0",
     "HTTP/1.0 200 OK\r\nRequest-Id: r9\r\nProof: p\r\nContent-Length: 5\r\n\r\n",
     "other",
     "",
     200,
     false,
     true},
};

/// Streams of which the server sends the events from \a first to the third one.
std::vector<Shape> streamShapes(int first)
{
    std::string chunks;
    std::string events;
    for (int id = first; id <= 3; ++id) {
        chunks += chunk(event(id));
        events += event(id);
    }
    const std::string head = "HTTP/1.1 200 OK" + namedHead + streamType;
    return {{"stream, chunked", head + "Transfer-Encoding: chunked\r\n\r\n", chunks + "0\r\n\r\n"},
            {"stream, unframed", head + "\r\n", events, "", 200, true},
            {"103, stream, unframed",
             "HTTP/1.1 103 Early Hints\r\n\r\n" + head + "\r\n",
             events,
             "",
             200,
             true},
            {"foreign stream, unframed",
             foreignHead + streamType + "\r\n",
             events,
             "",
             200,
             true,
             true},
            foreignUnframed};
}

enum class Ending {
    Closed,
    Reset
};

/// What the first server did before the second one sends the response that is cut off.
enum class Earlier {
    Nothing,
    Refused,
    BrokenOff
};

struct Variant
{
    Ending ending = Ending::Closed;
    Earlier earlier = Earlier::Nothing;
    /// The response comes on a connection that had one before.
    bool isKept = false;
    std::string path = "/once/";
    std::string version = "1.1";
    /// Every byte, or those around the ends of lines.
    bool isExhaustive = true;
};

std::string describe(const Shape &shape, const Variant &variant, const char *way)
{
    const std::array<const char *, 3> earlier{"first attempt", "after a refusal", "after a break"};
    return shape.name + ", " + (variant.ending == Ending::Closed ? "closed" : "reset") + ", "
           + earlier.at(static_cast<std::size_t>(variant.earlier))
           + (variant.isKept ? ", kept" : ", new") + ", " + variant.path + ", HTTP/"
           + variant.version + ", " + way;
}

/// The same addresses for all fixtures of a test: thousands of ports would slow the system down.
const FixtureAddresses &fixedAddresses()
{
    static const FixtureAddresses addresses{freeEndpoint<asio::ip::tcp>(),
                                            freeEndpoint<asio::ip::tcp>(),
                                            freeEndpoint<asio::ip::tcp>(),
                                            freeEndpoint<asio::ip::tcp>()};
    return addresses;
}

using Servers = std::vector<Dispatch::ListedServer>;

/// Places the second of two servers in another availability zone than the proxy.
Servers selectServers(Servers both, bool hasFirst, bool hasSecond)
{
    both.back().server.zone = Base::ZoneId("elsewhere");
    if (!hasSecond) {
        both.pop_back();
    }
    if (!hasFirst) {
        both.erase(both.begin());
    }
    return both;
}

class DirectFixture : public Fixture
{
public:
    static constexpr const char *way = "direct";
    static constexpr bool isRelayed = false;

    DirectFixture()
        : Fixture({}, fixedAddresses())
    {
        configure();
    }
    ~DirectFixture() { resetCaller(); }

    void list(bool hasFirst, bool hasSecond)
    {
        passThrough().serversChanged(
            selectServers({listed("one", first), listed("two", second)}, hasFirst, hasSecond));
    }
};

class RelayedFixture : public RelayFixture
{
public:
    static constexpr const char *way = "relay";
    static constexpr bool isRelayed = true;

    RelayedFixture()
        : RelayFixture(unreachable(), fixedAddresses())
    {
        relay().setPeers([](const auto &) { return true; });
    }
    ~RelayedFixture() { resetCaller(); }

    void list(bool hasFirst, bool hasSecond)
    {
        Servers servers
            = selectServers({listed("one", first), listed("two", second)}, hasFirst, hasSecond);
        for (auto &each : servers) {
            each.server.address = unreachable();
        }
        passThrough().serversChanged(servers);
    }

private:
    static const std::string &unreachable()
    {
        static const std::string address = refusingAddress();
        return address;
    }
};

struct Received
{
    struct Response
    {
        int status = 0;
        std::string id;
        std::string content;
    };

    std::vector<Response> whole;
    /// Bytes behind the last whole response.
    std::string rest;
};

/// Reads the bytes as a caller would.
Received parseReceived(const Fixture &fixture, bool isHeadMethod)
{
    Received result;
    std::string_view bytes = fixture.received;
    const bool isEnded = fixture.isClosed && fixture.closeError == asio::error::eof;
    for (;;) {
        MessageParser parser(MessageParser::Kind::Response);
        if (isHeadMethod) {
            parser.expectNoBody();
        }
        const std::size_t used = parser.feed(bytes);
        if (isEnded && parser.state() == ParseState::Body) {
            parser.finish();
        }
        if (parser.state() != ParseState::Complete) {
            result.rest = bytes;
            return result;
        }
        bytes.remove_prefix(used);
        const auto id = parser.response().headers.find("Request-Id");
        result.whole.push_back(
            {parser.response().status, std::string(id.value_or("")), parser.takeBody()});
    }
}

std::string requestText(const std::string &method,
                        const std::string &path,
                        const std::string &version,
                        const std::string &id)
{
    return method + " " + path + " HTTP/" + version
           + "\r\nHost: x.example\r\nAuthorization: Bearer secret\r\nRequest-Id: " + id
           + "\r\nContent-Length: 4\r\n\r\nbody";
}

std::string eventsFrom(int first)
{
    std::string result;
    for (int id = first; id <= 3; ++id) {
        result += event(id);
    }
    return result;
}

/// Continues a stream after the event that the request names, and responds to others at once.
std::string respondAsFallback(const std::string &request)
{
    if (request.find("/resumable/") == std::string::npos) {
        return "HTTP/1.1 200 OK" + namedHead + "Content-Length: 5\r\n\r\nhello";
    }
    const std::string name = "Last-Event-Id: ";
    const std::size_t at = request.find(name);
    const int last = at == std::string::npos ? 0 : std::stoi(request.substr(at + name.size()));
    return "HTTP/1.1 200 OK" + namedHead + streamType + "Transfer-Encoding: chunked\r\n\r\n"
           + chunk(eventsFrom(last + 1)) + "0\r\n\r\n";
}

/// The decoded body of the final response.
std::string contentOf(const Shape &shape, std::size_t cut)
{
    if (cut <= shape.head.size() || shape.isForeign) {
        return {};
    }
    std::string content = shape.body.substr(0, cut - shape.head.size());
    const std::string finalHead = shape.head.substr(shape.head.rfind("HTTP/1."));
    if (finalHead.find("chunked") != std::string::npos) {
        MessageParser parser(MessageParser::Kind::Response);
        parser.feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + content);
        content = parser.takeBody();
    }
    return content;
}

bool isStream(const Variant &variant)
{
    return variant.path == "/resumable/" || variant.path == "/stream/";
}

std::string wholeEvents(const std::string &content)
{
    const std::size_t end = content.rfind("\n\n");
    return end == std::string::npos ? std::string() : content.substr(0, end + 2);
}

bool isRepeatable(const Variant &variant)
{
    return variant.path == "/safe/" || variant.path == "/resumable/";
}

/// What a caller gets.
struct Outcome
{
    /// 0 if the response is cut off.
    int status = 0;
    std::string content;

    bool operator==(const Outcome &) const = default;
};

const Outcome cutOff = {};
const Outcome broken = {502, ""};

Outcome outcomeOf(const Fixture &fixture, bool isHeadMethod)
{
    const Received received = parseReceived(fixture, isHeadMethod);
    if (received.whole.empty()) {
        const bool isUnframed = fixture.received.find("chunked") == std::string::npos;
        const bool isReset = fixture.closeError == asio::error::connection_reset;
        return isUnframed && !isReset ? Outcome{-1, "not reset"} : cutOff;
    }
    const Received::Response &response = received.whole.front();
    if (received.whole.size() > 1 || !received.rest.empty()) {
        return {-1, "more than one response"};
    }
    if (response.status == 502) {
        return broken;
    }
    return response.id == "r1" ? Outcome{response.status, response.content}
                               : Outcome{-1, "response to another request"};
}

/// The response if it is not whole. The server's head may have been passed on, or be lost on the
/// way.
Outcome brokenOutcome(const Shape &shape, const Variant &variant, std::size_t cut, bool isHeadRead)
{
    const bool isFirst = variant.earlier == Earlier::Nothing;
    if (!isStream(variant)) {
        const std::string repeated = shape.method == "HEAD" ? "" : "hello";
        return isFirst && isRepeatable(variant) ? Outcome{200, repeated} : broken;
    }
    const bool isBegun = isHeadRead || variant.earlier == Earlier::BrokenOff;
    const bool hasEvents = !wholeEvents(contentOf(shape, cut)).empty();
    if (isRepeatable(variant) && isFirst && (hasEvents || !isBegun)) {
        return {200, eventsFrom(1)};
    }
    return isBegun ? cutOff : broken;
}

std::vector<Outcome> expectedOutcomes(const Shape &shape,
                                      const Variant &variant,
                                      std::size_t cut,
                                      bool isRelayed)
{
    const bool isReset = variant.ending == Ending::Reset;
    const std::string begun
        = isStream(variant) && variant.earlier == Earlier::BrokenOff ? event(1) : "";
    const std::string content = contentOf(shape, cut);
    const bool isAllSent = cut == shape.head.size() + shape.body.size();
    const bool hasHead = cut >= shape.head.size() && !shape.isForeign;
    const bool isEnd = !isReset && !isRelayed && hasHead
                       && (!isStream(variant) || wholeEvents(content) == content);
    const bool isWhole = shape.isUnframed ? isEnd : isAllSent && !shape.isForeign;
    std::vector<Outcome> outcomes;
    if (isWhole) {
        outcomes.push_back({shape.status, begun + content});
    }
    if (!isWhole || isReset) {
        outcomes.push_back(brokenOutcome(shape, variant, cut, hasHead));
    }
    if (isReset) {
        outcomes.push_back(brokenOutcome(shape, variant, cut, false));
        outcomes.push_back(brokenOutcome(shape, variant, 0, hasHead));
    }
    return outcomes;
}

/// Checks one response that is cut off; returns what is wrong with what the caller gets.
template<typename FixtureType>
std::string checkCut(const Shape &shape, const Variant &variant, std::size_t cut)
{
    FixtureType fixture;
    const bool isFirst = variant.earlier == Earlier::Nothing;
    ScriptedServer &tested = isFirst ? fixture.first : fixture.second;
    ScriptedServer &other = isFirst ? fixture.second : fixture.first;
    ScriptedServer::Script script;
    if (variant.isKept) {
        script.responses.push_back(okResponse);
    }
    const std::string text = shape.head + shape.body;
    script.responses.push_back(text.substr(0, cut));
    script.closesAfterwards = variant.ending == Ending::Closed;
    script.resetsAfterwards = variant.ending == Ending::Reset;
    tested.add(script);
    if (variant.isKept) {
        fixture.list(isFirst, !isFirst);
        fixture.request("/once/", "r0");
        fixture.awaitResponse("hello");
        fixture.runUntil([&] { return fixture.passThrough().activeRequests() == 0; }, "r0 ends");
        fixture.received.clear();
    }
    if (variant.earlier == Earlier::Refused) {
        other.add({{refusal}});
    } else if (variant.earlier == Earlier::BrokenOff && isStream(variant)) {
        other.add({{streamHead + chunk(event(1))}, true});
    } else if (variant.earlier == Earlier::BrokenOff) {
        const bool isHead = shape.method == "HEAD";
        other.add({{isHead ? "HTTP/1.1 200 OK" + namedHead : withLength.head + "how"}, true});
    } else {
        other.setResponder(&respondAsFallback);
    }
    const bool isHead = shape.method == "HEAD";
    fixture.send(requestText(shape.method, variant.path, variant.version, "r1"));
    // The first attempt is made at the server that is listed alone, and no connection is lost.
    const bool isSecondKept = variant.isKept && !isFirst;
    fixture.list(true, isSecondKept);
    const std::size_t before = fixture.first.requests().size();
    fixture.runUntil([&] { return fixture.first.requests().size() > before; }, "the first attempt");
    fixture.list(true, true);
    fixture.runUntil(
        [&] { return fixture.isClosed || !parseReceived(fixture, isHead).whole.empty(); },
        "the response ends");
    const std::size_t runs = tested.requests().size() - (variant.isKept ? 1 : 0);
    if (runs > 1 || (!isRepeatable(variant) && isFirst && !other.requests().empty())) {
        return "the request ran twice";
    }
    const Outcome outcome = outcomeOf(fixture, isHead);
    for (const Outcome &expected : expectedOutcomes(shape, variant, cut, FixtureType::isRelayed)) {
        if (outcome == expected) {
            return {};
        }
    }
    return "received " + fixture.received;
}

/// Every byte of the response, or those around the ends of its lines.
std::vector<std::size_t> cutsOf(const Shape &shape, bool isExhaustive)
{
    const std::string text = shape.head + shape.body;
    std::vector<std::size_t> cuts;
    for (std::size_t cut = 0; cut <= text.size(); ++cut) {
        const std::size_t from = cut < 1 ? 0 : cut - 1;
        const bool isNearLineEnd = text.substr(from, 2).find('\n') != std::string::npos;
        if (isExhaustive || cut == 0 || cut + 1 >= text.size() || isNearLineEnd) {
            cuts.push_back(cut);
        }
    }
    return cuts;
}

/// Checks all cuts of the shapes and reports the wrong ones together.
template<typename FixtureType>
void checkCuts(const std::vector<Shape> &shapes, const std::vector<Variant> &variants)
{
    std::map<std::string, std::string> problems;
    for (const Shape &shape : shapes) {
        for (const Variant &variant : variants) {
            for (const std::size_t cut : cutsOf(shape, variant.isExhaustive)) {
                const std::string problem = checkCut<FixtureType>(shape, variant, cut);
                if (!problem.empty()) {
                    std::string &entry = problems[describe(shape, variant, FixtureType::way)];
                    entry += (entry.empty() ? problem + "\n  after bytes: " : ", ")
                             + std::to_string(cut) + "/" + std::to_string(shape.head.size());
                }
            }
        }
    }
    std::string text;
    for (const auto &[where, problem] : problems) {
        text.append("\n").append(where).append(": ").append(problem);
    }
    cr_expect(problems.empty(), "%s", text.c_str());
}

std::vector<Variant> variantsOf(const std::vector<Ending> &endings,
                                const std::vector<Earlier> &earlier,
                                const std::vector<std::string> &paths,
                                const std::vector<std::string> &versions,
                                bool isKept,
                                bool isExhaustive)
{
    std::vector<Variant> variants;
    for (const Ending ending : endings) {
        for (const Earlier before : earlier) {
            for (const std::string &path : paths) {
                for (const std::string &version : versions) {
                    // Only requests that may be repeated go on after a response that broke off.
                    if (before != Earlier::BrokenOff || path == "/safe/" || path == "/resumable/") {
                        variants.push_back({ending, before, isKept, path, version, isExhaustive});
                    }
                }
            }
        }
    }
    return variants;
}

const std::vector<Ending> endings = {Ending::Closed, Ending::Reset};
const std::vector<Earlier> histories = {Earlier::Nothing, Earlier::Refused, Earlier::BrokenOff};

} // namespace

/// Guards against a response that is cut off and looks whole (MIXED, ORDER), or that lets a request
/// run twice (TWICE).
Test(truncatedresponses, aFirstResponseThatIsCutOffIsNotWhole)
{
    checkCuts<DirectFixture>(
        plainShapes,
        variantsOf(
            {Ending::Closed}, {Earlier::Nothing}, {"/once/", "/safe/"}, {"1.1"}, false, true));
}

/// Guards against what was kept of an earlier attempt and is sent as the response.
Test(truncatedresponses, aResponseAfterARefusalThatIsCutOffIsNotWhole)
{
    checkCuts<DirectFixture>(
        plainShapes,
        variantsOf({Ending::Closed}, {Earlier::Refused}, {"/once/"}, {"1.1"}, false, true));
}

/// Guards against the same after a response that broke off.
Test(truncatedresponses, aRepeatedResponseThatIsCutOffIsNotWhole)
{
    checkCuts<DirectFixture>(
        plainShapes,
        variantsOf({Ending::Closed}, {Earlier::BrokenOff}, {"/safe/"}, {"1.1"}, false, true));
}

/// Guards against the same on kept connections, for resets, and for callers with HTTP/1.0.
Test(truncatedresponses, aResponseOnAKeptConnectionThatIsCutOffIsNotWhole)
{
    checkCuts<DirectFixture>(
        plainShapes,
        variantsOf({Ending::Closed}, histories, {"/once/", "/safe/"}, {"1.0"}, true, false));
}

Test(truncatedresponses, aResponseThatIsResetIsNotWhole)
{
    checkCuts<DirectFixture>(
        plainShapes,
        variantsOf({Ending::Reset}, histories, {"/once/", "/safe/"}, {"1.1"}, false, false));
}

/// Guards against the same through the relay of another daemon.
Test(truncatedresponses, aResponseThroughARelayThatIsCutOffIsNotWhole)
{
    checkCuts<RelayedFixture>(
        plainShapes, variantsOf(endings, histories, {"/once/", "/safe/"}, {"1.1"}, false, false));
}

Test(truncatedresponses, aResponseOnAKeptRelayConnectionThatIsCutOffIsNotWhole)
{
    checkCuts<RelayedFixture>(
        plainShapes,
        variantsOf({Ending::Closed}, {Earlier::Refused}, {"/once/"}, {"1.1"}, true, false));
}

/// Guards against a stream that is cut off and looks whole to its caller (ORDER).
Test(truncatedresponses, aStreamThatIsCutOffIsNotWhole)
{
    for (const Earlier earlier : histories) {
        const int first = earlier == Earlier::BrokenOff ? 2 : 1;
        checkCuts<DirectFixture>(
            streamShapes(first),
            variantsOf(
                {Ending::Closed}, {earlier}, {"/stream/", "/resumable/"}, {"1.1"}, false, true));
    }
}

Test(truncatedresponses, aStreamThatIsCutOffIsResetForCallersWithHttp10)
{
    for (const Earlier earlier : histories) {
        const int first = earlier == Earlier::BrokenOff ? 2 : 1;
        checkCuts<DirectFixture>(
            streamShapes(first),
            variantsOf(endings, {earlier}, {"/stream/", "/resumable/"}, {"1.0"}, true, false));
    }
}

Test(truncatedresponses, aStreamThroughARelayThatIsCutOffIsNotWhole)
{
    for (const Earlier earlier : histories) {
        const int first = earlier == Earlier::BrokenOff ? 2 : 1;
        checkCuts<RelayedFixture>(
            streamShapes(first),
            variantsOf(endings, {earlier}, {"/stream/", "/resumable/"}, {"1.1"}, false, false));
    }
}

/// Guards against a response that takes the place of the next one on the caller's connection.
Test(truncatedresponses, thePipelinedRequestAfterAResponseThatIsCutOffGetsItsOwn)
{
    for (const Shape &shape : {withLength, unframed, foreignUnframed}) {
        for (const std::size_t cut : cutsOf(shape, true)) {
            DirectFixture fixture;
            const std::string text = shape.head + shape.body;
            fixture.first.add({{text.substr(0, cut)}, true});
            // The server is also connected to in order to see whether it crashed.
            fixture.first.add({{okResponse}});
            fixture.first.add({{okResponse}});
            fixture.list(true, false);
            fixture.send(requestText("POST", "/once/", "1.1", "r1")
                         + requestText("POST", "/once/", "1.1", "r2"));
            fixture.awaitResponse("hello");
            const std::vector<Received::Response> whole = parseReceived(fixture, false).whole;
            const Outcome outcome{whole.front().status, whole.front().content};
            const auto expected
                = expectedOutcomes(shape, {}, cut, DirectFixture::isRelayed).front();
            cr_assert_eq(whole.size(), 2, "%s", fixture.received.c_str());
            cr_assert(outcome.status == expected.status, "%s", fixture.received.c_str());
            cr_assert(outcome.status == 502 || outcome == expected, "%s", fixture.received.c_str());
            cr_assert_eq(whole.back().id, "r2");
        }
    }
}

/// Guards against a response that is passed on before its end, and is cut off and looks whole.
Test(truncatedresponses, aLargeResponseThatIsCutOffIsNotWhole)
{
    for (const Shape &shape : {withLength, chunked}) {
        const std::string text = shape.head + shape.body;
        for (std::size_t cut = shape.head.size(); cut < text.size(); ++cut) {
            PassThroughSettings settings;
            settings.bufferedResponseBytes = 2;
            Fixture fixture(settings, fixedAddresses());
            fixture.configure();
            fixture.listServers(false);
            fixture.first.add({{text.substr(0, cut)}, true});
            fixture.send(requestText("POST", "/once/", "1.1", "r1"));
            fixture.runUntil(
                [&] { return fixture.isClosed || !parseReceived(fixture, false).whole.empty(); },
                "the response ends");
            const bool isBegun = shape.name == "length" || contentOf(shape, cut).size() > 2;
            const Outcome outcome = outcomeOf(fixture, false);
            cr_assert(isBegun ? fixture.isClosed && parseReceived(fixture, false).whole.empty()
                              : outcome == broken,
                      "%s",
                      fixture.received.c_str());
            fixture.resetCaller();
        }
    }
}

/// Guards against a body behind a response that has none, which the caller reads as the start of
/// the next response (MIXED).
Test(truncatedresponses, aBodyOfAResponseThatHasNoneIsNotPassedOn)
{
    for (const std::string status : {"204 No Content", "304 Not Modified"}) {
        for (const std::string body :
             {"Content-Length: 5\r\n\r\nhowdy",
              "Transfer-Encoding: chunked\r\n\r\n5\r\nhowdy\r\n0\r\n\r\n"}) {
            DirectFixture fixture;
            std::string response = "HTTP/1.1 ";
            response.append(status).append(namedHead).append(body);
            fixture.first.add({{response}});
            fixture.first.add({{okResponse}});
            fixture.list(true, false);
            fixture.send(requestText("POST", "/once/", "1.1", "r1")
                         + requestText("POST", "/once/", "1.1", "r2"));
            fixture.awaitResponse("hello");
            const Received received = parseReceived(fixture, false);
            cr_assert_eq(received.whole.size(), 2, "%s", fixture.received.c_str());
            cr_assert_eq(received.whole.back().id, "r2", "%s", fixture.received.c_str());
            cr_assert_eq(fixture.first.connectionCount(), 2);
            const std::string head = fixture.received.substr(0, fixture.received.find("\r\n\r\n"));
            cr_assert(!status.starts_with("204")
                          || head.find("Content-Length") == std::string::npos,
                      "%s",
                      head.c_str());
        }
    }
}

/// Guards against a request that is sent, and counts as executed, on a connection that a relay has
/// not provided, and against bytes of a server that are lost before the first response.
Test(truncatedresponses, aRelayResponseThatIsNotWholeProvidesNoConnection)
{
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    std::vector<ScriptedServer::Script> scripts;
    for (std::size_t cut = 0; cut < head.size(); ++cut) {
        scripts.push_back({{head.substr(0, cut)}, true});
    }
    scripts.push_back({{"HTTP/1.1 200 OK\r\n\r\n"}, true});
    scripts.push_back({{head + foreignHead + "\r\n", okResponse}});
    for (const ScriptedServer::Script &script : scripts) {
        Fixture fixture({}, fixedAddresses());
        fixture.configure();
        ScriptedServer relay(fixture.context(), fixedAddresses().relay);
        relay.add(script);
        fixture.passThrough().setRelays({{Base::VmId("vm-2"), relay.endpoint(), {}}});
        fixture.listServers(false);
        fixture.first.crash();
        fixture.send(requestText("POST", "/once/", "1.1", "r1"));
        fixture.awaitResponse("\r\n\r\n");
        cr_expect(fixture.received.starts_with("HTTP/1.1 503"),
                  "%s after %s",
                  fixture.received.c_str(),
                  script.responses.front().c_str());
        cr_expect_eq(relay.requests().size(), 1U);
        fixture.resetCaller();
    }
}
