//===- Journal.h - File of the calls that a ledger executed -----*- C++ -*-===//
#pragma once

#include <cstdint>
#include <string>

namespace pimento::fakes {

/// One executed call.
struct JournalEntry {
  std::string Key;     // Idempotency-Key; empty if absent.
  std::string Account; // X-Client-Account; empty if absent.
  std::string Path;
  std::string BodySha256;
  std::int64_t AtMs = 0; // Wall clock, milliseconds since 1970.
};

/// Appends one JSON line per call and syncs the file before append() returns.
struct Journal {
  Journal() = default;
  ~Journal();
  Journal(const Journal &) = delete;
  Journal &operator=(const Journal &) = delete;

  /// Opens or creates the file at \p Path.
  bool open(const std::string &Path);
  /// Returns false if the line may not be on disk.
  bool append(const JournalEntry &Entry) const;

private:
  int File = -1;
};

} // namespace pimento::fakes
