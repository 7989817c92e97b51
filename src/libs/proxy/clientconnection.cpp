#include "clientconnection.h"

#include "steadyclock.h"

#include <asio/post.hpp>
#include <asio/write.hpp>

#include <netinet/in.h>

#include <charconv>

namespace Proxy {

namespace {

/// Events of a response are small; a larger buffer would cost memory on each connection.
constexpr std::size_t readBufferBytes = 8 * 1024;

/// Bytes before the response to the current request, of interim responses and of late responses to
/// other requests. A server may never end them.
constexpr std::size_t maxSkippedBytes = 256 * 1024;

/// Interim responses and late responses to other requests before the response to the current one.
/// Sound servers send few of them; each costs more than its bytes show.
constexpr std::size_t maxSkippedMessages = 16;

/// Parses a Keep-Alive value: "timeout=15, max=100" gives 15 s.
std::optional<Base::Duration> parseKeepAlive(std::string_view value)
{
    constexpr std::string_view name = "timeout=";
    const std::size_t at = value.find(name);
    if (at == std::string_view::npos) {
        return std::nullopt;
    }
    long seconds = 0;
    const char *first = value.data() + at + name.size();
    const auto result = std::from_chars(first, value.data() + value.size(), seconds);
    const bool isNumber = result.ec == std::errc() && seconds >= 0;
    return isNumber ? std::optional<Base::Duration>(std::chrono::seconds(seconds)) : std::nullopt;
}

} // namespace

ClientConnection::ClientConnection(asio::io_context &context, asio::ip::tcp::endpoint peer)
    : socket_(context)
    , peer_(std::move(peer))
    , connectTimer_(context)
    , buffer_(readBufferBytes)
{}

void ClientConnection::connect(Base::Duration timeout,
                               std::function<void(const std::string &problem)> done)
{
    auto self = shared_from_this();
    auto callback = std::make_shared<std::function<void(const std::string &)>>(std::move(done));
    const auto report = [callback](const std::string &problem) {
        if (*callback) {
            std::exchange(*callback, nullptr)(problem);
        }
    };
    isConnecting_ = true;
    connectTimer_.expires_after(timeout);
    connectTimer_.async_wait([self, report](const std::error_code &error) {
        // A timer that has expired already cannot be cancelled.
        if (!error && self->isConnecting_) {
            self->close();
            report("no connection before the timeout");
        }
    });
    boundReceiveBuffer();
    bindToSource();
    socket_.async_connect(peer_, [self, report](const std::error_code &error) {
        if (self->isClosed_) {
            return;
        }
        self->isConnecting_ = false;
        self->connectTimer_.cancel();
        if (error) {
            self->close();
            report(error.message());
            return;
        }
        self->setUpSocket();
        self->setConnected();
        self->isReusable_ = true;
        report({});
    });
}

/// What the peer sends while reading is paused waits in this buffer.
void ClientConnection::boundReceiveBuffer()
{
    if (receiveBytes_) {
        std::error_code ignored; // a socket without the option still works
        socket_.open(peer_.protocol(), ignored);
        socket_.set_option(asio::socket_base::receive_buffer_size(*receiveBytes_), ignored);
    }
}

/// A failure is not reported: the peer may accept the address that the system chooses.
void ClientConnection::bindToSource()
{
    if (!source_) {
        return;
    }
    // The port is chosen on connecting, so that connections to different peers may share one.
    using BindAddressOnly
        = asio::detail::socket_option::boolean<IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT>;
    std::error_code ignored;
    if (!socket_.is_open()) {
        socket_.open(peer_.protocol(), ignored);
    }
    socket_.set_option(BindAddressOnly(true), ignored);
    socket_.bind({*source_, 0}, ignored);
}

void ClientConnection::setConnected()
{
    connectedAt_ = steadyNow();
}

void ClientConnection::setUpSocket()
{
    std::error_code ignored; // a socket without the option still works
    socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
}

void ClientConnection::send(std::string bytes, bool isHeadMethod, Handlers handlers)
{
    handlers_ = std::make_shared<Handlers>(std::move(handlers));
    onUnusable_ = nullptr;
    outgoing_ = std::move(bytes);
    isHeadMethod_ = isHeadMethod;
    startNextMessage();
    isAwaitingResponse_ = true;
    isPaused_ = false;
    skippedBytes_ = 0;
    skippedMessages_ = 0;
    isReusable_ = false;
    isWriting_ = true;
    writeError_ = {};
    hasSent_ = true;
    auto self = shared_from_this();
    asio::async_write(
        socket_, asio::buffer(outgoing_), [self](const std::error_code &error, std::size_t) {
            self->onWritten(error);
        });
    read();
}

/// The system reports an error of the connection once. If the write gets it, reading shows an
/// ordinary end.
void ClientConnection::onWritten(const std::error_code &error)
{
    isWriting_ = false;
    std::string().swap(outgoing_); // the connection may stay open for long
    if (isClosed_ || !error) {
        return;
    }
    // The server may have responded before it closed the connection; reading shows that. A reset
    // that follows an ordinary end is reported as a broken pipe.
    if (error != asio::error::broken_pipe) {
        writeError_ = error;
    }
}

void ClientConnection::watchIdle(std::function<void()> onUnusable)
{
    onUnusable_ = std::move(onUnusable);
    read();
}

void ClientConnection::pause()
{
    isPaused_ = true;
}

void ClientConnection::resume()
{
    isPaused_ = false;
    read();
}

void ClientConnection::close()
{
    if (isClosed_) {
        return;
    }
    isClosed_ = true;
    isConnecting_ = false;
    isReusable_ = false;
    handlers_.reset();
    onUnusable_ = nullptr;
    connectTimer_.cancel();
    std::error_code ignored; // nothing can be done if the close fails
    socket_.close(ignored);
}

void ClientConnection::read()
{
    if (isReading_ || isPaused_ || isClosed_) {
        return;
    }
    isReading_ = true;
    auto self = shared_from_this();
    socket_.async_read_some(asio::buffer(buffer_),
                            [self](const std::error_code &error, std::size_t size) {
                                self->isReading_ = false;
                                if (!self->isClosed_) {
                                    self->onRead(error, size);
                                }
                            });
}

void ClientConnection::onRead(const std::error_code &error, std::size_t size)
{
    if (!isAwaitingResponse_) {
        // Idle: the server closed the connection or sent unexpected bytes.
        auto onUnusable = std::exchange(onUnusable_, nullptr);
        close();
        if (onUnusable) {
            onUnusable();
        }
        return;
    }
    if (error == asio::error::eof) {
        onEndOfStream();
        return;
    }
    if (error) {
        fail(ResponseEnd::Disconnected, error.message());
        return;
    }
    if (consume(std::string_view(buffer_.data(), size))) {
        read();
    }
}

void ClientConnection::onEndOfStream()
{
    if (!isWriting_) {
        endResponse();
        return;
    }
    // A write that got an error before has its handler run first.
    asio::post(socket_.get_executor(), [self = shared_from_this()] {
        if (self->isAwaitingResponse_ && !self->isClosed_) {
            self->endResponse();
        }
    });
}

void ClientConnection::endResponse()
{
    if (writeError_) {
        fail(ResponseEnd::Disconnected, "write: " + writeError_.message());
        return;
    }
    parser_.finish();
    if (message_ == Message::Response && parser_.state() == ParseState::Complete) {
        onResponseComplete(true);
        return;
    }
    // A server that sent a response to another request has not crashed on this one.
    const bool isSkipped = message_ == Message::Skipped;
    fail(isSkipped ? ResponseEnd::Broken : ResponseEnd::Disconnected,
         parser_.problem().empty() ? "connection closed before the response" : parser_.problem());
}

/// Returns whether to continue reading.
bool ClientConnection::consume(std::string_view bytes)
{
    while (!bytes.empty() && isAwaitingResponse_) {
        const std::size_t parsed = parser_.feed(bytes);
        bytes.remove_prefix(parsed);
        if (parser_.state() == ParseState::Failed) {
            fail(ResponseEnd::Broken, parser_.problem());
            return false;
        }
        const bool hasHead
            = parser_.state() == ParseState::Body || parser_.state() == ParseState::Complete;
        if (hasHead && message_ == Message::Unknown && !onHeadParsed()) {
            return false;
        }
        skippedBytes_ += message_ != Message::Response ? parsed : 0;
        if (skippedBytes_ > maxSkippedBytes) {
            fail(ResponseEnd::Broken, "bytes before the response do not end");
            return false;
        }
        std::string body = parser_.takeBody();
        if (!body.empty() && message_ == Message::Response) {
            const auto handlers = handlers_;
            handlers->onBody(std::move(body));
            if (isClosed_) {
                return false;
            }
        }
        if (parser_.state() != ParseState::Complete) {
            continue;
        }
        if (message_ == Message::Response) {
            onResponseComplete(!bytes.empty());
            return false;
        }
        const bool isInterim = parser_.response().status < 200;
        if (!isInterim && !parser_.response().isKeepAlive) {
            fail(ResponseEnd::Broken, "connection closes after a response to another request");
            return false;
        }
        startNextMessage();
    }
    return true;
}

void ClientConnection::startNextMessage()
{
    parser_.reset();
    if (isHeadMethod_) {
        parser_.expectNoBody();
    }
    message_ = Message::Unknown;
}

/// Returns whether the connection is still in use.
bool ClientConnection::onHeadParsed()
{
    message_ = Message::Skipped;
    const ResponseHead &head = parser_.response();
    if (head.status == 101) {
        fail(ResponseEnd::Broken, "unexpected switch of protocols (status 101)");
        return false;
    }
    if (head.status < 200) {
        return countSkippedMessage();
    }
    const auto handlers = handlers_;
    if (handlers->onHead(head, parser_.framing()) == HeadVerdict::Accept) {
        message_ = Message::Response;
    }
    if (isClosed_) {
        return false;
    }
    if (message_ == Message::Skipped) {
        return countSkippedMessage();
    }
    updateKeepAliveTimeout();
    return true;
}

/// Returns whether the connection is still in use.
bool ClientConnection::countSkippedMessage()
{
    if (++skippedMessages_ <= maxSkippedMessages) {
        return true;
    }
    fail(ResponseEnd::Broken, "too many interim or late responses before the response");
    return false;
}

void ClientConnection::updateKeepAliveTimeout()
{
    if (const auto value = parser_.response().headers.find("Keep-Alive")) {
        keepAliveTimeout_ = parseKeepAlive(*value);
    }
}

void ClientConnection::onResponseComplete(bool hasExtraBytes)
{
    isAwaitingResponse_ = false;
    isPaused_ = false; // the pause concerns this response only, and nothing else would end it
    // No other request may follow one that the server has not read completely.
    isReusable_ = !hasExtraBytes && !isWriting_ && parser_.response().isKeepAlive;
    const auto handlers = std::exchange(handlers_, nullptr);
    handlers->onEnd(ResponseEnd::Complete, {});
}

void ClientConnection::fail(ResponseEnd end, const std::string &problem)
{
    isAwaitingResponse_ = false;
    const auto handlers = std::exchange(handlers_, nullptr);
    close();
    if (handlers) {
        handlers->onEnd(end, problem);
    }
}

} // namespace Proxy
