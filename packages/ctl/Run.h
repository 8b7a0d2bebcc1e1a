//===- Run.h - One command from words to exit code --------------*- C++ -*-===//
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

/// What a command finds around it.
struct Session {
  Options Settings;
  std::string TokenFile; // Goes before TokenText; empty: none.
  std::string TokenText; // Of the environment.
  Network Net;
  std::istream &In; // What "-" stands for.
};

/// Runs the command of \p Words. The token is never written anywhere.
ExitCode run(const std::vector<std::string> &Words, const Session &S,
             std::ostream &Out, std::ostream &Err);

} // namespace pimento::ctl
