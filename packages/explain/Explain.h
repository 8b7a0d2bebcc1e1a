//===- Explain.h - History of one request from logs -------------*- C++ -*-===//
//
//   Explanation E = explain("8cdc9a846081a464", Files);
//   std::cout << E.Text;
//
// Reads the logs of any number of hosts and reports what they say about one
// request. The lines of one host are taken in the order of the log; timestamps
// of different hosts are not compared. Lines that are not a JSON object, such
// as truncated lines, are counted and skipped.
//
//===----------------------------------------------------------------------===//
#pragma once

#include <cstdint>
#include <ostream>
#include <string>
#include <vector>

namespace pimento::explain {

/// A log of one or several hosts, as written to standard output.
struct LogFile {
  std::string Name;
  std::string Text;
};

struct Explanation {
  bool Found = false;           // Whether any line mentions the request.
  std::string Text;             // Report in plain text.
  std::uint64_t Lines = 0;      // Non-empty lines read.
  std::uint64_t Unreadable = 0; // Lines read but not a JSON object with a kind.
};

/// Explains the request that its caller labelled with \p ClientAttemptId: its
/// log lines, the decision that ended it, and the state that its host had
/// logged before the request's last line, each entry with its time. Also
/// reports other failures at the servers involved.
Explanation explain(const std::string &ClientAttemptId,
                    const std::vector<LogFile> &Files);

/// Runs `explain ID LOG...`. Returns the exit status: 0 explained, 1 no line
/// mentions the ID, 2 wrong arguments or an unreadable file.
int explainCommand(const std::vector<std::string> &Arguments, std::ostream &Out,
                   std::ostream &Err);

} // namespace pimento::explain
