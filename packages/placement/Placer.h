//===- Placer.h - Placement of requests on engines --------------*- C++ -*-===//
//
// Chooses the engines that run a request. Prompts of very different lengths
// share the engines: the prefill of a long prompt delays the next events of the
// requests that decode on the same engine, and a short prompt waits while a
// long prompt ahead of it is prefilled. Therefore
// * short prompts are packed onto engines that already decode for short ones,
// * a long prompt is split over as many engines as its objective needs, in
//   parts small enough that no event of another request is late,
// * a request that fits nowhere waits as long as its caller may still be there,
//   and is refused at once if its deadline cannot be met.
//
//   PlacerState S;
//   setEngines(S, Routes, Servers);
//   PlacementOutcome O = placeRequest(S, Key, Spec, Now);
//   updateStage(S, Key, Stage, FaultyServer, Now);
//   for (auto &[Key, Reply] : tickPlacer(S, Now)) ... // Requests that waited.
//
// One entry host, the placer, places the requests of all entry hosts. If it
// cannot be reached, each entry host places its own requests. Load estimates
// come from the placements themselves, since reports of engines lag. Performs
// no I/O.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Decision.h"
#include "placement/LimitBudget.h"
#include "placement/ReadQueue.h"
#include "routing/Routing.h"
#include "routing/Servers.h"
#include "wire/SiteMessages.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace pimento {

/// An engine's part of a placed request.
struct PlacedPart {
  BackendId Engine;
  Duration PrefillTime = {};      // For this part on an otherwise idle engine.
  std::uint64_t MemoryTokens = 0; // Tokens of memory held at the engine.
};

/// A request that runs on engines, or is about to.
struct PlacedRequest {
  PlacementRequest Spec;
  std::vector<PlacedPart> Parts; // The first part's engine decodes the answer.
  TimePoint Since{};
  TimePoint FirstEventForecast{}; // Forecast time of the first event.
  TimePoint Expires{};            // Dropped then, even without a final update.
  bool Decoding = false;
  double Utility = 0; // Utility of the answer to its caller, by prompt length.
};

/// A placed request in the list of an engine that has a part of it.
struct EngineShare {
  PlacementKey Key;
  std::uint64_t MemoryTokens = 0; // Tokens of memory held at this engine.
  std::uint64_t Context = 0;      // Length of the whole prompt, tokens.
  Duration MaxEventGap = {}; // Longest gap between two events; zero: no limit.
  double Utility = 0;
  bool IsFirstPart = false; // This engine sends the request's events.
  bool IsOnlyPart = false;  // No other engine has a part of the request.
  bool Decoding = false;
  TimePoint FirstEventForecast{}; // Forecast time of the first event.
  TimePoint SuspectAt{}; // The engine may be slow without an event by then.
};

struct WaitingRequest {
  PlacementKey Key;
  PlacementRequest Spec;
  TimePoint Since{};
  std::uint64_t Searches = 0; // Searches for engines so far.
  TimePoint SearchAt{};       // The next search is due then.
};

/// Load of an engine, estimated from the requests placed on it.
struct PlacerEngine {
  ServiceId Service;
  std::uint64_t Incarnation = 0;
  std::string Address;
  DataCentreId DataCentre;
  bool Ready = true;
  std::size_t DecodingCount = 0;
  std::size_t PrefillingCount = 0;   // First parts that do not decode yet.
  std::size_t HelperPartCount = 0;   // Unfinished helper parts of prompts whose
                                     // answers other engines decode.
  std::uint64_t DecodingContext = 0; // Prompt tokens of decoding requests.
  std::uint64_t MemoryTokens = 0;    // Tokens of memory held.
  PrefillQueue Prefills; // Estimated state at PlacerState::PrefillsAt.
  std::vector<EngineShare> Shares; // Source of the totals above.
  Duration MaxEventGap = {};  // Shortest limit of its requests; zero: none.
  double Slowness = 1;        // Prefill time relative to the data sheet.
  TimePoint SpeedSeenAt{};    // Latest report of Slowness; epoch: none.
  TimePoint SpeedQueriedAt{}; // Latest query of its load; epoch: none.
  double Bias = 0; // Cost term that makes hosts which place independently
                   // prefer different engines.
  std::uint32_t Failures = 0; // Consecutive failures.
  TimePoint AvoidUntil{};
};

/// The engines of all services with the requests placed on them.
struct PlacerState {
  DataCentreId Here;          // Data centre of this host.
  EvacuationState Evacuation; // Engines in these data centres get nothing; see
                              // setEngines().
  std::map<ServiceId, EngineProfile> Profiles;
  std::map<BackendId, PlacerEngine> Engines;
  std::map<PlacementKey, PlacedRequest> Placed;
  std::map<BackendId, LimitBucket> Limits; // Of engines that named a limit.
  std::deque<WaitingRequest> Queue; // Ordered by each tick; new ones follow.
  std::map<ServiceId, double>
      OnTimeRates; // Highest utility per second of prefill of the waiting
                   // requests that could still be in time at the last tick.
  TimePoint PrefillsAt{}; // Time to which all prefill queues are advanced.
  TimePoint SpeedCheckAt = TimePoint::max(); // Next check whether load reports
                                             // of engines are to be queried.
  TimePoint PlacementPausedUntil{}; // New requests wait until then, while entry
                                    // hosts report what already runs.
};

enum class PlacementVerdict : std::uint8_t { Placed, Waiting, Refused };

struct PlacementOutcome {
  PlacementVerdict Verdict = PlacementVerdict::Refused;
  PlacementReply Reply;
};

/// Updates the list of engines from the routes in force, the registered
/// backend servers and the evacuated data centres, in which no engine is
/// chosen. Placed requests stay; an engine that restarted loses its learned
/// speed and its failures.
void setEngines(PlacerState &S, const RouteTable &Routes,
                const ServerRegistry &Servers);

/// Selects whether this host places only its own requests while other hosts do
/// the same. Such hosts do not know each other's placements, so each then
/// prefers different engines.
void setIndependentPlacement(PlacerState &S, const HostId &Self,
                             bool Independent);

/// Places a request, queues it or refuses it. A request with RunningOn set is
/// only recorded. Repeating a request that is already placed returns the same
/// engines.
PlacementOutcome placeRequest(PlacerState &S, const PlacementKey &Key,
                              const PlacementRequest &Spec, TimePoint Now);

/// Records a request's change of stage. Any stage removes a waiting request
/// from the queue; Ended and Failed also free its engines. After Failed, the
/// engine \p FaultyServer is avoided for a while.
void updateStage(PlacerState &S, const PlacementKey &Key, PlacementStage Stage,
                 const BackendId &FaultyServer, TimePoint Now);

/// Drops expired requests, and places or refuses waiting requests. Returns the
/// replies to requests that no longer wait.
std::vector<std::pair<PlacementKey, PlacementReply>> tickPlacer(PlacerState &S,
                                                                TimePoint Now);

/// Returns the time by which tickPlacer() must be called next; TimePoint::max()
/// if no request waits.
TimePoint nextPlacerTick(const PlacerState &S, TimePoint Now);

/// Drops all placed and waiting requests of an entry host that stopped.
void dropHost(PlacerState &S, const HostId &Host);

} // namespace pimento
