#include <proxy/headcollector.h>

#include <criterion/criterion.h>

#include <string>
#include <vector>

using namespace Proxy;
using State = HeadCollector::State;

namespace {

constexpr std::size_t maxBytes = 16 * 1024;

/// Feeds the bytes in pieces of the given size, up to a state that is decided.
State stateAfter(HeadCollector &collector, std::string_view bytes, std::size_t piece)
{
    while (!bytes.empty() && collector.state() == State::Incomplete) {
        bytes.remove_prefix(collector.feed(bytes.substr(0, piece), maxBytes));
    }
    return collector.state();
}

} // namespace

/// Guards against a head that arrives in small pieces and is searched from its start at each.
Test(headcollector, anIncompleteHeadIsSearchedOnce)
{
    const std::string head = "HTTP/1.1 200 OK\r\nX-A: " + std::string(15'000, 'x');
    HeadCollector collector;
    cr_assert_eq(stateAfter(collector, head, 1), State::Incomplete);
    cr_assert_leq(collector.processedBytes(),
                  3 * head.size(),
                  "%zu bytes processed for %zu",
                  collector.processedBytes(),
                  head.size());
}

/// Guards against messages in one read, of which each head copies all that follow it.
Test(headcollector, bytesBehindAHeadAreNotProcessed)
{
    const std::string head = "HTTP/1.1 102 Processing\r\n\r\n";
    std::string heads;
    for (int i = 0; i < 1'000; ++i) {
        heads += head;
    }
    HeadCollector collector;
    std::string_view rest = heads;
    while (!rest.empty()) {
        rest.remove_prefix(collector.feed(rest, maxBytes));
        cr_assert_eq(collector.state(), State::Complete);
        cr_assert_eq(collector.take(), head);
    }
    cr_assert_leq(collector.processedBytes(),
                  3 * heads.size(),
                  "%zu bytes processed for %zu",
                  collector.processedBytes(),
                  heads.size());
}

/// Guards against ends that are missed where the bytes are split, or found where there is none.
Test(headcollector, findsTheEndHoweverTheBytesAreSplit)
{
    struct Case
    {
        std::string text;
        State state;
    };
    const std::vector<Case> cases{
        {"A\r\n\r\n", State::Complete},
        {"A\r\r\n\r\n", State::Complete},
        {"A\r\n\r\r\n\r\n", State::Complete},
        {"A\r\nB\r\n\r\n", State::Complete},
        {"A\r\n\rB\r\n", State::Incomplete},
        {"A\n\n", State::BareLineFeeds},
        {"A\r\n\n", State::BareLineFeeds},
        {"A\nB\n", State::Incomplete},
        {std::string(maxBytes - 4, 'x') + "\r\n\r\n", State::Complete},
        {std::string(maxBytes - 3, 'x') + "\r\n\r\n", State::TooLarge},
        {std::string(maxBytes + 1, 'x'), State::TooLarge},
    };
    for (const Case &each : cases) {
        for (std::size_t piece = 1; piece <= 8; ++piece) {
            HeadCollector collector;
            cr_assert_eq(stateAfter(collector, each.text, piece),
                         each.state,
                         "%s in pieces of %zu",
                         each.text.substr(0, 20).c_str(),
                         piece);
        }
    }
}
