#pragma once

#include "commands.h"

/// Adds the commands that read the folders of daemons that keep turns, without any daemon.
void addHistoryCommands(CLI::App &app, CommandContext &context);
