//===- Load.h - Load generator of the command line tool ---------*- C++ -*-===//
//
//   return pimento::load::loadCommand(Arguments, std::cout, std::cerr);
//
// Index
//   Plan.h      arrivals generated from a seed; limits of a run
//   Options.h   command line arguments and site files
//   Answer.h    parser and checks of one reply
//   Report.h    records of the requests of one phase
//   Run.h       event loop that sends the requests of a plan
//   Summary.h   statistics, text, JSON and HTML output, exit status
//
// docs/LOAD.md explains the figures.
//
//===----------------------------------------------------------------------===//
#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace pimento::load {

/// Runs the `load` command with \p Arguments. Writes the report to \p Out,
/// progress and errors to \p Err. Returns the exit status: 0 all requests were
/// answered or refused with a valid code, 1 a guarantee was violated, 2 invalid
/// arguments or files, 3 a host was unreachable. A run sets SIGPIPE to be
/// ignored for the rest of the process.
int loadCommand(const std::vector<std::string> &Arguments, std::ostream &Out,
                std::ostream &Err);

} // namespace pimento::load
