#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <list>
#include <memory>

namespace Proxy {

/// Decides which connections a listener keeps if more arrive than it may keep. The one that has
/// gone longest without progress is closed for a new one: first of those that have completed no
/// request, then of those that are idle. A connection with a request in progress is kept. Owned by
/// shared pointers.
class ConnectionLimit : public std::enable_shared_from_this<ConnectionLimit>
{
public:
    /// Closes the connection, which gives its place back. Returns false if it is kept, as bytes
    /// that were not read yet have arrived.
    using Close = std::function<bool()>;
    class Place;

    static constexpr std::size_t unlimited = std::numeric_limits<std::size_t>::max();

    explicit ConnectionLimit(std::size_t capacity = unlimited);

    ConnectionLimit(const ConnectionLimit &) = delete;
    ConnectionLimit &operator=(const ConnectionLimit &) = delete;

    /// Whether a connection may be added, for which another one may be closed.
    bool makeRoom();
    /// Adds a connection.
    Place add(Close close);

    std::size_t size() const { return unproven_.size() + idle_.size() + busy_.size(); }
    std::size_t capacity() const { return capacity_; }
    /// Connections that were closed for others.
    std::uint64_t closed() const { return closed_; }
    /// Connections for which there was no room.
    std::uint64_t refused() const { return refused_; }

private:
    using Connections = std::list<Close>;

    bool closeOne(Connections &connections);

    std::size_t capacity_;
    /// Each in the order of their last progress. No request has been completed on these.
    Connections unproven_;
    Connections idle_;
    Connections busy_;
    std::uint64_t closed_ = 0;
    std::uint64_t refused_ = 0;
};

/// A connection that counts. A place by default has no limit.
class ConnectionLimit::Place
{
public:
    Place() = default;
    ~Place();

    Place(Place &&other) noexcept;
    Place &operator=(Place &&other) noexcept;

    /// Bytes have arrived.
    void progressed();
    void requestBegun();
    /// The last byte of the response is sent.
    void requestEnded();
    /// The connection ends without a completed request.
    void setEnding();
    void release();

private:
    friend class ConnectionLimit;

    Place(std::shared_ptr<ConnectionLimit> limit, Connections::iterator entry);
    void moveTo(Connections &list, Connections::iterator position);

    std::shared_ptr<ConnectionLimit> limit_;
    Connections *list_ = nullptr;
    Connections::iterator entry_;
};

} // namespace Proxy
