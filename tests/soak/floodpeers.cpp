#include "floodpeers.h"

#include <proxy/httphead.h>

#include <asio/read_until.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>

#include <array>
#include <memory>

namespace Soak {

namespace {

constexpr std::size_t maxHeadBytes = 65536;
constexpr auto deadline = std::chrono::milliseconds(2500);
const std::string headEnd = "\r\n\r\n";

std::string field(const std::string &head, const std::string &name)
{
    const std::size_t start = head.find("\r\n" + name + ": ");
    if (start == std::string::npos) {
        return {};
    }
    const std::size_t value = start + name.size() + 4;
    return head.substr(value, head.find("\r\n", value) - value);
}

} // namespace

/// Bodies of requests are not read; only requests without one follow each other on a connection.
class FloodServer::Connection : public std::enable_shared_from_this<Connection>
{
public:
    Connection(FloodServer &server, asio::ip::tcp::socket socket)
        : server_(server)
        , socket_(std::move(socket))
        , timer_(server.context_)
    {}

    void read()
    {
        asio::async_read_until(
            socket_,
            asio::dynamic_buffer(received_, maxHeadBytes),
            headEnd,
            [self = shared_from_this()](const std::error_code &error, std::size_t size) {
                if (!error) {
                    self->onRequest(self->received_.substr(0, size));
                    self->received_.erase(0, size);
                }
            });
    }

private:
    void onRequest(const std::string &head)
    {
        isOwn_ = field(head, "X-Target-Instance") == server_.id_;
        text_ = isOwn_ ? server_.response_.head
                       : "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: {id}\r\n"
                         "Content-Length: 0\r\n\r\n";
        const std::string mark = "{id}";
        if (const std::size_t start = text_.find(mark); start != std::string::npos) {
            text_.replace(start, mark.size(), field(head, "X-Attempt-Id"));
        }
        timer_.expires_after(server_.response_.delay);
        timer_.async_wait(
            [self = shared_from_this()](const std::error_code &) { self->write(self->text_); });
    }

    void write(const std::string &text)
    {
        asio::async_write(socket_,
                          asio::buffer(text),
                          [self = shared_from_this()](const std::error_code &error, std::size_t) {
                              if (error) {
                                  return;
                              }
                              const std::string &tail = self->server_.response_.tail;
                              if (self->isOwn_ && !tail.empty()) {
                                  self->write(tail);
                              } else {
                                  self->read();
                              }
                          });
    }

    FloodServer &server_;
    asio::ip::tcp::socket socket_;
    asio::steady_timer timer_;
    std::string received_;
    std::string text_;
    bool isOwn_ = false;
};

FloodServer::FloodServer(std::string id, std::string service, FloodResponse response)
    : id_(std::move(id))
    , service_(std::move(service))
    , response_(std::move(response))
    , acceptor_(context_, {asio::ip::address_v4::loopback(), 0})
{
    accept();
    thread_ = std::jthread([this] { context_.run(); });
}

FloodServer::~FloodServer()
{
    context_.stop();
}

nlohmann::json FloodServer::entry() const
{
    constexpr int slots = 1000; // the callers are not limited by the number of slots
    const auto endpoint = acceptor_.local_endpoint();
    return {{"service", service_},
            {"address", endpoint.address().to_string() + ":" + std::to_string(endpoint.port())},
            {"zone", "zone-a"},
            {"slots", slots},
            {"version", "v1"},
            {"state", "ready"},
            {"born", 1},
            {"cold_left_ms", 0}};
}

void FloodServer::accept()
{
    acceptor_.async_accept([this](const std::error_code &error, asio::ip::tcp::socket socket) {
        if (!error) {
            std::make_shared<Connection>(*this, std::move(socket))->read();
            accept();
        }
    });
}

class FloodCallers::Caller : public std::enable_shared_from_this<Caller>
{
public:
    Caller(FloodCallers &group, int number)
        : group_(group)
        , name_(group.name_ + "-" + std::to_string(number) + "-")
        , daemon_(group.daemons_[static_cast<std::size_t>(number) % group.daemons_.size()])
        , socket_(group.context_)
        , timer_(group.context_)
    {}

    void start()
    {
        socket_ = asio::ip::tcp::socket(group_.context_, daemon_.protocol());
        if (!group_.request_.isReading) {
            // What the daemon has sent is left to the daemon, not to the system's buffers.
            constexpr int smallBuffer = 8192;
            socket_.set_option(asio::socket_base::receive_buffer_size(smallBuffer));
        }
        socket_.async_connect(daemon_, [self = shared_from_this()](const std::error_code &error) {
            if (error) {
                self->startLater();
            } else {
                self->send();
            }
        });
    }

private:
    void startLater()
    {
        if (group_.isStopping_) {
            return;
        }
        // Callers that are refused at once do not use up the processor.
        constexpr auto pause = std::chrono::milliseconds(10);
        timer_.expires_after(pause);
        timer_.async_wait([self = shared_from_this()](const std::error_code &) { self->start(); });
    }

    bool isComplete() const { return group_.request_.missingBytes == 0; }

    void send()
    {
        const FloodRequest &request = group_.request_;
        const std::string id = name_ + std::to_string(++lastRequest_);
        Proxy::RequestHead head;
        head.method = request.method;
        head.target = request.target;
        head.headers.add("Host", "soak.example");
        head.headers.add("X-Attempt-Id", id);
        head.headers.add("X-Program-Id", id);
        head.headers.add("X-Session-Id", id);
        head.headers.add("X-Deadline-Ms", std::to_string(deadline.count()));
        head.headers.add("Authorization", "Bearer " + request.key);
        head.headers.add("Connection", "close");
        text_ = Proxy::serializeRequest(head, request.bodyBytes)
                + std::string(request.bodyBytes - request.missingBytes, 'x');
        start_.clear();
        group_.open_ += isComplete() ? 1 : 0;
        // A response that arrives before the request is sent is read, too.
        asio::async_write(socket_,
                          asio::buffer(text_),
                          [self = shared_from_this()](const std::error_code &, std::size_t) {
                              self->readOnceAllowed();
                          });
    }

    void readOnceAllowed()
    {
        if (group_.request_.isReading || group_.isStopping_) {
            read();
            return;
        }
        constexpr auto interval = std::chrono::milliseconds(50);
        timer_.expires_after(interval);
        timer_.async_wait(
            [self = shared_from_this()](const std::error_code &) { self->readOnceAllowed(); });
    }

    void read()
    {
        socket_.async_read_some(
            asio::buffer(buffer_),
            [self = shared_from_this()](const std::error_code &error, std::size_t size) {
                if (error) {
                    self->finish();
                    return;
                }
                const std::size_t room = maxHeadBytes - self->start_.size();
                self->start_.append(self->buffer_.data(), std::min(size, room));
                self->read();
            });
    }

    void finish()
    {
        group_.open_ -= isComplete() ? 1 : 0;
        ++group_.ended_;
        const std::string length = field(start_, "Content-Length");
        if (start_.starts_with("HTTP/1.1 200") && !length.empty()) {
            const std::size_t body = start_.find(headEnd) + headEnd.size();
            group_.served_ += std::to_string(start_.size() - body) == length ? 1 : 0;
        }
        startLater();
    }

    FloodCallers &group_;
    std::string name_;
    asio::ip::tcp::endpoint daemon_;
    asio::ip::tcp::socket socket_;
    asio::steady_timer timer_;
    int lastRequest_ = 0;
    std::string text_;
    /// The first bytes of the response.
    std::string start_;
    std::array<char, maxHeadBytes> buffer_{};
};

FloodCallers::FloodCallers(std::string name,
                           FloodRequest request,
                           std::vector<asio::ip::tcp::endpoint> daemons,
                           int count)
    : name_(std::move(name))
    , request_(std::move(request))
    , daemons_(std::move(daemons))
{
    for (int i = 0; i < count; ++i) {
        std::make_shared<Caller>(*this, i)->start();
    }
    thread_ = std::jthread([this] { context_.run(); });
}

FloodCallers::~FloodCallers()
{
    context_.stop();
}

} // namespace Soak
