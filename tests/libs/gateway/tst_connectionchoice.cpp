#include <gateway/connectionchoice.h>

#include <criterion/criterion.h>

#include <vector>

using Gateway::ConnectionState;
using Gateway::connectionToClose;

namespace {

Base::Instant at(int seconds)
{
    return Base::Instant(std::chrono::seconds(seconds));
}

} // namespace

// Guards against a limit of connections at which callers that send nothing keep others out.
Test(connectionchoice, theOneThatHasWaitedLongestIsClosed)
{
    const std::vector<ConnectionState> connections{
        {false, false, at(5)}, {false, false, at(3)}, {false, false, at(4)}};
    cr_assert_eq(connectionToClose(connections).value(), 1);
}

// Guards against the loss of responses that are about to be sent.
Test(connectionchoice, requestsInProgressAreKept)
{
    const std::vector<ConnectionState> connections{{true, false, at(1)}, {true, true, at(2)}};
    cr_assert_not(connectionToClose(connections).has_value());
}

Test(connectionchoice, unreadResponsesAreClosedLast)
{
    const std::vector<ConnectionState> connections{
        {true, false, at(1)}, {false, true, at(2)}, {false, false, at(9)}};
    cr_assert_eq(connectionToClose(connections).value(), 2);
    const std::vector<ConnectionState> unread{{true, false, at(1)}, {false, true, at(2)}};
    cr_assert_eq(connectionToClose(unread).value(), 1);
}
