#include <proxy/connectionlimit.h>
#include <proxy/connectionshares.h>

#include <criterion/criterion.h>

#include <map>
#include <optional>
#include <vector>

using namespace Proxy;

namespace {

/// Connections by number, which close when they are asked to.
class Connections
{
public:
    explicit Connections(std::size_t capacity)
        : limit_(std::make_shared<ConnectionLimit>(capacity))
    {}

    /// Returns whether there was room.
    bool open(int number)
    {
        if (!limit_->makeRoom()) {
            return false;
        }
        places_[number] = limit_->add([this, number] {
            if (declining_ == number) {
                return false;
            }
            closed_.push_back(number);
            places_.erase(number);
            return true;
        });
        return true;
    }

    void decline(int number) { declining_ = number; }
    ConnectionLimit::Place &operator[](int number) { return places_.at(number); }
    const std::vector<int> &closed() const { return closed_; }
    const ConnectionLimit &limit() const { return *limit_; }

private:
    std::shared_ptr<ConnectionLimit> limit_;
    std::map<int, ConnectionLimit::Place> places_;
    std::vector<int> closed_;
    std::optional<int> declining_;
};

} // namespace

/// Guards against callers that are kept out by clients that fall silent.
Test(connectionlimit, theOneWithoutProgressForLongestIsClosedForANewOne)
{
    Connections connections(3);
    for (int i = 0; i < 3; ++i) {
        cr_assert(connections.open(i));
    }
    connections[0].progressed();
    cr_assert(connections.open(3));
    cr_assert_eq(connections.closed(), std::vector{1});
    cr_assert_eq(connections.limit().size(), 3);
    cr_assert_eq(connections.limit().closed(), 1);
}

/// Guards against a request that is cut off for a new connection.
Test(connectionlimit, connectionsWithRequestsInProgressAreKept)
{
    Connections connections(2);
    connections.open(0);
    connections.open(1);
    connections[0].requestBegun();
    connections[1].requestBegun();
    cr_assert(!connections.open(2));
    cr_assert(connections.closed().empty());
    cr_assert_eq(connections.limit().refused(), 1);
    connections[0].requestEnded();
    cr_assert(connections.open(2));
    cr_assert_eq(connections.closed(), std::vector{0});
}

/// Guards against ordinary callers that lose their idle connections to a crowd.
Test(connectionlimit, idleConnectionsAreClosedLast)
{
    Connections connections(3);
    for (int i = 0; i < 3; ++i) {
        connections.open(i);
    }
    connections[0].requestBegun();
    connections[0].requestEnded();
    connections[1].progressed();
    connections[2].progressed();
    cr_assert(connections.open(3));
    cr_assert(connections.open(4));
    const std::vector closed{1, 2};
    cr_assert_eq(connections.closed(), closed);
}

/// Guards against a connection that is closed as its next request arrives.
Test(connectionlimit, aConnectionThatDeclinesIsPassedOver)
{
    Connections connections(2);
    connections.open(0);
    connections.open(1);
    connections.decline(0);
    cr_assert(connections.open(2));
    cr_assert_eq(connections.closed(), std::vector{1});
    cr_assert_eq(connections.limit().size(), 2);
}

Test(connectionlimit, anEndingConnectionIsClosedFirst)
{
    Connections connections(2);
    connections.open(0);
    connections.open(1);
    connections[1].requestBegun();
    connections[1].requestEnded();
    connections[1].setEnding();
    cr_assert(connections.open(2));
    cr_assert_eq(connections.closed(), std::vector{1});
}

/// Guards against limits that ordinary callers of the smallest fronts meet.
Test(connectionlimit, aSmallFrontKeepsAThousandCallers)
{
    const Base::Bytes buffers(10'181'818); // of 88 MB
    const ConnectionShares shares = ConnectionShares::forFront(4100, buffers);
    cr_assert_geq(shares.callers, 990);
    const auto all
        = static_cast<std::int64_t>(shares.callers) + static_cast<std::int64_t>(shares.backlog);
    cr_assert_leq(all * *shares.receiveBytes, buffers.value() + all);
}

/// Guards against listeners that together take the descriptors of servers and the store.
Test(connectionlimit, sharesLeaveDescriptorsForServers)
{
    for (const std::size_t descriptors : {600, 4100, 8192}) {
        const ConnectionShares shares = ConnectionShares::forFront(descriptors, std::nullopt);
        const std::size_t taken
            = 2 * shares.callers + shares.documents + shares.status + 2 * shares.relaySessions;
        cr_assert_leq(taken, (descriptors - 200) * 9 / 10);
    }
}

Test(connectionlimit, nothingIsLimitedWithoutStatedLimits)
{
    const ConnectionShares shares = ConnectionShares::forFront(std::nullopt, std::nullopt);
    cr_assert_eq(shares.callers, ConnectionLimit::unlimited);
    cr_assert(!shares.receiveBytes);
    cr_assert_eq(shares.backlog, ConnectionShares::defaultBacklog);
}
