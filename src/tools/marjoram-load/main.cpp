#include "experimentcommand.h"
#include "httpcommand.h"

int main(int argc, char **argv)
{
    CLI::App app("Load and experiment tool of marjoramfield", "marjoram-load");
    app.require_subcommand(1);
    int exitCode = 0;
    addExperimentCommand(app, exitCode);
    addHttpCommand(app, exitCode);
    CLI11_PARSE(app, argc, argv);
    return exitCode;
}
