#include "explaincommand.h"

#include <telemetry/logstory.h>

#include <nlohmann/json.hpp>

#include <fstream>
#include <iostream>
#include <stdexcept>

namespace {

using nlohmann::json;
using Telemetry::LogStory;
using Telemetry::StoryLine;

void addAll(LogStory &story, std::istream &input)
{
    for (std::string line; std::getline(input, line);) {
        story.add(line);
    }
}

LogStory readStory(const std::string &id, const std::vector<std::string> &files)
{
    LogStory story(id);
    if (files.empty()) {
        addAll(story, std::cin);
    }
    for (const std::string &file : files) {
        std::ifstream input(file);
        if (!input) {
            throw std::runtime_error(file + ": cannot be read");
        }
        addAll(story, input);
    }
    return story;
}

json toJson(const StoryLine &line)
{
    return {{"time", line.time},
            {"daemon", line.daemon},
            {"step", line.step},
            {"peer", line.peer},
            {"message", line.message},
            {"details", line.details},
            {"context", line.isContext}};
}

void explain(const CommandContext &context,
             const std::string &id,
             const std::vector<std::string> &files)
{
    const LogStory story = readStory(id, files);
    const std::vector<StoryLine> lines = story.lines();
    if (story.unreadableCount() > 0) {
        std::cerr << "marjoramctl: " << story.unreadableCount() << " lines are no log lines\n";
    }
    if (lines.empty()) {
        throw std::runtime_error("no line of the logs names the request or program " + id);
    }
    if (context.isJson) {
        json result = json::array();
        for (const StoryLine &line : lines) {
            result.push_back(toJson(line));
        }
        std::cout << result.dump(2) << '\n';
        return;
    }
    for (const StoryLine &line : lines) {
        std::cout << Telemetry::toText(line) << '\n';
    }
}

} // namespace

void addExplainCommand(CLI::App &app, CommandContext &context)
{
    const auto id = std::make_shared<std::string>();
    const auto files = std::make_shared<std::vector<std::string>>();
    CLI::App *command = app.add_subcommand(
        "explain",
        "what happened to a request or program, from logs of daemons; example: marjoramctl explain "
        "9c41d07be2a35f68 front-*.log");
    command->add_option("id", *id, "id of a request or program")->required();
    command->add_option("logs", *files, "log files; standard input without any");
    command->callback([id, files, &context] { explain(context, *id, *files); });
}
