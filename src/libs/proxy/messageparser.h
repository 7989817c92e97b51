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

/// What the parser has taken from the connection so far.
enum class ParseState {
    /// Nothing of the message has arrived.
    Empty,
    Head,
    Body,
    Complete,
    Failed
};

/// Incremental parser of one HTTP/1.1 message at a time, over http_parser. Stricter than that
/// library: bare line feeds, folded lines, blanks before a colon, and control characters in the
/// head are refused, as one hop may read them in another way than the next.
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

    /// Takes bytes up to the end of the message and returns how many; the rest belongs to the next.
    std::size_t feed(std::string_view bytes);
    /// The connection has ended. Completes a response whose body ends so, else fails an open
    /// message.
    void finish();
    /// Starts the next message on the connection.
    void reset();
    void setLimits(const ParserLimits &limits);
    /// A response to HEAD has no body, whatever its head says.
    void expectNoBody();

    ParseState state() const;
    ParseError error() const;
    /// What is wrong, for logs.
    const std::string &problem() const;

    /// Valid from the state Body on.
    const RequestHead &request() const;
    const ResponseHead &response() const;
    RequestHead takeRequest();
    ResponseHead takeResponse();
    const Framing &framing() const;
    /// Bytes of the body that have come since the last call, decoded.
    std::string takeBody();

private:
    class Private;
    std::unique_ptr<Private> d_;
};

} // namespace Proxy
