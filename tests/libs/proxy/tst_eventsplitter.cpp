#include <proxy/eventsplitter.h>

#include <criterion/criterion.h>

#include <random>

using namespace Proxy;

Test(eventsplitter, returnsOnlyCompleteEvents)
{
    const std::string text = "id: 1\ndata: a\n\nx-version: 7\nid: 2\r\ndata: b\r\n\r\nid: 3\nda";
    for (std::size_t piece = 1; piece <= text.size(); ++piece) {
        EventSplitter events;
        std::string passed;
        for (std::size_t at = 0; at < text.size(); at += piece) {
            passed += events.feed(std::string_view(text).substr(at, piece));
        }
        cr_assert_eq(passed, text.substr(0, text.find("id: 3")));
        cr_assert_eq(events.eventCount(), 2);
        cr_assert_eq(*events.lastEventId(), "2", "an incomplete event does not count");
        cr_assert(events.hasPartialEvent());
    }
}

Test(eventsplitter, doesNotCountComments)
{
    EventSplitter events;
    events.feed(": keep-alive\n\n");
    cr_assert_eq(events.eventCount(), 0);
    cr_assert(!events.lastEventId());
}

Test(eventsplitter, collectsTheDataOfCompleteEvents)
{
    EventSplitter events;
    events.setDataCollected();
    events.feed("id: 1\ndata: a b\n\nx-version: 7\nid: 2\r\ndata:c\r\n\r\n: note\n\n");
    events.feed("data: d\ndata\n\nid: 3\ndata: part");
    events.dropPartialEvent();
    cr_assert_eq(events.data(), "a b\nc\nd\n\n");
}

Test(eventsplitter, anEventOfAnySplitIsTheSame)
{
    const std::string stream = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n\ndata: c\n\nid: 4\nda";
    EventSplitter whole;
    const std::string expected = whole.feed(stream);
    for (std::size_t first = 0; first <= stream.size(); ++first) {
        for (std::size_t second = first; second <= stream.size(); ++second) {
            EventSplitter splitter;
            std::string parts = splitter.feed(stream.substr(0, first));
            parts += splitter.feed(stream.substr(first, second - first));
            parts += splitter.feed(stream.substr(second));
            cr_assert_eq(parts, expected);
            cr_assert(splitter.lastEventId() == whole.lastEventId());
            cr_assert_eq(splitter.eventCount(), whole.eventCount());
        }
    }
}

Test(eventsplitter, reportsAnEventThatIsTooLong)
{
    EventSplitter splitter;
    splitter.feed("data: " + std::string(EventSplitter::maxEventBytes, 'x'));
    cr_assert(splitter.isEventTooLong());
    splitter.dropPartialEvent();
    cr_assert(!splitter.isEventTooLong());
    cr_assert_eq(splitter.feed("data: d\n\n"), "data: d\n\n");
}

/// Guards against an event that is searched again at each read: the state of the search must give
/// the same events as a search of the whole text.
Test(eventsplitter, findsTheEventsThatASearchOfTheWholeTextFinds)
{
    const auto endOfEvent = [](std::string_view text) {
        bool isLineEmpty = true;
        for (std::size_t i = 0; i < text.size(); ++i) {
            if (text[i] == '\n' && isLineEmpty && i > 0) {
                return i + 1;
            }
            isLineEmpty = text[i] == '\n' || (isLineEmpty && text[i] == '\r');
        }
        return std::string_view::npos;
    };
    std::mt19937 random(1);
    constexpr std::string_view alphabet = "a\n\n\r";
    for (int round = 0; round < 5000; ++round) {
        std::string text;
        while (text.size() < 40) {
            text += alphabet[random() % alphabet.size()];
        }
        std::string_view rest = text;
        while (endOfEvent(rest) != std::string_view::npos) {
            rest.remove_prefix(endOfEvent(rest));
        }
        EventSplitter splitter;
        std::string passed;
        for (std::size_t at = 0; at < text.size();) {
            const std::size_t size = 1 + random() % 7;
            passed += splitter.feed(std::string_view(text).substr(at, size));
            at += size;
        }
        cr_assert_eq(passed, text.substr(0, text.size() - rest.size()));
        cr_assert_eq(splitter.hasPartialEvent(), !rest.empty());
    }
}

Test(eventsplitter, ignoresEventsBeyondTheLimit)
{
    EventSplitter events;
    events.setDataCollected();
    events.setMaxEvents(2);
    cr_assert_eq(events.feed("id: 1\ndata: a\n\n: note\n\nid: 2\ndata: b\n\n: note\n\n"),
                 "id: 1\ndata: a\n\n: note\n\nid: 2\ndata: b\n\n: note\n\n");
    cr_assert(!events.hasTooManyEvents());
    cr_assert_eq(events.feed(": note\n\nid: 3\ndata: c\n\n: note\n\n"), ": note\n\n");
    cr_assert(events.hasTooManyEvents());
    cr_assert_eq(events.eventCount(), 2);
    cr_assert_eq(events.data(), "a\nb\n");
    cr_assert_eq(*events.lastEventId(), "2");
}

/// Guards against an id of a faulty server that breaks the request to the next one, or adds a
/// header field to it.
Test(eventsplitter, anIdThatCannotBeSentLeavesNothingToResumeAfter)
{
    for (const std::string &id : {std::string(257, 'i'), std::string("1\rother: 2")}) {
        EventSplitter events;
        events.feed("id: 1\ndata: a\n\nid: " + id + "\ndata: b\n\n");
        cr_assert(!events.lastEventId());
        events.feed("id: 3\ndata: c\n\n");
        cr_assert_eq(*events.lastEventId(), "3");
    }
}
