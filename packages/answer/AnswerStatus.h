//===- AnswerStatus.h - Statuses that HTTP knows ----------------*- C++ -*-===//
//
// A server in trouble may send a status that is none, such as 000. An answer
// with such a status is malformed, whatever else it holds.
//
//===----------------------------------------------------------------------===//
#pragma once

namespace pimento {

/// Whether \p Status is one of HTTP, 100 to 599.
constexpr bool isStatus(int Status) {
  constexpr int First = 100;
  constexpr int Last = 599;
  return Status >= First && Status <= Last;
}

/// Whether \p Status is one that no other answer to the request follows, 200
/// to 599.
constexpr bool isFinalStatus(int Status) {
  constexpr int FirstFinal = 200;
  return isStatus(Status) && Status >= FirstFinal;
}

} // namespace pimento
