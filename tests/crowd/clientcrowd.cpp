#include "clientcrowd.h"

#include <proxy/messageparser.h>

#include <asio/connect.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>

#include <array>
#include <memory>

namespace Crowd {

namespace {

/// A test that hangs fails after this time.
constexpr auto guardTime = std::chrono::seconds(30);

constexpr auto quietTime = std::chrono::milliseconds(700);

} // namespace

class ClientCrowd::Client : public std::enable_shared_from_this<Client>
{
public:
    explicit Client(ClientCrowd &crowd)
        : crowd_(crowd)
        , socket_(crowd.context_)
        , timer_(crowd.context_)
    {}

    void connect()
    {
        ++connections_;
        sent_ = 0;
        socket_ = asio::ip::tcp::socket(crowd_.context_);
        socket_.async_connect(crowd_.daemon_, [self = shared_from_this()](std::error_code error) {
            ++self->crowd_.steps_;
            if (error) {
                self->connectLater();
                return;
            }
            ++self->crowd_.open_;
            ++self->crowd_.opened_;
            self->read();
            self->send();
        });
    }

private:
    void connectLater()
    {
        if (connections_ >= crowd_.request_.connections) {
            return;
        }
        constexpr auto pause = std::chrono::milliseconds(1);
        timer_.expires_after(pause);
        timer_.async_wait([self = shared_from_this()](std::error_code) { self->connect(); });
    }

    void send()
    {
        const CrowdRequest &request = crowd_.request_;
        const std::size_t left = request.text.size() - sent_;
        const std::size_t size
            = request.pieceBytes == 0 ? left : std::min(left, request.pieceBytes);
        if (size == 0) {
            return;
        }
        // Bytes are handed over as they fit, so that progress shows.
        socket_.async_write_some(asio::buffer(request.text.data() + sent_, size),
                                 [self = shared_from_this(), number = connections_](
                                     std::error_code error, std::size_t written) {
                                     if (!error && number == self->connections_) {
                                         ++self->crowd_.steps_;
                                         self->sent_ += written;
                                         self->sendNext();
                                     }
                                 });
    }

    void sendNext()
    {
        if (crowd_.request_.pieceBytes == 0) {
            send();
            return;
        }
        constexpr auto pause = std::chrono::milliseconds(2);
        timer_.expires_after(pause);
        timer_.async_wait([self = shared_from_this()](std::error_code error) {
            if (!error && self->socket_.is_open()) {
                self->send();
            }
        });
    }

    void read()
    {
        socket_.async_read_some(asio::buffer(dropped_),
                                [self = shared_from_this()](std::error_code error, std::size_t) {
                                    ++self->crowd_.steps_;
                                    if (!error) {
                                        self->read();
                                        return;
                                    }
                                    std::error_code ignored; // the daemon has closed it
                                    self->socket_.close(ignored);
                                    --self->crowd_.open_;
                                    self->connectLater();
                                });
    }

    ClientCrowd &crowd_;
    asio::ip::tcp::socket socket_;
    asio::steady_timer timer_;
    int connections_ = 0;
    std::size_t sent_ = 0;
    std::array<char, 1024> dropped_{};
};

ClientCrowd::ClientCrowd(CrowdRequest request, asio::ip::tcp::endpoint daemon, int count)
    : request_(std::move(request))
    , daemon_(std::move(daemon))
    , count_(count)
{
    for (int i = 0; i < count; ++i) {
        std::make_shared<Client>(*this)->connect();
    }
    thread_ = std::jthread([this] { context_.run(); });
}

ClientCrowd::~ClientCrowd()
{
    context_.stop();
}

void ClientCrowd::awaitQuiet() const
{
    constexpr auto interval = std::chrono::milliseconds(20);
    const auto end = std::chrono::steady_clock::now() + guardTime;
    auto quietSince = std::chrono::steady_clock::now();
    std::uint64_t steps = steps_;
    while (std::chrono::steady_clock::now() < std::min(end, quietSince + quietTime)) {
        std::this_thread::sleep_for(interval);
        if (steps_ != steps || opened_ < count_) {
            steps = steps_;
            quietSince = std::chrono::steady_clock::now();
        }
    }
}

int ordinaryRequest(const asio::ip::tcp::endpoint &daemon,
                    const std::string &text,
                    const asio::ip::address &source)
{
    asio::io_context context;
    asio::ip::tcp::socket socket(context, {source, 0});
    Proxy::MessageParser parser(Proxy::MessageParser::Kind::Response);
    std::array<char, 16384> buffer{};
    std::function<void()> read = [&] {
        socket.async_read_some(asio::buffer(buffer), [&](std::error_code error, std::size_t size) {
            parser.feed({buffer.data(), size});
            if (error) {
                parser.finish();
            } else if (parser.state() != Proxy::ParseState::Complete) {
                read();
            }
        });
    };
    socket.async_connect(daemon, [&](std::error_code error) {
        if (!error) {
            read();
            asio::async_write(socket, asio::buffer(text), [](std::error_code, std::size_t) {});
        }
    });
    const auto end = std::chrono::steady_clock::now() + guardTime;
    while (parser.state() != Proxy::ParseState::Complete && !context.stopped()
           && std::chrono::steady_clock::now() < end) {
        context.run_one_for(guardTime);
    }
    return parser.state() == Proxy::ParseState::Complete ? parser.response().status : 0;
}

} // namespace Crowd
