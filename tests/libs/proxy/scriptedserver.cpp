#include "scriptedserver.h"

#include <asio/write.hpp>

#include <array>

namespace {

/// Returns the length of the complete request at the start of the text; 0 if it is incomplete.
std::size_t requestLength(const std::string &text)
{
    const std::size_t head = text.find("\r\n\r\n");
    if (head == std::string::npos) {
        return 0;
    }
    std::size_t length = head + 4;
    if (const std::size_t field = text.find("Content-Length: "); field < head) {
        length += std::stoul(text.substr(field + 16));
    }
    return length <= text.size() ? length : 0;
}

std::string idOf(const std::string &request)
{
    const std::string name = "Request-Id: ";
    const std::size_t start = request.find(name) + name.size();
    return request.substr(start, request.find("\r\n", start) - start);
}

std::string withId(std::string text, const std::string &id)
{
    for (std::size_t at = text.find("{id}"); at != std::string::npos; at = text.find("{id}")) {
        text.replace(at, 4, id);
    }
    return text;
}

} // namespace

class ScriptedServer::Connection : public std::enable_shared_from_this<Connection>
{
public:
    Connection(ScriptedServer &server, asio::ip::tcp::socket socket, Script script)
        : server_(server)
        , socket_(std::move(socket))
        , script_(std::move(script))
    {}

    void read()
    {
        auto self = shared_from_this();
        socket_.async_read_some(
            asio::buffer(buffer_),
            [self](const std::error_code &error, std::size_t size) { self->onRead(error, size); });
    }

    void respond(const std::string &id)
    {
        if (next_ < script_.responses.size()) {
            const std::string text = withId(script_.responses[next_++], id);
            std::error_code ignored;
            asio::write(socket_, asio::buffer(text), ignored);
        }
        if (next_ == script_.responses.size() && script_.shutsDownAfterwards) {
            std::error_code ignored;
            socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
        }
        if (next_ == script_.responses.size() && script_.crashesAfterwards) {
            server_.crash();
        } else if (next_ == script_.responses.size() && script_.closesAfterwards) {
            close();
        } else if (next_ == script_.responses.size() && script_.resetsAfterwards) {
            reset();
        } else if (next_ == script_.responses.size() && !script_.endlessTail.empty()) {
            writeTail();
        }
    }

    void close()
    {
        std::error_code ignored;
        socket_.close(ignored);
    }

    void reset()
    {
        std::error_code ignored;
        socket_.set_option(asio::socket_base::linger(true, 0), ignored);
        close();
    }

private:
    /// Writes about 64 KB at a time, as fast as the peer reads.
    void writeTail()
    {
        constexpr std::size_t writeBytes = 64 * 1024;
        while (tail_.size() < writeBytes) {
            tail_ += script_.endlessTail;
        }
        auto self = shared_from_this();
        asio::async_write(
            socket_, asio::buffer(tail_), [self](const std::error_code &error, std::size_t size) {
                self->server_.endlessBytes_ += size;
                if (!error) {
                    self->writeTail();
                }
            });
    }

    void onRead(const std::error_code &error, std::size_t size)
    {
        if (error == asio::error::operation_aborted) {
            return;
        }
        if (error) {
            ++server_.closedByPeer_;
            return;
        }
        incoming_.append(buffer_.data(), size);
        const bool isLast = next_ + 1 == script_.responses.size();
        const bool hasHead = incoming_.find("\r\n\r\n") != std::string::npos;
        if (script_.leavesLastBodyUnread && isLast && hasHead) {
            server_.requests_.push_back(incoming_);
            if (!script_.waitsForSendNext) {
                respond(idOf(incoming_));
            }
            return;
        }
        while (const std::size_t length = requestLength(incoming_)) {
            const std::string request = incoming_.substr(0, length);
            incoming_.erase(0, length);
            server_.requests_.push_back(request);
            if (next_ == script_.responses.size() && server_.responder_) {
                std::error_code ignored;
                asio::write(socket_, asio::buffer(server_.responder_(request)), ignored);
            } else {
                respond(idOf(request));
            }
        }
        if (socket_.is_open()) {
            read();
        }
    }

    ScriptedServer &server_;
    asio::ip::tcp::socket socket_;
    Script script_;
    std::array<char, 4096> buffer_{};
    std::string incoming_;
    std::string tail_;
    std::size_t next_ = 0;
};

ScriptedServer::ScriptedServer(asio::io_context &context, const asio::ip::tcp::endpoint &address)
    : context_(context)
    , acceptor_(context, address)
    , endpoint_(acceptor_.local_endpoint())
{
    accept();
}

ScriptedServer::~ScriptedServer()
{
    closeConnections();
}

void ScriptedServer::closeConnections()
{
    for (const auto &connection : connections_) {
        connection->close();
    }
}

void ScriptedServer::resetConnections()
{
    for (const auto &connection : connections_) {
        connection->reset();
    }
}

void ScriptedServer::crash()
{
    acceptor_.close();
    closeConnections();
}

void ScriptedServer::restart()
{
    acceptor_ = asio::ip::tcp::acceptor(context_, endpoint_);
    accept();
}

void ScriptedServer::sendNext(const std::string &id)
{
    connections_.back()->respond(id);
}

void ScriptedServer::setReceiveBytes(int bytes)
{
    acceptor_.set_option(asio::socket_base::receive_buffer_size(bytes));
}

std::string ScriptedServer::address() const
{
    return endpoint_.address().to_string() + ":" + std::to_string(endpoint_.port());
}

void ScriptedServer::accept()
{
    acceptor_.async_accept([this](const std::error_code &error, asio::ip::tcp::socket socket) {
        if (error) {
            return;
        }
        ++connectionCount_;
        Script script = defaultScript_;
        if (!scripts_.empty()) {
            script = std::move(scripts_.front());
            scripts_.pop_front();
        }
        const auto connection
            = std::make_shared<Connection>(*this, std::move(socket), std::move(script));
        connections_.push_back(connection);
        connection->read();
        accept();
    });
}
