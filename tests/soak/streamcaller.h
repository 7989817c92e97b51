#pragma once

#include <proxy/clientconnection.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Soak {

/// One attempt at a stream.
struct StreamAttempt
{
    asio::ip::tcp::endpoint daemon;
    /// Ends the connection after that many events; 0 reads to the end.
    int breakAfter = 0;
    /// Names the attempt before this one, if there is one.
    bool isNaming = false;
};

enum class StreamEnd {
    Complete,
    /// By the caller or by the daemon.
    BrokenOff,
    /// A status other than 200.
    Refused,
    /// No connection, or no response in time.
    Failed
};

/// A caller of resumable streams, one at a time, that notes from which software versions their
/// events come.
class StreamCaller : public std::enable_shared_from_this<StreamCaller>
{
public:
    using EndCallback = std::function<void(StreamEnd)>;

    StreamCaller(asio::io_context &context, std::string name);

    /// Sends a turn from its start. Turns of one session are equal requests.
    void begin(const std::string &session, const StreamAttempt &attempt, EndCallback onEnd);
    /// Continues the stream behind its last event.
    void resume(const StreamAttempt &attempt, EndCallback onEnd);
    void close();

    const std::string &session() const { return session_; }
    /// Whether the last attempt continues a stream of an earlier one.
    bool isResumption() const { return isResumption_; }
    int events() const { return events_; }
    int status() const { return status_; }
    /// Whether a response had events of two versions.
    bool isMixedWithin() const { return isMixedWithin_; }
    /// Whether a response began with another version than the one before ended with.
    bool isMixedOver() const { return isMixedOver_; }

private:
    void send(const StreamAttempt &attempt, EndCallback onEnd);
    std::string request() const;
    Proxy::ClientConnection::Handlers handlers();
    void onBody(const std::string &bytes);
    void onEvent(const std::string &event);
    void finish(StreamEnd end);

    asio::io_context &context_;
    std::string name_;
    asio::steady_timer timer_;
    std::shared_ptr<Proxy::ClientConnection> connection_;
    EndCallback onEnd_;
    StreamAttempt attempt_;
    int lastRequest_ = 0;
    Base::Instant begunAt_;
    std::string session_;
    /// The attempt before, if it brought events.
    std::string earlierId_;
    std::string id_;
    std::string received_;
    std::string version_;
    int status_ = 0;
    int events_ = 0;
    int eventsOfAttempt_ = 0;
    bool isResumption_ = false;
    bool isMixedWithin_ = false;
    bool isMixedOver_ = false;
};

} // namespace Soak
