#pragma once

#include "operatorclient.h"

#include <CLI/CLI.hpp>

#include <functional>

/// What every command of the tool shares.
struct CommandContext
{
    bool isJson = false;
    bool isDryRun = false;
    /// 0 for none.
    std::int64_t expectedVersion = 0;
    /// Connects on first use.
    std::function<OperatorClient &()> client;
};

/// Adds team, key, rate, budget, service, server, config and status to the application.
/// The commands' callbacks run while CLI11 parses.
void addCommands(CLI::App &app, CommandContext &context);
