#pragma once

namespace jujubedrum
{

/// Runs the subcommand `run`: sends a load to running entry instances and
/// prints outcomes, response times and wasted messages. With a work
/// scale of 1, it also prints the ratios to the perfect replay.
/// \param argc,argv arguments from the subcommand on.
/// \return the exit status: 0, or 2 if an argument is wrong.
int run_run_command(int argc, char** argv);

} // namespace jujubedrum
