//===- AnswerParser.h - Incremental parser of HTTP answers ------*- C++ -*-===//
//
//   AnswerParser P(Hooks);
//   std::size_t Used = P.feed(Bytes);   // For each piece that arrives.
//   P.end();                            // When the server has closed.
//
// Wraps Boost.Beast's response parser in plain types. One parser reads one
// answer; bytes that follow the answer are left to the caller.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Http.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string_view>
#include <vector>

namespace pimento {

struct AnswerHooks {
  std::function<void(int Status, std::vector<HttpHeader>)> Head;
  std::function<void(std::string_view)> Body;
};

class AnswerParser {
public:
  explicit AnswerParser(AnswerHooks Hooks);
  ~AnswerParser();
  AnswerParser(const AnswerParser &) = delete;
  AnswerParser &operator=(const AnswerParser &) = delete;

  /// Parses the next bytes and calls the hooks. Returns how many of them belong
  /// to the answer. On a syntax error, where a head or a line has no end, or
  /// where the head leaves a choice of where the answer ends,
  /// all bytes count as consumed and failed() holds afterwards. Calls after the
  /// end of the answer or a failure return 0.
  std::size_t feed(std::string_view Bytes);
  /// Reports that the server closed the connection. Completes an answer without
  /// a length; any other unfinished answer fails.
  void end();

  bool failed() const; // Malformed or truncated answer.
  bool done() const;   // The answer is complete.
  /// Whether a length or a chunked encoding delimits the answer, rather than
  /// the end of the connection.
  bool delimited() const;
  /// Whether the server keeps the connection open after the answer.
  bool keepsAlive() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Data;
};

} // namespace pimento
