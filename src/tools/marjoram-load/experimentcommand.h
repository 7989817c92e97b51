#pragma once

#include <CLI/CLI.hpp>

/// Adds `experiment SCENARIO.json`: compares policies on virtual time. A failed run makes the
/// exit code non-zero.
void addExperimentCommand(CLI::App &app, int &exitCode);
