#pragma once

#include "commands.h"

/// Adds the command that tells what happened to a request from the daemons' logs.
void addExplainCommand(CLI::App &app, CommandContext &context);
