#include "httpcommand.h"

#include "httpload.h"

#include <iostream>
#include <memory>

namespace {

struct HttpArguments
{
    Load::HttpTarget target;
    std::string key;
    std::string directUrl;
    int connections = 16;
    int streams = 0;
    double rate = 0;
    int seconds = 5;
};

Load::HttpLoadOptions loadOptions(const HttpArguments &arguments, const Load::HttpTarget &target)
{
    Load::HttpLoadOptions options;
    options.target = target;
    options.connections = arguments.connections;
    options.ratePerSecond = arguments.rate;
    options.duration = std::chrono::seconds(arguments.seconds);
    return options;
}

std::string measureStreams(const HttpArguments &arguments)
{
    Load::StreamLoadOptions options;
    options.target = arguments.target;
    options.streams = arguments.streams;
    options.duration = std::chrono::seconds(arguments.seconds);
    return Load::toJson(Load::runStreamLoad(options));
}

std::string measureRatio(const HttpArguments &arguments)
{
    // The key is for the daemon only; a backend server never sees it.
    Load::HttpTarget direct = arguments.target;
    direct.url = arguments.directUrl;
    direct.headers.clear();
    Load::RatioOptions options;
    options.direct = loadOptions(arguments, direct);
    options.through = loadOptions(arguments, arguments.target);
    return Load::toJson(Load::runRatio(options));
}

std::string measure(const HttpArguments &arguments)
{
    if (arguments.streams > 0) {
        return measureStreams(arguments);
    }
    if (!arguments.directUrl.empty()) {
        return measureRatio(arguments);
    }
    return Load::toJson(Load::runHttpLoad(loadOptions(arguments, arguments.target)));
}

} // namespace

void addHttpCommand(CLI::App &app, int &exitCode)
{
    auto arguments = std::make_shared<HttpArguments>();
    CLI::App *http = app.add_subcommand("http", "load on a running daemon; prints JSON");
    http->add_option("url", arguments->target.url, "URL; {n} becomes the request's number")
        ->required();
    http->add_option("--method", arguments->target.method, "HTTP method");
    http->add_option("--body", arguments->target.body, "body; {n} becomes the request's number");
    http->add_option("--key", arguments->key, "team's key");
    http->add_option(
        "--direct", arguments->directUrl, "the same call directly at a backend server");
    http->add_option("--connections", arguments->connections, "connections");
    http->add_option("--streams", arguments->streams, "streams at once, instead of whole answers");
    http->add_option("--rate", arguments->rate, "requests per second; 0 for a closed loop");
    http->add_option("--seconds", arguments->seconds, "duration");
    http->callback([arguments, &exitCode] {
        arguments->target.headers.emplace_back("Content-Type: application/json");
        if (!arguments->key.empty()) {
            arguments->target.headers.push_back("Authorization: Bearer " + arguments->key);
        }
        std::cout << measure(*arguments) << '\n';
        exitCode = 0;
    });
}
