//===- SwitchReader.h - Reads failure switches from JSON --------*- C++ -*-===//
#pragma once

#include "base/Json.h"
#include "base/Time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace pimento::fakes {

/// Returns false, and leaves \p Value unchanged, unless \p Number is an integer
/// of at least 0.
bool readCount(const Json &Number, std::uint64_t &Value);

/// Reads the members of one JSON object by name and records an error.
///
///   SwitchReader R(Object);
///   R.flag("silent", S.Silent);
///   std::string Problem = R.finish();
struct SwitchReader {
  explicit SwitchReader(const Json &Object);

  void flag(const char *Name, bool &Value);
  void count(const char *Name, std::uint64_t &Value);
  void integer(const char *Name, std::int64_t &Value);
  void number(const char *Name, double &Value); // At least zero.
  void text(const char *Name, std::string &Value);
  void millis(const char *Name, Duration &Value);

  /// Returns an error text; empty if each member was known and of its type.
  std::string finish() const;

private:
  const Json *find(const char *Name);
  void wrong(const char *Name, const char *Expected);

  const Json &Object;
  std::vector<std::string> Known;
  std::string Problem;
};

} // namespace pimento::fakes
