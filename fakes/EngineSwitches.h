//===- EngineSwitches.h - Failures of the fake engine -----------*- C++ -*-===//
#pragma once

#include "base/Json.h"

#include <cstdint>
#include <string>

namespace pimento::fakes {

/// Token and byte counts below zero switch that failure off.
struct EngineSwitches {
  double Slow = 1;                   // Factor on prefill and decode times.
  bool Silent = false;               // 200, then not a byte, on all streams.
  bool Mute = false;                 // Take the request and never reply.
  std::int64_t CutAfterTokens = -1;  // Of one connection; then close it.
  std::int64_t CutAfterBytes = -1;   // Of one connection's events.
  std::int64_t FailAfterTokens = -1; // Of one connection; then "error".
  std::int64_t DieAfterTokens = -1;  // Of all from now on; then exit.
  double CrossedShare = 0;           // Events of another attempt instead.
  double DuplicatedShare = 0;        // Events that are sent twice.
  std::string Refuse;                // Reason; empty: nothing is refused.
  bool StopAnnouncing = false;
  bool Leaving = false;          // Announce leaving and refuse as not run.
  std::uint64_t LeakCancels = 0; // Cancels until memory is freed; zero: one.
  std::uint64_t Count = 0;       // Requests that fail so; zero: all of them.
};

/// Sets the switches that \p Object names and leaves the others. On a key or
/// value that it doesn't know it changes nothing and returns what is wrong.
std::string setSwitches(const Json &Object, EngineSwitches &Switches);
Json toJson(const EngineSwitches &Switches);

/// Takes one request off Count, and clears the failures of single requests
/// (mute, cut, fail, refuse) once there is none left.
void countFailure(EngineSwitches &Switches);

} // namespace pimento::fakes
