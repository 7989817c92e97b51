#include <telemetry/logstory.h>

#include <criterion/criterion.h>

using namespace Telemetry;

namespace {

std::string line(int second, const std::string &daemon, const std::string &fields)
{
    return R"({"time":"2026-12-04T11:00:)" + std::to_string(10 + second) + R"(.000Z","daemon":")"
           + daemon + R"(",)" + fields + "}";
}

std::vector<std::string> messages(const LogStory &story)
{
    std::vector<std::string> result;
    for (const StoryLine &each : story.lines()) {
        result.push_back((each.isContext ? "~" : "") + each.daemon + " " + each.message);
    }
    return result;
}

using Messages = std::vector<std::string>;

} // namespace

Test(logstory, ordersTheLinesOfARequestOverDaemons)
{
    LogStory story("r1");
    story.add(line(5, "b", R"("request":"r2","resumes":"r1","step":"reply","message":"resumed")"));
    story.add(
        line(4, "a", R"("request":"r1","step":"reply","message":"request ended","status":0)"));
    story.add("   3.1 a " + line(3, "a", R"("request":"r1","step":"backend","message":"broken")"));
    story.add(line(4, "a", R"("request":"r3","step":"reply","message":"another request")"));
    const Messages expected{"a broken", "a request ended", "b resumed"};
    cr_assert(messages(story) == expected);
    cr_assert_eq(story.lines()[1].details, "request=r1 status=0");
    cr_assert_eq(story.unreadableCount(), 0);
}

/// Of each thing, only the last change before the request matters; changes while it runs all do.
Test(logstory, showsWhatTheDaemonsBelieved)
{
    LogStory story("p1");
    story.add(line(0, "a", R"("step":"configure","message":"servers changed","servers":1)"));
    story.add(line(1, "a", R"("step":"configure","message":"servers changed","servers":2)"));
    story.add(line(2, "c", R"("step":"configure","message":"servers changed","servers":3)"));
    story.add(line(2, "a", R"("step":"limit","peer":"i-1","message":"limited")"));
    story.add(line(2, "a", R"("step":"limit","peer":"i-2","message":"limited")"));
    story.add(line(3, "a", R"("request":"r1","program":"p1","step":"reply","message":"first")"));
    story.add(line(4, "a", R"("step":"configure","message":"servers changed","servers":4)"));
    story.add(line(5, "a", R"("request":"r2","program":"p1","step":"reply","message":"second")"));
    story.add(line(6, "a", R"("step":"configure","message":"servers changed","servers":5)"));
    const Messages expected{"~a servers changed",
                            "~a limited",
                            "~a limited",
                            "a first",
                            "~a servers changed",
                            "a second"};
    cr_assert(messages(story) == expected);
    cr_assert_eq(story.lines()[0].details, "servers=2");
}

Test(logstory, countsWhatIsNoLogLine)
{
    LogStory story("r1");
    for (const char *text :
         {"", "  \n", "plain text", "{broken", "{}", "[1]", R"({"time":1,"daemon":"a"})"}) {
        story.add(text);
    }
    cr_assert_eq(story.unreadableCount(), 5);
    cr_assert(story.lines().empty());
}
