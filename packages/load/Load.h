//===- Load.h - The bounded load run of the command line --------*- C++ -*-===//
//
//   return pimento::load::loadCommand(Arguments, std::cout, std::cerr);
//
// Index
//   Plan.h      the arrivals, from a seed; hard bounds
//   Options.h   arguments and site files
//   Answer.h    what a caller makes of one reply
//   Report.h    the reducer over what was sent and heard
//   Run.h       the loop that sends a plan
//   Summary.h   figures, writers of text, JSON and HTML, exit status
//
// docs/LOAD.md says how to read the figures.
//
//===----------------------------------------------------------------------===//
#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace pimento::load {

/// Runs `load` with the arguments behind it. Writes the report to \p Out,
/// progress and what is wrong to \p Err. Returns the exit status: 0 all
/// answered or honestly refused, 1 a promise was seen broken, 2 wrong arguments
/// or files, 3 a host could not be reached. Ignores SIGPIPE from then on.
int loadCommand(const std::vector<std::string> &Arguments, std::ostream &Out,
                std::ostream &Err);

} // namespace pimento::load
