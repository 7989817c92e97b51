#include "logstory.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <map>

namespace Telemetry {

namespace {

using nlohmann::json;

/// Fields that name a request or a program.
constexpr std::array<const char *, 4> idFields{"request", "program", "resumes", "previous_turn"};

std::string text(const json &fields, const char *name)
{
    const auto field = fields.find(name);
    return field != fields.end() && field->is_string() ? field->get<std::string>() : std::string();
}

std::string detailsOf(const json &fields)
{
    static constexpr std::array<const char *, 6> shown{
        "time", "daemon", "level", "step", "peer", "message"};
    std::string details;
    for (const auto &[name, value] : fields.items()) {
        if (std::find(shown.begin(), shown.end(), name) != shown.end()) {
            continue;
        }
        details += details.empty() ? "" : " ";
        details += name + "=" + (value.is_string() ? value.get<std::string>() : value.dump());
    }
    return details;
}

/// Lines of a daemon with the same subject replace each other.
std::string subjectOf(const StoryLine &line)
{
    return line.step + "/" + line.message + "/" + line.peer;
}

} // namespace

bool LogStory::isAboutId(const json &fields) const
{
    return std::any_of(idFields.begin(), idFields.end(), [&](const char *name) {
        return text(fields, name) == id_;
    });
}

void LogStory::add(std::string_view line)
{
    const std::size_t brace = line.find('{');
    const json fields = brace == std::string_view::npos
                            ? json()
                            : json::parse(line.substr(brace), nullptr, false);
    const bool isLine
        = fields.is_object() && !text(fields, "time").empty() && !text(fields, "daemon").empty();
    if (!isLine) {
        unreadable_ += line.find_first_not_of(" \t\r\n") == std::string_view::npos ? 0 : 1;
        return;
    }
    const bool isOwn = isAboutId(fields);
    if (!isOwn && fields.contains("request")) {
        return;
    }
    (isOwn ? own_ : context_)
        .push_back({text(fields, "time"),
                    text(fields, "daemon"),
                    text(fields, "step"),
                    text(fields, "peer"),
                    text(fields, "message"),
                    detailsOf(fields),
                    !isOwn});
}

std::vector<StoryLine> LogStory::lines() const
{
    const auto byTime = [](const auto &a, const auto &b) { return a.time < b.time; };
    std::vector<StoryLine> result;
    /// When each daemon first decided on the request.
    std::map<std::string, std::string> firstTime;
    std::string end;
    for (const StoryLine &story : own_) {
        result.push_back(story);
        const auto first = firstTime.emplace(story.daemon, story.time).first;
        first->second = std::min(first->second, story.time);
        end = std::max(end, story.time);
    }
    /// The last line of each subject and daemon before that time.
    std::map<std::pair<std::string, std::string>, StoryLine> before;
    for (const StoryLine &story : context_) {
        const auto first = firstTime.find(story.daemon);
        if (first == firstTime.end() || story.time > end) {
            continue;
        }
        if (story.time >= first->second) {
            result.push_back(story);
            continue;
        }
        StoryLine &last = before[{story.daemon, subjectOf(story)}];
        last = std::max(last, story, byTime);
    }
    for (const auto &[subject, story] : before) {
        result.push_back(story);
    }
    std::stable_sort(result.begin(), result.end(), byTime);
    return result;
}

std::string toText(const StoryLine &line)
{
    std::string result = line.time + "  " + line.daemon + "  " + (line.isContext ? "[" : "")
                         + line.step + (line.isContext ? "]" : "") + "  " + line.message;
    if (!line.peer.empty()) {
        result += "  peer=" + line.peer;
    }
    return line.details.empty() ? result : result + "  " + line.details;
}

} // namespace Telemetry
