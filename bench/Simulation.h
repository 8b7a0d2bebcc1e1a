//===- Simulation.h - One run of a policy in virtual time -------*- C++ -*-===//
//
//   RunConfig C;
//   C.Kind = Policy::Scheduler;
//   RunResult R = run(C, Site, Arrivals);
//
// Model engines, entry hosts and the scheduler of one cell (or a baseline in
// its place) exchange their messages over a queue of events. A cell is a group
// of engines with one scheduler. Runs with the same seed give the same result.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "EngineModel.h"
#include "Workload.h"
#include "base/Codes.h"
#include "schedule/Cell.h"

#include <cstdint>
#include <string>
#include <vector>

namespace pimento::bench {

enum class Policy : std::uint8_t {
  Scheduler,   // packages/schedule
  RoundRobin,  // Each entry host cycles through all engines.
  LeastLoaded, // Least load in the last reports.
  TwoChoices,  // The less loaded of two random engines, by the last reports.
  SingleFifo,  // One FIFO queue with exact knowledge of the engines.
};
constexpr Policy AllPolicies[] = {Policy::Scheduler, Policy::RoundRobin,
                                  Policy::LeastLoaded, Policy::TwoChoices,
                                  Policy::SingleFifo};
const char *toString(Policy P);

enum class FaultKind : std::uint8_t {
  EngineDies,     // Restarts empty, with a new incarnation, after Length.
  EngineSlows,    // Every step takes Factor times as long.
  EngineSilent,   // Accepts work but never runs it.
  ReportsLost,    // No load report of the engine arrives.
  SchedulerDies,  // Another host takes over the cell after Length.
  SchedulerStops, // Frozen for Length; its messages are handled afterwards.
  EntryDies,      // Its callers are lost; the host restarts.
  LossyNetwork,   // Share Factor of messages to and from schedulers is lost.
};

struct Fault {
  FaultKind Kind = FaultKind::EngineDies;
  Duration At = Duration::zero(); // Since the start of the run.
  Duration Length = seconds(30);
  std::size_t Index = 0; // Index of the engine or entry host.
  double Factor = 1;
};

struct RunConfig {
  Policy Kind = Policy::Scheduler;
  EngineSpec Engine;
  CellConfig Cell;
  std::size_t Hosts = 9;
  std::uint64_t Seed = 1;
  Duration OneWay = microseconds(300);
  Duration ReportInterval = milliseconds(500);
  Duration ReportLag = milliseconds(300);
  double ReportLoss = 0.01; // Share of reports that never arrive.
  std::vector<Fault> Faults;
  Duration StopAt = Duration::zero(); // Zero: after the last response.
};

enum class RequestEnd : std::uint8_t {
  Open,     // Unfinished when the run ended.
  Finished, // Completed in time.
  Refused,  // Rejected before admission.
  Dropped,  // Admitted to the queue, but rejected before it ran.
  Missed,   // Time limit passed while it waited or ran.
  Failed,   // No attempt was left.
  Left,     // Lost with its entry host.
};

struct RequestResult {
  RequestEnd End = RequestEnd::Open;
  Code Reason = Code::Ok;
  Duration FirstToken = Duration::zero(); // Since its arrival; zero: none.
  Duration Total = Duration::zero();      // Until its last response.
  std::uint32_t Attempts = 0;
  std::uint32_t Answers = 0; // Final responses to the caller.
  std::uint64_t CachedTokens = 0;
};

struct RunResult {
  std::vector<RequestResult> Requests; // In the order of the arrivals.
  std::vector<double> SpareSeconds;    // Spare engine time, by second.
  double PrefillSaved = 0;             // Tokens found in caches.
  double PrefillTokens = 0; // Tokens of prompts that were prefilled or found.
  std::uint64_t Cancels = 0;
  std::uint64_t DoubleRuns = 0;  // Attempts sent to an engine by two grants.
  std::uint64_t EngineWaits = 0; // Jobs that found no memory free.
  std::uint64_t HeldAtEnd = 0;   // Tokens held at the engines.
  std::uint64_t LedgerAtEnd = 0; // Tokens in the scheduler's ledger.
  /// Longest time that memory was held after its request had ended.
  Duration LongestHold = Duration::zero();
  std::uint64_t MaxWaiting = 0;
  std::uint64_t Events = 0;
};

RunResult run(const RunConfig &C, const Site &S,
              const std::vector<Arrival> &Arrivals);

} // namespace pimento::bench
