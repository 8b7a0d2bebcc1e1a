//===- Journal.h - The file of calls that a ledger ran ----------*- C++ -*-===//
#pragma once

#include <cstdint>
#include <string>

namespace pimento::fakes {

/// One call that was run.
struct JournalEntry {
  std::string Key;     // Idempotency-Key; empty: the caller gave none.
  std::string Account; // X-Client-Account; empty: the caller gave none.
  std::string Path;
  std::string BodySha256;
  std::int64_t AtMs = 0; // Wall clock, since 1970.
};

/// Appends one JSON line for each call and syncs it before it returns.
struct Journal {
  Journal() = default;
  ~Journal();
  Journal(const Journal &) = delete;
  Journal &operator=(const Journal &) = delete;

  /// Opens or makes the file at \p Path.
  bool open(const std::string &Path);
  /// False where the line is not surely on disk.
  bool append(const JournalEntry &Entry) const;

private:
  int File = -1;
};

} // namespace pimento::fakes
