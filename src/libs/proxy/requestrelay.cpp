#include "requestrelay.h"

#include "messageparser.h"
#include "steadyclock.h"

#include <asio/write.hpp>

#include <array>
#include <charconv>

namespace Proxy {

namespace {

constexpr std::string_view pathPrefix = "/relay/";
constexpr std::size_t bufferBytes = 8 * 1024;
constexpr int listenBacklog = 256;

/// Pause after a failed accept, for example if no file descriptors are left.
constexpr auto acceptPause = std::chrono::milliseconds(20);

/// Sessions beyond the limit that are told so.
constexpr std::size_t maxRefusing = 16;

/// Decodes "/relay/START/ID".
std::optional<Dispatch::ServerInstance> parsePath(std::string_view path)
{
    if (!path.starts_with(pathPrefix)) {
        return std::nullopt;
    }
    path.remove_prefix(pathPrefix.size());
    const std::size_t slash = path.find('/');
    if (slash == std::string_view::npos || slash + 1 == path.size()) {
        return std::nullopt;
    }
    Dispatch::ServerInstance instance;
    const char *end = path.data() + slash;
    const auto result = std::from_chars(path.data(), end, instance.startedAt);
    if (result.ec != std::errc() || result.ptr != end) {
        return std::nullopt;
    }
    instance.id = Base::ServerId(std::string(path.substr(slash + 1)));
    return instance;
}

} // namespace

std::string relayRequest(const Dispatch::ServerInstance &instance)
{
    return "POST " + std::string(pathPrefix) + std::to_string(instance.startedAt) + "/"
           + instance.id.text() + " HTTP/1.1\r\nHost: relay\r\nContent-Length: 0\r\n\r\n";
}

/// One connection of a daemon and the one to the server that belongs to it.
class RequestRelay::Session : public std::enable_shared_from_this<Session>
{
public:
    Session(RequestRelay &owner, asio::ip::tcp::socket socket)
        : owner_(owner)
        , daemon_{std::move(socket), {}}
        , server_{asio::ip::tcp::socket(owner.context_), {}}
        , timer_(owner.context_)
    {}

    void start()
    {
        auto self = shared_from_this();
        timer_.expires_after(owner_.settings_.requestTimeout);
        timer_.async_wait([self](const std::error_code &error) {
            // A timer that has expired already cannot be cancelled.
            if (!error && self->parser_.state() != ParseState::Complete) {
                self->close();
            }
        });
        readRequest();
    }

    void close()
    {
        timer_.cancel();
        std::error_code ignored; // both connections end anyway
        daemon_.socket.close(ignored);
        server_.socket.close(ignored);
        owner_.sessions_.erase(shared_from_this());
    }

    /// Resets the connection of the daemon. An ordinary end would complete a response without
    /// length that was cut off.
    void abort()
    {
        std::error_code ignored; // the connection ends anyway
        daemon_.socket.set_option(asio::socket_base::linger(true, 0), ignored);
        close();
    }

private:
    struct Side
    {
        asio::ip::tcp::socket socket;
        std::array<char, bufferBytes> buffer{};
    };

    void readRequest()
    {
        auto self = shared_from_this();
        daemon_.socket.async_read_some(asio::buffer(daemon_.buffer),
                                       [self](const std::error_code &error, std::size_t size) {
                                           if (error) {
                                               self->close();
                                               return;
                                           }
                                           self->onRequestBytes(size);
                                       });
    }

    void onRequestBytes(std::size_t size)
    {
        const std::size_t parsed = parser_.feed(std::string_view(daemon_.buffer.data(), size));
        if (parser_.state() == ParseState::Failed || parsed < size) {
            close();
        } else if (parser_.state() == ParseState::Complete) {
            onRequest();
        } else {
            readRequest();
        }
    }

    void onRequest()
    {
        const auto instance = parsePath(parser_.request().path());
        if (!instance) {
            respond(400);
            return;
        }
        instance_ = *instance;
        if (owner_.isClosed_(instance_)) {
            respond(relayNoServer);
            return;
        }
        // The server may be missing because this daemon's list is older.
        const auto address = owner_.mayConnect() ? owner_.lookup_(*instance) : std::nullopt;
        if (address) {
            connect(*address);
        } else {
            respond(relayUnavailable);
        }
    }

    /// No connection before the timeout may be this daemon's fault; a refused one is the server's.
    void connect(const asio::ip::tcp::endpoint &address)
    {
        auto self = shared_from_this();
        timer_.expires_after(owner_.settings_.connectTimeout);
        timer_.async_wait([self](const std::error_code &error) {
            if (!error && !self->hasResponded_) {
                self->respond(relayUnavailable);
            }
        });
        server_.socket.async_connect(address, [self](const std::error_code &error) {
            if (!self->daemon_.socket.is_open() || self->hasResponded_) {
                return;
            }
            std::error_code ignored; // a socket without the option still works
            self->server_.socket.set_option(asio::ip::tcp::no_delay(true), ignored);
            self->daemon_.socket.set_option(asio::ip::tcp::no_delay(true), ignored);
            const bool isClosed = self->owner_.isClosed_(self->instance_);
            self->respond(error || isClosed ? relayNoServer : 200);
        });
    }

    void respond(int status)
    {
        hasResponded_ = true;
        timer_.cancel();
        response_ = "HTTP/1.1 " + std::to_string(status) + " " + std::string(reasonOf(status))
                    + "\r\nContent-Length: 0\r\n\r\n";
        auto self = shared_from_this();
        asio::async_write(daemon_.socket,
                          asio::buffer(response_),
                          [self, status](const std::error_code &error, std::size_t) {
                              if (error || status != 200) {
                                  self->close();
                                  return;
                              }
                              self->forward(self->daemon_, self->server_);
                              self->forward(self->server_, self->daemon_);
                          });
    }

    /// A daemon sends bytes after those of the server only for its next request. A daemon that does
    /// not know of a closure must not send one through a connection from before.
    bool mayForward(bool isFromDaemon)
    {
        const bool isNextRequest = isFromDaemon && !isRequestOpen_;
        isRequestOpen_ = isFromDaemon;
        return !isNextRequest || !owner_.isClosed_(instance_);
    }

    /// Reads on only once the bytes are written, so that a slow reader holds the writer back.
    void forward(Side &from, Side &to)
    {
        auto self = shared_from_this();
        from.socket.async_read_some(
            asio::buffer(from.buffer),
            [self, &from, &to](const std::error_code &error, std::size_t size) {
                if (error == asio::error::eof && !self->isServerReset_) {
                    self->close(); // all bytes before it are written
                    return;
                }
                if (error || !self->mayForward(&from == &self->daemon_)) {
                    self->abort();
                    return;
                }
                asio::async_write(to.socket,
                                  asio::buffer(from.buffer.data(), size),
                                  [self, &from, &to](const std::error_code &failure, std::size_t) {
                                      if (failure) {
                                          self->onWriteFailed(to, failure);
                                      } else {
                                          self->forward(from, to);
                                      }
                                  });
            });
    }

    /// The server may have responded before it closed the connection. Reading shows that, but not
    /// an error that the write got.
    void onWriteFailed(const Side &to, const std::error_code &error)
    {
        if (&to == &daemon_) {
            abort();
            return;
        }
        isServerReset_ = error != asio::error::broken_pipe;
    }

    RequestRelay &owner_;
    Side daemon_;
    Side server_;
    asio::steady_timer timer_;
    MessageParser parser_{MessageParser::Kind::Request};
    std::string response_;
    Dispatch::ServerInstance instance_;
    bool hasResponded_ = false;
    bool isServerReset_ = false;
    /// The last bytes came from the daemon: its request is being sent or has no response yet.
    bool isRequestOpen_ = false;
};

RequestRelay::RequestRelay(asio::io_context &context,
                           RelaySettings settings,
                           Lookup lookup,
                           std::function<bool()> isCutOff,
                           Telemetry::Log &log,
                           Telemetry::Metrics &metrics)
    : context_(context)
    , settings_(std::move(settings))
    , lookup_(std::move(lookup))
    , isCutOff_(std::move(isCutOff))
    , log_(log)
    , refused_("relay",
               "connection from an address that is not listed",
               log,
               metrics.counter("marjoram_relay_refused_total",
                               "Connections to the relay from addresses that are not listed"))
    , acceptor_(context)
    , acceptPause_(context)
    , noticeTimer_(context)
{}

RequestRelay::~RequestRelay() = default;

void RequestRelay::start()
{
    acceptor_.open(settings_.address.protocol());
    acceptor_.set_option(asio::ip::tcp::acceptor::reuse_address(true));
    acceptor_.bind(settings_.address);
    acceptor_.listen(listenBacklog);
    accept();
}

void RequestRelay::accept()
{
    acceptor_.async_accept([this](const std::error_code &error, asio::ip::tcp::socket socket) {
        if (error == asio::error::operation_aborted) {
            return;
        }
        if (error) {
            log_.write(Telemetry::LogLevel::Error,
                       "cannot accept a connection of a peer: " + error.message(),
                       {.step = "relay"});
            acceptLater();
            return;
        }
        serve(std::move(socket));
        accept();
    });
}

void RequestRelay::acceptLater()
{
    acceptPause_.expires_after(acceptPause);
    acceptPause_.async_wait([this](const std::error_code &error) {
        if (!error) {
            accept();
        }
    });
}

/// A daemon that this one's list lacks yet is refused too; it asks another one.
void RequestRelay::serve(asio::ip::tcp::socket socket)
{
    std::error_code error;
    const asio::ip::address source = socket.remote_endpoint(error).address();
    if (error) {
        return; // the connection has ended
    }
    const bool isOwn = source == socket.local_endpoint(error).address();
    if (!isOwn && !isPeer_(source)) {
        refused_.record(source, {}, steadyNow());
        return;
    }
    if (sessions_.size() >= settings_.maxSessions + maxRefusing) {
        return;
    }
    const auto session = std::make_shared<Session>(*this, std::move(socket));
    sessions_.insert(session);
    session->start();
}

bool RequestRelay::mayConnect() const
{
    return !isStopping_ && !isCutOff_() && sessions_.size() <= settings_.maxSessions;
}

void RequestRelay::stop(std::function<void()> notifyPeers)
{
    isStopping_ = true;
    notifyPeers_ = std::move(notifyPeers);
    sendStopNotices();
}

void RequestRelay::sendStopNotices()
{
    notifyPeers_();
    noticeTimer_.expires_after(settings_.stopNoticeInterval);
    noticeTimer_.async_wait([this](const std::error_code &error) {
        if (!error) {
            sendStopNotices();
        }
    });
}

} // namespace Proxy
