//===- AnswerParser.h - HTTP answers, incrementally -------------*- C++ -*-===//
//
//   AnswerParser P(Hooks);
//   std::size_t Used = P.feed(Bytes);   // As often as bytes come.
//   P.end();                            // The connection was closed cleanly.
//
// Boost.Beast's parser behind plain types. One parser reads one answer; bytes
// behind it are left to the caller.
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

  /// Reads on; returns how many bytes belong to the answer.
  std::size_t feed(std::string_view Bytes);
  /// The connection ended. Completes an answer that has no length.
  void end();

  bool failed() const; // The bytes are no answer.
  bool done() const;   // The answer is whole.
  /// Whether its length or its chunks end it, rather than the connection.
  bool delimited() const;
  /// Whether the server keeps the connection after it.
  bool keepsAlive() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Data;
};

} // namespace pimento
