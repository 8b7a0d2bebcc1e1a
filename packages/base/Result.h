//===- Result.h - Results with a numbered error code ------------*- C++ -*-===//
//
//   Result<Json> Value = parseJson(Text, Limits);
//   if (!Value)
//     return Value.error();
//
// Handle errors with valueOr(), or with boost::leaf::try_handle_all and a
// handler for Failure. Outside such a scope LEAF discards the Failure, and only
// the fact that there was an error remains.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Codes.h"

#include <boost/leaf.hpp>

#include <string>
#include <utility>

namespace pimento {

template <class T> using Result = boost::leaf::result<T>;

/// Why an operation failed.
struct Failure {
  Code Number = Code::BackendFailed;
  // Readable text: what was expected, what was found, and where.
  std::string Detail;
};

/// Creates the error value of a function that returns Result.
inline boost::leaf::error_id fail(Code Number, std::string Detail) {
  return boost::leaf::new_error(Failure{Number, std::move(Detail)});
}

/// Runs \p Try, which returns Result<T>, and returns its value. On failure
/// stores the cause in \p Why and returns \p Otherwise.
template <class T, class F> T valueOr(F &&Try, T Otherwise, Failure &Why) {
  return boost::leaf::try_handle_all([&]() -> Result<T> { return Try(); },
                                     [&](const Failure &Reason) {
                                       Why = Reason;
                                       return std::move(Otherwise);
                                     },
                                     [&] {
                                       Why = Failure{};
                                       return std::move(Otherwise);
                                     });
}

} // namespace pimento
