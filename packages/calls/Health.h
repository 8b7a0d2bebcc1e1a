//===- Health.h - Plain backend servers by their outcomes -------*- C++ -*-===//
//
// A server that fails is ejected for a while, longer each time, and let back
// in by a trickle. Never more than half of a service's servers are ejected.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Random.h"
#include "base/Time.h"
#include "calls/Directory.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace pimento::calls {

struct ServerHealth {
  IncarnationNumber Incarnation =
      0;                       // Of the server that the figures are about.
  double FailureRate = 0;      // Moving average of outcomes, 0 to 1.
  std::uint32_t InFlight = 0;  // Calls of this host.
  std::uint32_t Ejections = 0; // In a row.
  TimePoint EjectedUntil;      // In the past: takes calls.
  bool IsHalfOpen = false;     // Takes one call at a time until one does well.
  bool EchoesIds = false;      // It repeats X-Request-Id.
  TimePoint LastUsed;          // For forgetting.
};

struct HealthSettings {
  double EjectAt = 0.5;               // Failure rate.
  double LearningRate = 0.2;          // Weight of one outcome.
  Duration BaseEjection = seconds(2); // Doubled each time in a row.
  Duration MaxEjection = seconds(60);
};

struct HealthState {
  HealthSettings Settings;
  std::map<BackendId, ServerHealth> Servers;
};

/// Why a server was chosen.
enum class ChoiceReason : std::uint8_t {
  LessLoaded,    // Of two healthy ones drawn at random.
  OnlyOne,       // No other is healthy.
  HalfOpenProbe, // Its ejection is over; it gets one call.
  AllEjected,    // None is healthy; the one whose ejection ends first.
  None,          // There is none.
};

const char *toString(ChoiceReason Reason);

struct ServerChoice {
  const PlainServer *Server = nullptr; // Null: none.
  ChoiceReason Reason = ChoiceReason::None;
  std::size_t Healthy = 0;
  std::size_t Candidates = 0;
};

/// Chooses among \p Servers without those in \p Avoid, unless there is no
/// other.
ServerChoice chooseServer(const HealthState &State,
                          const std::vector<PlainServer> &Servers,
                          const std::vector<BackendId> &Avoid, Random &Rng,
                          TimePoint Now);

void onCallStarted(HealthState &State, const PlainServer &Server,
                   TimePoint Now);
/// Each started call ends once, with whether the server did well. A failure
/// ejects only while fewer than half of \p Servers are ejected.
void onCallEnded(HealthState &State, const BackendId &Server, bool Succeeded,
                 const std::vector<PlainServer> &Servers, TimePoint Now);
/// A started call ended and says nothing of the server.
void onCallDropped(HealthState &State, const BackendId &Server);

} // namespace pimento::calls
