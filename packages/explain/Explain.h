//===- Explain.h - The story of one request from logs -----------*- C++ -*-===//
//
//   Explanation E = explain("8cdc9a846081a464", Files);
//   std::cout << E.Text;
//
// Reads the logs of any number of hosts. Within one host's log the order of the
// lines is the order of events; the clocks of two hosts are not compared. Lines
// that are no JSON object, also in part, are counted and passed over.
//
//===----------------------------------------------------------------------===//
#pragma once

#include <cstdint>
#include <ostream>
#include <string>
#include <vector>

namespace pimento::explain {

/// The log of one or several hosts, as it came from standard output.
struct LogFile {
  std::string Name;
  std::string Text;
};

struct Explanation {
  bool Found = false;           // Some line is about the request.
  std::string Text;             // For people.
  std::uint64_t Lines = 0;      // That were read.
  std::uint64_t Unreadable = 0; // Of these, no JSON object.
};

/// What became of the request whose caller named this try \p ClientAttemptId,
/// the decision that ended it, and what its host believed then, with ages.
Explanation explain(const std::string &ClientAttemptId,
                    const std::vector<LogFile> &Files);

/// Runs `explain ID LOG...`. Returns the exit status: 0 explained, 1 no line is
/// about it, 2 wrong arguments or a file that cannot be read.
int explainCommand(const std::vector<std::string> &Arguments, std::ostream &Out,
                   std::ostream &Err);

} // namespace pimento::explain
