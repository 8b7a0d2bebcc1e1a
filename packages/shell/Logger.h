//===- Logger.h - Decision records as JSON lines ----------------*- C++ -*-===//
#pragma once

#include "base/Decision.h"
#include "base/Settings.h"

#include <memory>
#include <string>
#include <string_view>

namespace pimento {

enum class LogLevel : std::uint8_t { Debug, Info, Warning, Error };

/// Returns the level with this name; Info for any other text.
LogLevel logLevelOf(std::string_view Name);

/// Writes one JSON object per line through Boost.Log, with a limit of lines per
/// second for each kind. Lines for standard output are buffered until flush(),
/// which never blocks. Fields: time (UTC), level, host, kind, request, reason,
/// and those of the record.
class Logger {
public:
  /// Logs to standard error if the file cannot be opened.
  Logger(const LogSettings &Settings, HostId Host);
  ~Logger();
  Logger(const Logger &) = delete;
  Logger &operator=(const Logger &) = delete;

  void write(LogLevel Level, const DecisionRecord &Record);
  /// Writes buffered lines to standard output, as far as it accepts them
  /// without blocking.
  void flush();
  /// Number of lines dropped because standard output was not read in time.
  std::uint64_t linesDropped() const;
  /// Writes a line of kind \p Kind that has only a reason.
  void write(LogLevel Level, const char *Kind, std::string Reason);

private:
  struct Impl;
  std::unique_ptr<Impl> Data;
};

} // namespace pimento
