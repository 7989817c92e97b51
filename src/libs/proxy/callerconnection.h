#pragma once

#include "messageparser.h"

#include <base/instant.h>
#include <contracts/route.h>

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <utility>

namespace Proxy {

class CallerConnection;

/// A whole request as it came from a caller.
struct CallerRequest
{
    RequestHead head;
    std::string body;
    /// When its last byte arrived.
    Base::Instant arrivedAt;
};

/// What a listener gives to its connections.
struct CallerServices
{
    /// Starts work on the request; answers go to the connection.
    std::function<void(const std::shared_ptr<CallerConnection> &, CallerRequest)> onRequest;
    /// A request that could not be read: its status and what is wrong.
    std::function<void(int status, const std::string &problem)> onRejected;
    std::function<Contracts::CallerLimits()> limits;
    std::function<Base::Instant()> now;
    /// Whether connections are to end after the answer under way.
    std::function<bool()> isStopping;
    std::function<void(const std::shared_ptr<CallerConnection> &)> onClosed;
};

/// One HTTP/1.1 connection from a caller. Requests are handled one after another; the connection
/// is read on while one is handled, so that a caller that leaves is noticed. Not thread-safe.
class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
    CallerConnection(asio::ip::tcp::socket socket, std::shared_ptr<const CallerServices> services);

    CallerConnection(const CallerConnection &) = delete;
    CallerConnection &operator=(const CallerConnection &) = delete;

    void start();

    /// The whole answer to the request under way.
    void respond(const ResponseHead &head, std::string_view body);
    /// An answer whose body follows in pieces.
    void beginResponse(const ResponseHead &head, Framing framing);
    void write(std::string_view bytes);
    void endResponse();
    /// Closes the connection, so that an unfinished answer does not look whole.
    void abort();

    /// Bytes that the caller has not taken yet.
    std::size_t pendingBytes() const { return outgoing_.size() + writing_.size(); }
    /// Called once when pendingBytes() has fallen to nothing.
    void onceDrained(std::function<void()> callback) { onDrained_ = std::move(callback); }
    /// Called if the caller closes before the answer has ended.
    void onceGone(std::function<void()> callback) { onGone_ = std::move(callback); }

    bool isBusy() const { return isHandling_; }
    bool isClosed() const { return isClosed_; }
    /// Ends the connection if no request has begun to arrive.
    void closeIfIdle();

private:
    void read();
    void startRead();
    void onRead(const std::error_code &error, std::size_t size);
    void parse();
    void dispatchRequest();
    void reject();
    void sendContinueIfAsked();
    void finishResponse();
    void flush();
    void onWritten(const std::error_code &error);
    void armTimer();
    void onTimer();
    void closeAfterWrites();
    void close();

    asio::ip::tcp::socket socket_;
    asio::steady_timer timer_;
    std::shared_ptr<const CallerServices> services_;
    MessageParser parser_{MessageParser::Kind::Request};
    std::vector<char> buffer_;
    /// Bytes behind the request under way.
    std::string incoming_;
    std::string outgoing_;
    std::string writing_;
    std::string body_;
    std::function<void()> onDrained_;
    std::function<void()> onGone_;
    Base::Instant lastActivity_;
    std::optional<Base::Instant> messageBegun_;
    std::optional<Base::Instant> timerDue_;
    Framing responseFraming_;
    bool isReading_ = false;
    bool isHandling_ = false;
    bool isKeptAlive_ = true;
    bool isHeadRequest_ = false;
    bool isHttp11_ = true;
    bool hasContinued_ = false;
    bool isClosing_ = false;
    bool isClosed_ = false;
    bool isParsing_ = false;
};

} // namespace Proxy
