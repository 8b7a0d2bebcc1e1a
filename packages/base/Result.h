//===- Result.h - Results that carry a numbered code ------------*- C++ -*-===//
//
//   Result<Settings> S = loadSettings(Path);
//   if (!S)
//     return S.error();
//
// Handle with boost::leaf::try_handle_all and a handler for Failure. Outside
// such a scope the failure's details are not kept, only that there was one.
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
  std::string Detail; // For people: what was found, what was expected, where.
};

/// The error value of a function that returns Result.
inline boost::leaf::error_id fail(Code Number, std::string Detail) {
  return boost::leaf::new_error(Failure{Number, std::move(Detail)});
}

/// Runs \p Try, which returns Result<T>. On failure fills \p Why and returns
/// \p Otherwise.
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
