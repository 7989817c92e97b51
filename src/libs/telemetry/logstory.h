#pragma once

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Telemetry {

/// One line of the story: a decision on the request, or what a daemon took for true at that time.
struct StoryLine
{
    std::string time;
    std::string daemon;
    std::string step;
    std::string peer;
    std::string message;
    /// All other fields in the order of their names, as "name=value".
    std::string details;
    /// The line is not about the request itself.
    bool isContext = false;
};

/// Tells what happened to one request or program from the logs of several daemons: its own lines,
/// those of requests that continue it, and, of the daemons that decided on them, the last change of
/// each thing that they believed before, and all changes until the end.
class LogStory
{
public:
    /// \a id is of a request or of a program.
    explicit LogStory(std::string id)
        : id_(std::move(id))
    {}

    /// Adds one line of any daemon's log. Text before the first brace is ignored.
    void add(std::string_view line);

    /// The lines in the order of time, by the clocks of the daemons.
    std::vector<StoryLine> lines() const;
    /// Lines that are no JSON object with a time and a daemon.
    std::size_t unreadableCount() const { return unreadable_; }

private:
    bool isAboutId(const nlohmann::json &fields) const;

    std::string id_;
    std::vector<StoryLine> own_;
    /// Lines of daemons that are not about a request.
    std::vector<StoryLine> context_;
    std::size_t unreadable_ = 0;
};

/// Returns the line as text: time, daemon, step, message, peer and details.
std::string toText(const StoryLine &line);

} // namespace Telemetry
