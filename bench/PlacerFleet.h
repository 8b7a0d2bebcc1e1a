//===- PlacerFleet.h - Model of engines behind a placer ---------*- C++ -*-===//
//
//   FleetRun Run;
//   Run.Kinds = {...};             // What callers send.
//   Run.Slow = {{0.35, 4.0, seconds(5), seconds(25)}};
//   FleetResult R = runFleet(Run);
//
// Plays requests against the placer (gateway/Placer.h) and a model of its
// engines in virtual time, with one entry host that reports first events and
// ends at once. An engine prefills parts of split prompts ahead of whole
// prompts, and decodes meanwhile, as its data sheet says; a slow engine takes
// longer for both. A caller leaves if no event comes in time, and returns once
// after a refusal.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Time.h"
#include "routing/Routing.h"

#include <cstdint>
#include <string>
#include <vector>

namespace pimento::bench {

/// One kind of request. Prompt lengths have a log-normal distribution.
struct FleetRequestKind {
  std::string Name;
  double PerSecond = 0;
  double MeanTokens = 0;   // Mean prompt length.
  double Spread = 0;       // Standard deviation of the logarithm.
  double MostTokens = 0;   // Longer prompts are shortened to this.
  double AnswerTokens = 0; // Of every answer.
  Duration Objective = {}; // Target time to the first event.
  Duration InterEventObjective = {};
  Duration EventTimeout = {}; // The caller leaves without an event by then.
  Duration TimeLimit = {};
};

/// Engines that are slow for a while.
struct SlowPeriod {
  double Share = 0;  // Share of all engines.
  double Factor = 1; // Time for any work, relative to the data sheet.
  Duration From = {};
  Duration To = {};
};

struct FleetRun {
  std::size_t Engines = 1;
  EngineProfile Profile;
  std::vector<FleetRequestKind> Kinds;
  std::vector<SlowPeriod> Slow;
  Duration Length = {}; // Time in which requests arrive.
  std::uint64_t Seed = 7;
};

/// Outcome of all requests of one kind.
struct FleetFigures {
  std::size_t Requests = 0;
  std::size_t OnTime = 0;        // First event within the objective.
  std::size_t Late = 0;          // First event later.
  std::size_t Refused = 0;       // Refused, also after the caller's retry.
  std::size_t CallerLeft = 0;    // No event came in time.
  double UtilityShare = 0;       // Utility of all answers, as a share of that
                                 // of all requests; late answers count less.
  double ServedShare = 0;        // Answered requests, on time or late.
  double ServedShareLongest = 0; // The same for the longest tenth of prompts.
  Duration RefusedAfter = {};    // Mean time until a request is refused.
};

struct FleetResult {
  std::vector<FleetFigures> ByKind; // In the order of FleetRun::Kinds.
};

FleetResult runFleet(const FleetRun &Run);

} // namespace pimento::bench
