//===- Run.h - Runs one command ---------------------------------*- C++ -*-===//
//
//   Session S{Options, TokenFile, TokenText, httpNetwork(), std::cin};
//   ExitCode Exit = run(Words, S, std::cout, std::cerr);
//
//===----------------------------------------------------------------------===//
#pragma once

#include "ctl/Command.h"
#include "ctl/Exchange.h"

#include <iosfwd>
#include <string>
#include <vector>

namespace pimento::ctl {

/// Options, credentials and I/O of a command.
struct Session {
  Options Settings;
  std::string TokenFile; // Overrides TokenText; empty: none.
  std::string TokenText; // Token from the environment.
  Network Net;
  std::istream &In; // Standard input, read for the file "-".
};

/// Parses and runs the command in \p Words. The token is never printed.
ExitCode run(const std::vector<std::string> &Words, const Session &S,
             std::ostream &Out, std::ostream &Err);

} // namespace pimento::ctl
