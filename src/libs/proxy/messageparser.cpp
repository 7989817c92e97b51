#include "messageparser.h"

#include "headcollector.h"

#include <base/httpsyntax.h>

#include <http_parser.h>

#include <algorithm>
#include <cstdint>
#include <utility>

namespace Proxy {

namespace {

constexpr std::string_view lineEnd = "\r\n";

/// Empty lines before a message; senders that use them write one or two.
constexpr std::size_t maxEmptyLineBytes = 64;

/// Chunk extensions and trailers, which are read and dropped. The bound of http_parser is 80 KB
/// for each chunk, and none for all chunks.
constexpr std::size_t maxFramingBytes = 4 * 1024;

/// A chunk allows for its size, its line ends and a short extension, and in proportion to its data
/// for a longer one. Long bodies stay possible, while the cost of framing stays proportional to
/// the data.
constexpr std::size_t framingBytesPerChunk = 16;
constexpr std::uint64_t framingBytesPerDataByte = 2;

/// Removes the first line and its end from the text, and returns the line.
std::string_view takeLine(std::string_view &text)
{
    const std::size_t end = std::min(text.find(lineEnd), text.size());
    const std::string_view line = text.substr(0, end);
    text.remove_prefix(std::min(end + lineEnd.size(), text.size()));
    return line;
}

/// Describes the first error in the fields of a head or in trailers; empty if they are valid.
std::string_view fieldsProblem(std::string_view lines)
{
    while (!lines.empty()) {
        const std::string_view line = takeLine(lines);
        const std::string_view problem = line.empty() ? "" : Base::fieldLineProblem(line);
        if (!problem.empty()) {
            return problem;
        }
    }
    return {};
}

/// Describes the first error in what comes before the data of a chunk; empty if it is valid. The
/// library accepts any bytes in the place of line ends.
std::string_view chunkFramingProblem(std::string_view framing, bool isAfterData)
{
    if (isAfterData) {
        if (!framing.starts_with(lineEnd)) {
            return "chunk without a line end";
        }
        framing.remove_prefix(lineEnd.size());
    }
    if (!framing.ends_with(lineEnd)) {
        return "chunk size without a line end";
    }
    framing.remove_suffix(lineEnd.size());
    return Base::hasControlCharacters(framing) ? "control character in a chunk extension" : "";
}

/// Responses of the other statuses end with their head, whatever it says about a body (RFC 9112,
/// section 6.3).
bool hasBodyByStatus(int status)
{
    return status >= 200 && status != 204 && status != 304;
}

} // namespace

class MessageParser::Private
{
public:
    Private(Kind kind, ParserLimits limits)
        : kind_(kind)
        , limits_(limits)
    {
        http_parser_settings_init(&settings_);
        settings_.on_url = &Private::onUrl;
        settings_.on_status = &Private::onStatus;
        settings_.on_header_field = &Private::onHeaderField;
        settings_.on_header_value = &Private::onHeaderValue;
        settings_.on_headers_complete = &Private::onHeadersComplete;
        settings_.on_body = &Private::onBody;
        settings_.on_chunk_header = &Private::onChunkHeader;
        settings_.on_message_complete = &Private::onMessageComplete;
        reset();
    }

    void reset();
    std::size_t collectHead(std::string_view bytes);
    void parseHead(const std::string &head);
    std::size_t execute(std::string_view bytes);
    std::size_t executeBody(std::string_view bytes);
    void endFraming(std::string_view problem);
    void allowFraming(std::uint64_t dataBytes);
    void fail(ParseError error, std::string problem);
    void checkFraming();

    static Private &self(http_parser *parser) { return *static_cast<Private *>(parser->data); }
    static int onUrl(http_parser *parser, const char *at, std::size_t size);
    static int onStatus(http_parser *parser, const char *at, std::size_t size);
    static int onHeaderField(http_parser *parser, const char *at, std::size_t size);
    static int onHeaderValue(http_parser *parser, const char *at, std::size_t size);
    static int onHeadersComplete(http_parser *parser);
    static int onBody(http_parser *parser, const char *at, std::size_t size);
    static int onChunkHeader(http_parser *parser);
    static int onMessageComplete(http_parser *parser);

    Kind kind_;
    ParserLimits limits_;
    http_parser_settings settings_{};
    http_parser parser_{};
    ParseState state_ = ParseState::Empty;
    ParseError error_ = ParseError::None;
    std::string problem_;
    HeadCollector head_;
    RequestHead request_;
    ResponseHead response_;
    Framing framing_;
    std::string body_;
    std::size_t bodySize_ = 0;
    std::size_t emptyLineBytes_ = 0;
    /// Bytes of a chunked body that are no data, beyond those that its chunks allow.
    std::size_t framingBytes_ = 0;
    /// What was read between the data of two chunks, or behind that of the last one.
    std::string framingText_;
    bool hasNoBody_ = false;
    bool isValueOpen_ = false;

    HeaderFields &headers()
    {
        return kind_ == Kind::Request ? request_.headers : response_.headers;
    }
};

void MessageParser::Private::reset()
{
    http_parser_init(&parser_, kind_ == Kind::Request ? HTTP_REQUEST : HTTP_RESPONSE);
    parser_.data = this;
    state_ = ParseState::Empty;
    error_ = ParseError::None;
    problem_.clear();
    // An assignment alone would keep the buffers.
    static_cast<void>(std::exchange(head_, {}));
    static_cast<void>(std::exchange(request_, {}));
    static_cast<void>(std::exchange(framingText_, {}));
    response_ = {};
    framing_ = {};
    body_.clear();
    bodySize_ = 0;
    emptyLineBytes_ = 0;
    framingBytes_ = 0;
    hasNoBody_ = false;
    isValueOpen_ = false;
}

void MessageParser::Private::fail(ParseError error, std::string problem)
{
    state_ = ParseState::Failed;
    error_ = error;
    problem_ = std::move(problem);
}

/// Collects the complete head before parsing it, so that it can be checked as it was sent.
std::size_t MessageParser::Private::collectHead(std::string_view bytes)
{
    std::size_t used = 0;
    if (state_ == ParseState::Empty) {
        // Empty lines before a message are allowed (RFC 9112, section 2.2).
        while (used < bytes.size() && (bytes[used] == '\r' || bytes[used] == '\n')) {
            ++used;
        }
        emptyLineBytes_ += used;
        if (emptyLineBytes_ > maxEmptyLineBytes) {
            fail(ParseError::Malformed, "empty lines before the message do not end");
            return used;
        }
        if (used == bytes.size()) {
            return used;
        }
        state_ = ParseState::Head;
    }
    used += head_.feed(bytes.substr(used), limits_.headBytes);
    switch (head_.state()) {
    case HeadCollector::State::Incomplete:
        break;
    case HeadCollector::State::TooLarge:
        fail(ParseError::HeadTooLarge, "head exceeds the configured limit");
        break;
    case HeadCollector::State::BareLineFeeds:
        fail(ParseError::Malformed, "line feed without carriage return in the head");
        break;
    case HeadCollector::State::Complete:
        parseHead(head_.take());
        break;
    }
    return used;
}

void MessageParser::Private::parseHead(const std::string &head)
{
    std::string_view lines = head;
    const std::string_view startLine = takeLine(lines);
    const std::string_view problem = fieldsProblem(lines);
    if (Base::hasControlCharacters(startLine)) {
        fail(ParseError::Malformed, "control character in the start line");
    } else if (kind_ == Kind::Response && !Base::parseStatusLine(startLine)) {
        fail(ParseError::Malformed, "invalid status line");
    } else if (!problem.empty()) {
        fail(ParseError::Malformed, std::string(problem));
    } else {
        execute(head);
    }
}

std::size_t MessageParser::Private::execute(std::string_view bytes)
{
    const std::size_t used = http_parser_execute(&parser_, &settings_, bytes.data(), bytes.size());
    const auto code = static_cast<http_errno>(parser_.http_errno);
    if (code != HPE_OK && code != HPE_PAUSED && state_ != ParseState::Failed) {
        fail(ParseError::Malformed, http_errno_description(code));
    }
    return used;
}

/// The library stops after the head of each chunk, so that the framing is counted line by line and
/// the result does not depend on how the bytes are split.
std::size_t MessageParser::Private::executeBody(std::string_view bytes)
{
    const bool isAtChunk = parser_.http_errno == HPE_PAUSED;
    if (isAtChunk) {
        http_parser_pause(&parser_, 0);
    }
    const std::size_t sizeBefore = bodySize_;
    const std::size_t used = execute(bytes);
    if (framing_.kind != BodyFraming::Chunked || state_ == ParseState::Failed) {
        return used;
    }
    // Data comes first, as the library stopped after the head of its chunk.
    const std::string_view framing = bytes.substr(0, used).substr(bodySize_ - sizeBefore);
    framingText_ += framing;
    framingBytes_ += framing.size();
    if (framingBytes_ > maxFramingBytes) {
        fail(ParseError::Malformed, "chunk extensions or trailers exceed the limit");
    } else if (state_ == ParseState::Complete) {
        endFraming(fieldsProblem(framingText_));
    } else if (parser_.http_errno == HPE_PAUSED) {
        endFraming(chunkFramingProblem(framingText_, bodySize_ > 0));
        allowFraming(parser_.content_length);
    }
    return used;
}

/// Ends what framingText_ has collected.
void MessageParser::Private::endFraming(std::string_view problem)
{
    if (!problem.empty()) {
        fail(ParseError::Malformed, std::string(problem));
    }
    framingText_.clear();
}

void MessageParser::Private::allowFraming(std::uint64_t dataBytes)
{
    const std::uint64_t data = std::min<std::uint64_t>(dataBytes, maxFramingBytes);
    const std::size_t allowed = framingBytesPerChunk + framingBytesPerDataByte * data;
    framingBytes_ -= std::min(framingBytes_, allowed);
}

int MessageParser::Private::onUrl(http_parser *parser, const char *at, std::size_t size)
{
    self(parser).request_.target.append(at, size);
    return 0;
}

int MessageParser::Private::onStatus(http_parser *parser, const char *at, std::size_t size)
{
    self(parser).response_.reason.append(at, size);
    return 0;
}

int MessageParser::Private::onHeaderField(http_parser *parser, const char *at, std::size_t size)
{
    Private &d = self(parser);
    if (d.state_ != ParseState::Head) {
        return 0; // trailers are dropped, as they apply to one hop only
    }
    if (d.headers().all().empty() || d.isValueOpen_) {
        d.headers().add({}, {});
        d.isValueOpen_ = false;
    }
    d.headers().all().back().name.append(at, size);
    return 0;
}

int MessageParser::Private::onHeaderValue(http_parser *parser, const char *at, std::size_t size)
{
    Private &d = self(parser);
    if (d.state_ != ParseState::Head) {
        return 0;
    }
    d.headers().all().back().value.append(at, size);
    d.isValueOpen_ = true;
    return 0;
}

void MessageParser::Private::checkFraming()
{
    const HeaderFields &fields = headers();
    if (fields.count("Transfer-Encoding") > 1) {
        fail(ParseError::Malformed, "repeated Transfer-Encoding field");
        return;
    }
    if (const auto encoding = fields.find("Transfer-Encoding");
        encoding && !equalsIgnoringCase(*encoding, "chunked")) {
        fail(ParseError::Malformed, "transfer coding other than chunked is not supported");
        return;
    }
    const bool isRequest = kind_ == Kind::Request;
    if (isRequest
        && (fields.count("Host") > 1 || (request_.isHttp11 && !fields.contains("Host")))) {
        fail(ParseError::Malformed, "Host field missing or repeated");
        return;
    }
    if (isRequest && fields.contains("Transfer-Encoding") && !request_.isHttp11) {
        fail(ParseError::Malformed, "Transfer-Encoding in an HTTP/1.0 request");
    }
}

int MessageParser::Private::onHeadersComplete(http_parser *parser)
{
    Private &d = self(parser);
    parser->upgrade = 0;
    const bool isChunked = (parser->flags & F_CHUNKED) != 0;
    const bool hasLength = (parser->flags & F_CONTENTLENGTH) != 0;
    if (d.kind_ == Kind::Request) {
        d.request_.method = http_method_str(static_cast<http_method>(parser->method));
        d.request_.isHttp11 = parser->http_major == 1 && parser->http_minor == 1;
        d.request_.isKeepAlive = http_should_keep_alive(parser) != 0;
    } else {
        d.response_.status = static_cast<int>(parser->status_code);
        d.response_.isKeepAlive = http_should_keep_alive(parser) != 0;
    }
    if (parser->http_major != 1) {
        d.fail(ParseError::Malformed, "HTTP version other than 1.x is not supported");
        return -1;
    }
    const bool hasBody
        = d.kind_ == Kind::Request || (!d.hasNoBody_ && hasBodyByStatus(d.response_.status));
    if (isChunked) {
        d.framing_.kind = BodyFraming::Chunked;
    } else if (hasLength && (d.kind_ == Kind::Request || d.response_.status != 204)) {
        d.framing_.length = parser->content_length;
    } else if (d.kind_ == Kind::Response && hasBody) {
        d.framing_.kind = BodyFraming::UntilClose;
    }
    d.checkFraming();
    if (d.state_ == ParseState::Failed) {
        return -1;
    }
    const bool isInterim = d.kind_ == Kind::Response && d.response_.status < 200;
    if (isInterim && (isChunked || (hasLength && parser->content_length > 0))) {
        d.fail(ParseError::Malformed, "interim response with a body");
        return -1;
    }
    const bool hasConnectMethod = d.kind_ == Kind::Request && parser->method == HTTP_CONNECT;
    if (hasConnectMethod) {
        d.fail(ParseError::Malformed, "method CONNECT is not supported");
        return -1;
    }
    if (d.kind_ == Kind::Request && hasLength && parser->content_length > d.limits_.bodyBytes) {
        d.fail(ParseError::BodyTooLarge, "body exceeds the configured limit");
        return -1;
    }
    d.state_ = ParseState::Body;
    return hasBody ? 0 : 1;
}

int MessageParser::Private::onBody(http_parser *parser, const char *at, std::size_t size)
{
    Private &d = self(parser);
    d.bodySize_ += size;
    if (d.kind_ == Kind::Request && d.bodySize_ > d.limits_.bodyBytes) {
        d.fail(ParseError::BodyTooLarge, "body exceeds the configured limit");
        return -1;
    }
    d.body_.append(at, size);
    return 0;
}

int MessageParser::Private::onChunkHeader(http_parser *parser)
{
    http_parser_pause(parser, 1);
    return 0;
}

int MessageParser::Private::onMessageComplete(http_parser *parser)
{
    self(parser).state_ = ParseState::Complete;
    http_parser_pause(parser, 1);
    return 0;
}

MessageParser::MessageParser(Kind kind, ParserLimits limits)
    : d_(std::make_unique<Private>(kind, limits))
{}

MessageParser::~MessageParser() = default;

std::size_t MessageParser::feed(std::string_view bytes)
{
    std::size_t used = 0;
    while (used < bytes.size()) {
        if (d_->state_ == ParseState::Empty || d_->state_ == ParseState::Head) {
            used += d_->collectHead(bytes.substr(used));
        } else if (d_->state_ == ParseState::Body) {
            used += d_->executeBody(bytes.substr(used));
        } else {
            break;
        }
    }
    return used;
}

void MessageParser::finish()
{
    if (d_->state_ == ParseState::Body) {
        http_parser_execute(&d_->parser_, &d_->settings_, nullptr, 0);
    }
    if (d_->state_ == ParseState::Body || d_->state_ == ParseState::Head) {
        d_->fail(ParseError::Malformed, "connection ended within the message");
    }
}

void MessageParser::reset()
{
    d_->reset();
}

void MessageParser::setLimits(const ParserLimits &limits)
{
    d_->limits_ = limits;
}

void MessageParser::expectNoBody()
{
    d_->hasNoBody_ = true;
}

ParseState MessageParser::state() const
{
    return d_->state_;
}

ParseError MessageParser::error() const
{
    return d_->error_;
}

const std::string &MessageParser::problem() const
{
    return d_->problem_;
}

std::size_t MessageParser::headBytes() const
{
    return d_->head_.capacity() + allocatedBytes(d_->request_);
}

const RequestHead &MessageParser::request() const
{
    return d_->request_;
}

const ResponseHead &MessageParser::response() const
{
    return d_->response_;
}

RequestHead MessageParser::takeRequest()
{
    return std::move(d_->request_);
}

ResponseHead MessageParser::takeResponse()
{
    return std::move(d_->response_);
}

const Framing &MessageParser::framing() const
{
    return d_->framing_;
}

std::string MessageParser::takeBody()
{
    return std::exchange(d_->body_, {});
}

} // namespace Proxy
