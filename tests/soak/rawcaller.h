#pragma once

#include "soakcaller.h"

#include <proxy/messageparser.h>

#include <array>
#include <deque>

namespace Soak {

/// How a caller uses its connections, beyond one request after another.
enum class Habit {
    /// Writes two requests together and reads the responses in order.
    Pipelining,
    /// Speaks HTTP/1.0, so that streams end with the connection.
    Http10,
    /// Stops reading for a while within a large response.
    SlowReading
};

/// A caller on a plain socket. Each request that it has written ends with a complete response, or
/// the ledger knows why its connection ended before.
class RawCaller : public std::enable_shared_from_this<RawCaller>
{
public:
    struct Identity
    {
        std::string name;
        std::string team;
        Habit habit = Habit::Pipelining;
    };

    RawCaller(asio::io_context &context,
              Identity identity,
              EntryPoint entry,
              Ledger &ledger,
              std::uint64_t seed);

    void start() { sendRequests(); }
    /// Starts no further requests.
    void stop() { isStopping_ = true; }

private:
    struct PendingRequest
    {
        std::string id;
        RequestKind kind = RequestKind::Lookup;
        std::string target;
        std::string body;
    };

    void sendRequests();
    std::string addRequest(RequestKind kind);
    void connect(const asio::ip::tcp::endpoint &address, std::string bytes);
    void transmit(const std::string &bytes);
    void read();
    void onRead(const std::error_code &error, std::size_t size);
    void consume(std::string_view bytes);
    void finishResponse();
    void checkStream(const PendingRequest &request, const std::string &body);
    /// Ends the connection with all requests on it that have no complete response.
    void endConnection(bool isCut);
    void onTimeout();
    void sendLater();

    Identity identity_;
    EntryPoint entry_;
    Ledger &ledger_;
    Base::Random random_;
    asio::ip::tcp::socket socket_;
    asio::steady_timer timer_;
    asio::steady_timer pauseTimer_;
    asio::steady_timer timeoutTimer_;
    Proxy::MessageParser parser_{Proxy::MessageParser::Kind::Response};
    std::array<char, 16'384> buffer_{};
    std::deque<PendingRequest> pending_;
    std::string daemon_;
    /// Ends operations of earlier connections.
    int connectionNumber_ = 0;
    bool isOpen_ = false;
    bool hasPaused_ = false;
    /// A request of those that were written together has its response.
    bool hasAnswer_ = false;
    int lastRequest_ = 0;
    bool isStopping_ = false;
};

} // namespace Soak
