//===- Placer.h - Which engines run a request -------------------*- C++ -*-===//
//
// Answers the pattern of prompts of very unlike lengths on shared engines: a
// long prompt that is read among requests that write makes their next events
// late, and a short prompt behind a long one waits for it. So
// * short prompts are packed onto engines that already write for short ones,
// * a long prompt is read in parts by as many engines as its objective needs,
//   in parts so small that nobody's next event is late,
// * what fits nowhere yet waits, as long as its caller would still be there,
//   and is refused at once when that cannot be met.
//
//   PlacerState S;
//   setEngines(S, Routes, Servers);
//   PlacementOutcome O = ask(S, Key, Ask, Now); // Placed, waiting or refused.
//   note(S, Key, Stage, FaultyServer, Now);
//   for (auto &[Key, Reply] : tickPlacer(S, Now)) ... // Those that waited.
//
// One entry host does this for all; where it cannot be reached, each does it
// for its own requests. Reports of engines lag: what was placed here is the
// better estimate. Needs no network.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Decision.h"
#include "gateway/ReadQueue.h"
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

/// One engine's part of a placed request.
struct PlacedPart {
  BackendId Engine;
  Duration PrefillTime = {};      // Of this part, alone on the engine.
  std::uint64_t MemoryTokens = 0; // Held there.
};

struct PlacedRequest {
  PlacementRequest Spec;
  std::vector<PlacedPart> Parts; // The first one writes the answer.
  TimePoint Since{};
  TimePoint FirstEventForecast{}; // Forecast of its first event.
  TimePoint Expires{};            // Forgotten then, whatever is heard.
  bool Decoding = false;
  double Utility = 0; // To its caller, by its size.
};

/// A placed request's part, as its engine sees it.
struct EngineShare {
  PlacementKey Key;
  std::uint64_t MemoryTokens = 0; // Held here.
  std::uint64_t Context = 0;      // Of the whole prompt, tokens.
  Duration MaxEventGap = {};      // Between two events; zero: none.
  double Utility = 0;
  bool IsFirstPart = false; // The request's events come from here.
  bool IsOnlyPart = false;  // No other engine has a part.
  bool Decoding = false;
  TimePoint FirstEventForecast{}; // Forecast of its first event.
};

struct WaitingRequest {
  PlacementKey Key;
  PlacementRequest Spec;
  TimePoint Since{};
};

/// One engine, as what was placed there tells.
struct PlacerEngine {
  ServiceId Service;
  std::uint64_t Incarnation = 0; // Of its life.
  std::string Address;
  DataCentreId DataCentre;
  bool Ready = true;
  std::size_t DecodingCount = 0;
  std::size_t PrefillingCount = 0;   // First parts that are not writing yet.
  std::size_t HelperPartCount = 0;   // Parts of others' prompts.
  std::uint64_t DecodingContext = 0; // Tokens.
  std::uint64_t MemoryTokens = 0;    // Held.
  PrefillQueue Prefills;             // As far as it should be by now.
  std::vector<EngineShare> Shares;   // All of the sums above are over these.
  Duration MaxEventGap = {}; // Shortest of the requests here; zero: none.
  double Slowness = 1;       // Of reading, against the data sheet.
  double Bias = 0; // Cost that spreads hosts that place for themselves.
  std::uint32_t Failures = 0; // In a row.
  TimePoint AvoidUntil{};
};

struct PlacerState {
  DataCentreId Here;
  std::map<ServiceId, EngineProfile> Profiles;
  std::map<BackendId, PlacerEngine> Engines;
  std::map<PlacementKey, PlacedRequest> Placed;
  std::deque<WaitingRequest> Queue; // In order of arrival.
  TimePoint PrefillsAt{};           // Prefills of all engines stand as of then.
  TimePoint PlacementPausedUntil{}; // Until then others tell what runs: nothing
                                    // is placed.
};

enum class PlacementVerdict : std::uint8_t { Placed, Waiting, Refused };

struct PlacementOutcome {
  PlacementVerdict Verdict = PlacementVerdict::Refused;
  PlacementReply Reply;
};

/// Brings the engines of all services in step with the routes in force and
/// the servers that report themselves.
void setEngines(PlacerState &S, const RouteTable &Routes,
                const ServerRegistry &Servers);

/// Hosts that place without knowing of each other each prefer other engines.
/// \p Alone: from now on this host is one of them.
void setIndependentPlacement(PlacerState &S, const HostId &Self,
                             bool Independent);

/// Where the request runs. An ask that names engines already is only recorded;
/// one that was answered before gets the same answer.
PlacementOutcome placeRequest(PlacerState &S, const PlacementKey &Key,
                              const PlacementRequest &Spec, TimePoint Now);

/// What became of a request; of one that waits, Ended withdraws it.
void updateStage(PlacerState &S, const PlacementKey &Key, PlacementStage Stage,
                 const BackendId &FaultyServer, TimePoint Now);

/// Places or refuses what waited.
std::vector<std::pair<PlacementKey, PlacementReply>> tickPlacer(PlacerState &S,
                                                                TimePoint Now);

/// When tickPlacer() is needed next; the far future while nothing waits.
TimePoint nextPlacerTick(const PlacerState &S, TimePoint Now);

/// Everything that \p Host holds or waits for is gone with it.
void dropHost(PlacerState &S, const HostId &Host);

} // namespace pimento
