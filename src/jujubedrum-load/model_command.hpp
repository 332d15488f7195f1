#pragma once

namespace jujubedrum
{

/// Runs the subcommand `model`: simulates one schedule with an omniscient
/// dispatcher and with placement policies, and prints a comparison.
/// \param argc,argv arguments from the subcommand on.
/// \return the exit status: 0, or 2 if an argument is wrong.
int run_model_command(int argc, char** argv);

} // namespace jujubedrum
