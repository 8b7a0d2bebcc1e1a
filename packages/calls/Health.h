//===- Health.h - Outlier ejection of plain backend servers -----*- C++ -*-===//
//
// Chooses a server for each plain call and tracks the outcomes. A failing
// server is ejected, for longer each time in a row; afterwards it is half-open
// and gets single calls as probes until one succeeds. At most half of a
// service's servers are ejected at a time.
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
  // Incarnation of the server that the other fields describe.
  IncarnationNumber Incarnation = 0;
  double FailureRate = 0;      // Moving average of failures, 0 to 1.
  std::uint32_t InFlight = 0;  // Calls in flight from this host.
  std::uint32_t Ejections = 0; // Ejections in a row.
  TimePoint EjectedUntil;      // In the past: not ejected.
  bool IsHalfOpen = false;     // Gets one call at a time until one succeeds.
  bool EchoesIds = false;      // The server echoes X-Request-Id.
  TimePoint LastUsed;          // Entries unused for long are evicted.
};

struct HealthSettings {
  double EjectAt = 0.5;               // Failure rate that leads to ejection.
  double LearningRate = 0.2;          // Weight of one outcome in the average.
  Duration BaseEjection = seconds(2); // Doubles with each ejection in a row.
  Duration MaxEjection = seconds(60);
};

struct HealthState {
  HealthSettings Settings;
  std::map<BackendId, ServerHealth> Servers;
};

/// Finds the health of one server after the other, at little cost where they
/// come in the order of their ids.
class HealthSearch {
public:
  explicit HealthSearch(const HealthState &State)
      : Servers(State.Servers), Next(State.Servers.begin()) {}

  /// Null if nothing is known of the server. The entry may be that of an
  /// earlier incarnation.
  const ServerHealth *find(const BackendId &Server);

private:
  const std::map<BackendId, ServerHealth> &Servers;
  std::map<BackendId, ServerHealth>::const_iterator Next; // After the last one.
};

/// Why a server was chosen.
enum class ChoiceReason : std::uint8_t {
  LessLoaded,    // Less loaded of two healthy servers drawn at random.
  OnlyOne,       // The only healthy server.
  HalfOpenProbe, // A half-open server without a call in flight.
  AllEjected,    // No server is healthy; this one's ejection ends first.
  None,          // The service has no server.
};

const char *toString(ChoiceReason Reason);

struct ServerChoice {
  const PlainServer *Server = nullptr; // Null: no server is available.
  ChoiceReason Reason = ChoiceReason::None;
  std::size_t Healthy = 0;
  std::size_t Candidates = 0;
};

/// Chooses one of \p Servers. Servers in \p Avoid are chosen only if there is
/// no other one.
ServerChoice chooseServer(const HealthState &State,
                          const std::vector<PlainServer> &Servers,
                          const std::vector<BackendId> &Avoid, Random &Rng,
                          TimePoint Now);

void onCallStarted(HealthState &State, const PlainServer &Server,
                   TimePoint Now);
/// Records the outcome of a started call. A failure ejects the server only if
/// at most half of \p Servers are ejected afterwards. Each started call must
/// end once, here or in onCallDropped().
void onCallEnded(HealthState &State, const BackendId &Server, bool Succeeded,
                 const std::vector<PlainServer> &Servers, TimePoint Now);
/// The same for a call that has ended, whose outcome is known later.
void recordOutcome(HealthState &State, const BackendId &Server, bool Succeeded,
                   const std::vector<PlainServer> &Servers, TimePoint Now);
/// Ends a started call whose outcome does not count for the server's health, or
/// is not known yet.
void onCallDropped(HealthState &State, const BackendId &Server);

} // namespace pimento::calls
