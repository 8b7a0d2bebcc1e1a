//===- LedgerSwitches.h - Failures of the fake ledger -----------*- C++ -*-===//
#pragma once

#include "base/Json.h"
#include "base/Time.h"

#include <cstdint>
#include <string>

namespace pimento::fakes {

/// Treatment of a connection that stays idle for HalfOpenAfter.
enum class HalfOpen : std::uint8_t {
  Off,
  Fin,  // Closes the sending side; received data is discarded.
  Mute, // Sends nothing; received data is discarded.
};

struct LedgerSwitches {
  Duration Slow = Duration::zero(); // Wait after running, before answering.
  Duration SlowStart = Duration::zero(); // Wait before running.
  bool Silent = false;                   // Run and never answer.
  std::int64_t CutAfterBytes = -1;       // Bytes sent; below 0: all.
  bool Crossed = false;                  // Repeat the previous answer.
  bool DieAfterRun = false;              // Exit after the journal is synced.
  bool Refuse = false;                   // 503 with X-Not-Run, nothing run.
  bool ErrorAfterRun = false;            // 500 after running.
  HalfOpen Idle = HalfOpen::Off;
  Duration HalfOpenAfter = milliseconds(200);
  bool StopAnnouncing = false;
  bool Leaving = false;    // Announce shutdown; refuse as not run.
  std::uint64_t Count = 0; // Calls to fail; zero: all.
};

/// Sets the switches that \p Object names and keeps the others. Returns an
/// error text, and changes nothing, on an unknown key or invalid value.
std::string setSwitches(const Json &Object, LedgerSwitches &Switches);
Json toJson(const LedgerSwitches &Switches);

/// Decrements Count, unless it is zero, and clears the failures of single calls
/// once it reaches zero. Must be called for each call that a failure was
/// injected into.
void countFailure(LedgerSwitches &Switches);
/// Whether any failure of single calls is set.
bool failsCalls(const LedgerSwitches &Switches);

} // namespace pimento::fakes
