//===- LedgerSwitches.h - Failures of the fake ledger -----------*- C++ -*-===//
#pragma once

#include "base/Json.h"
#include "base/Time.h"

#include <cstdint>
#include <string>

namespace pimento::fakes {

/// What happens to a connection that stays idle for HalfOpenAfter.
enum class HalfOpen : std::uint8_t {
  Off,
  Fin,  // Its sending side is closed; what comes in is thrown away.
  Mute, // Nothing is said; what comes in is thrown away.
};

struct LedgerSwitches {
  Duration Slow = Duration::zero(); // Wait after running, before answering.
  Duration SlowStart = Duration::zero(); // Wait before running.
  bool Silent = false;                   // Run and never answer.
  std::int64_t CutAfterBytes = -1;       // Answer's bytes sent; below 0: all.
  bool Crossed = false;                  // Answer as the call before.
  bool DieAfterRun = false;              // Exit after the journal is synced.
  bool Refuse = false;                   // 503 with X-Not-Run, nothing run.
  bool ErrorAfterRun = false;            // 500 after running.
  HalfOpen Idle = HalfOpen::Off;
  Duration HalfOpenAfter = milliseconds(200);
  bool StopAnnouncing = false;
  bool Leaving = false;    // Announce leaving and refuse as not run.
  std::uint64_t Count = 0; // Calls that fail so; zero: all of them.
};

/// Sets the switches that \p Object names and leaves the others. On a key or
/// value that it doesn't know it changes nothing and returns what is wrong.
std::string setSwitches(const Json &Object, LedgerSwitches &Switches);
Json toJson(const LedgerSwitches &Switches);

/// Takes one call off Count, and clears the failures of single calls once
/// there is none left. Call it for each call that is met by a failure.
void countFailure(LedgerSwitches &Switches);
/// Whether any failure of single calls is set.
bool failsCalls(const LedgerSwitches &Switches);

} // namespace pimento::fakes
