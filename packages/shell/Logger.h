//===- Logger.h - Decision records as JSON lines ----------------*- C++ -*-===//
#pragma once

#include "base/Decision.h"
#include "base/Settings.h"

#include <memory>
#include <string>
#include <string_view>

namespace pimento {

enum class LogLevel : std::uint8_t { Debug, Info, Warning, Error };

/// The level of this name; Info for any other text.
LogLevel logLevelOf(std::string_view Name);

/// Writes one JSON object a line through Boost.Log, a bounded number a second
/// of each kind. Lines for standard output wait for flush(), which never
/// blocks. Fields: time (UTC), level,
/// host, kind, request, reason, and those of the record.
class Logger {
public:
  /// Falls back to standard error where the file cannot be opened.
  Logger(const LogSettings &Settings, HostId Host);
  ~Logger();
  Logger(const Logger &) = delete;
  Logger &operator=(const Logger &) = delete;

  void write(LogLevel Level, const DecisionRecord &Record);
  /// Writes what waits for standard output, as far as it is taken.
  void flush();
  /// Lines that nobody took in time.
  std::uint64_t linesDropped() const;
  /// A line of kind \p Kind without fields.
  void write(LogLevel Level, const char *Kind, std::string Reason);

private:
  struct Impl;
  std::unique_ptr<Impl> Data;
};

} // namespace pimento
