#pragma once

#include <CLI/CLI.hpp>

/// Adds "http": load on a running daemon. The exit code is set when the command runs.
void addHttpCommand(CLI::App &app, int &exitCode);
