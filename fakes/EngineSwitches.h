//===- EngineSwitches.h - Failures of the fake engine -----------*- C++ -*-===//
#pragma once

#include "base/Json.h"

#include <cstdint>
#include <string>

namespace pimento::fakes {

/// Failures to inject. A negative token or byte count disables its failure.
struct EngineSwitches {
  double Slow = 1; // Factor on prefill and decode times.
  /// While it is set, all streams, also open ones, send no events and no
  /// progress. New streams still send status 200.
  bool Silent = false;
  bool Mute = false;                 // Accept requests and never reply.
  std::int64_t CutAfterTokens = -1;  // Per connection; then close it.
  std::int64_t CutAfterBytes = -1;   // Per connection, event bytes.
  std::int64_t FailAfterTokens = -1; // Per connection; then "error".
  std::int64_t DieAfterTokens = -1;  // All streams from now on; then exit.
  double CrossedShare = 0;           // Events replaced by another attempt's.
  double DuplicatedShare = 0;        // Events that are sent twice.
  std::string Refuse;                // Reason of refusals; empty: none.
  bool StopAnnouncing = false;
  bool Leaving = false;          // Announce shutdown; refuse as not run.
  std::uint64_t LeakCancels = 0; // Cancels until memory is freed; zero: one.
  std::uint64_t Count = 0;       // Requests to fail; zero: all.
};

/// Sets the switches that \p Object names and keeps the others. Returns an
/// error text, and changes nothing, on an unknown key or invalid value.
std::string setSwitches(const Json &Object, EngineSwitches &Switches);
Json toJson(const EngineSwitches &Switches);

/// Decrements Count, unless it is zero, and clears the failures of single
/// requests (mute, cut, fail, refuse) once it reaches zero.
void countFailure(EngineSwitches &Switches);

} // namespace pimento::fakes
