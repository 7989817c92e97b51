#pragma once

#include "httphead.h"

#include <functional>
#include <memory>

namespace Proxy {

/// Why a message was rejected.
enum class ParseError {
    None,
    Malformed,
    HeadTooLarge,
    BodyTooLarge
};

struct ParserLimits
{
    std::size_t headBytes = 16 * 1024;
    std::size_t bodyBytes = 4 * 1024 * 1024;
};

/// Progress of the parser within a message.
enum class ParseState {
    /// No byte of the message has arrived.
    Empty,
    Head,
    Body,
    Complete,
    Failed
};

/// Incremental parser of HTTP/1.1 messages, based on http_parser. Stricter than that library: it
/// rejects invalid status lines, malformed fields in heads and trailers, bare line feeds, and
/// chunks without a line end, as two hops may interpret them differently. Bounds what it drops:
/// empty lines before a message, chunk extensions and trailers.
class MessageParser
{
public:
    enum class Kind {
        Request,
        Response
    };

    explicit MessageParser(Kind kind, ParserLimits limits = {});
    ~MessageParser();

    MessageParser(const MessageParser &) = delete;
    MessageParser &operator=(const MessageParser &) = delete;

    /// Parses up to the end of the message and returns the number of parsed bytes; the rest belongs
    /// to the next message.
    std::size_t feed(std::string_view bytes);
    /// Handles the end of the connection: completes a response whose body ends with it, otherwise
    /// fails an incomplete message.
    void finish();
    /// Starts the next message on the connection.
    void reset();
    void setLimits(const ParserLimits &limits);
    /// For responses to HEAD, which have no body regardless of their header fields.
    void expectNoBody();

    ParseState state() const;
    ParseError error() const;
    /// Describes the error, for logs.
    const std::string &problem() const;

    /// Bytes that are kept of the head of a request.
    std::size_t headBytes() const;
    /// Valid from the state Body on.
    const RequestHead &request() const;
    const ResponseHead &response() const;
    RequestHead takeRequest();
    ResponseHead takeResponse();
    const Framing &framing() const;
    /// Returns the decoded bytes of the body since the last call.
    std::string takeBody();

private:
    class Private;
    std::unique_ptr<Private> d_;
};

} // namespace Proxy
