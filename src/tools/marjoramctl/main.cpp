#include "commands.h"
#include "explaincommand.h"
#include "historycommands.h"

#include <rpc/tlsfactory.h>

#include <csignal>
#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>

namespace {

enum ExitCode {
    Success = 0,
    Failed = 1,
    Usage = 2,
    NotAllowed = 3,
    Conflicting = 4,
    NoAnswer = 5
};

class ProfileError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

Profile loadProfile(const std::string &file)
{
    if (file.empty()) {
        throw ProfileError("--profile is required");
    }
    const std::ifstream input(file);
    if (!input) {
        throw ProfileError(file + ": cannot be read");
    }
    std::ostringstream text;
    text << input.rdbuf();
    ParsedProfile parsed = parseProfile(text.str());
    if (!parsed.problems.empty()) {
        const Base::SettingsProblem &first = parsed.problems.front();
        throw ProfileError(file + ": " + first.path + ": found " + first.found + ", expected "
                           + first.expected);
    }
    return std::move(parsed.profile);
}

int fail(ExitCode code, const std::string &message)
{
    std::cerr << "marjoramctl: " << message << '\n';
    return code;
}

} // namespace

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    Rpc::discardThriftOutput();
    CLI::App app("marjoramctl: operates a fleet of marjoramd daemons");
    app.require_subcommand(1);
    CommandContext context;
    std::string profileFile;
    app.add_option("--profile", profileFile, "JSON file: address, certificates, operator, token")
        ->envname("MARJORAM_PROFILE");
    app.add_flag("--json", context.isJson, "machine-readable output");
    app.add_flag("--dry-run", context.isDryRun, "check a change without making it");
    app.add_option(
        "--expect-version", context.expectedVersion, "refuse if another change came first");
    app.fallthrough();
    std::optional<OperatorClient> client;
    context.client = [&]() -> OperatorClient & {
        if (!client) {
            client.emplace(loadProfile(profileFile));
        }
        return *client;
    };
    addCommands(app, context);
    addExplainCommand(app, context);
    addHistoryCommands(app, context);
    try {
        app.parse(argc, argv);
        return Success;
    } catch (const CLI::ParseError &error) {
        return app.exit(error) == 0 ? Success : Usage;
    } catch (const ProfileError &error) {
        return fail(Usage, error.what());
    } catch (const OperatorProtocol::Unauthorized &error) {
        return fail(NotAllowed, error.message);
    } catch (const OperatorProtocol::InvalidChange &error) {
        for (const OperatorProtocol::Problem &problem : error.problems) {
            std::cerr << "marjoramctl: " << problem.path << ": found " << problem.found
                      << ", expected " << problem.expected << '\n';
        }
        return Failed;
    } catch (const OperatorProtocol::Conflict &error) {
        return fail(Conflicting,
                    "another change came first: expected version "
                        + std::to_string(error.expectedVersion) + ", found "
                        + std::to_string(error.foundVersion));
    } catch (const OperatorProtocol::Unavailable &error) {
        return fail(NoAnswer, error.message + " (" + error.ran + ")");
    } catch (const apache::thrift::TException &error) {
        return fail(NoAnswer, std::string("no answer from the daemon: ") + error.what());
    } catch (const std::runtime_error &error) {
        return fail(Failed, error.what());
    }
}
