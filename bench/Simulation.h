//===- Simulation.h - One run of a policy in virtual time -------*- C++ -*-===//
//
//   RunConfig C;
//   C.Kind = Policy::Scheduler;
//   RunResult R = run(C, Site, Arrivals);
//
// Model engines, entry hosts and the scheduler of one cell (or a baseline in
// its place) exchange their messages over a queue of events. Everything comes
// from the seed.
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
  RoundRobin,  // Each entry host in turn over all engines.
  LeastLoaded, // By the last reports.
  TwoChoices,  // The less loaded of two random engines, by the last reports.
  SingleFifo,  // One queue first come first served, exact knowledge.
};
constexpr Policy AllPolicies[] = {Policy::Scheduler, Policy::RoundRobin,
                                  Policy::LeastLoaded, Policy::TwoChoices,
                                  Policy::SingleFifo};
const char *toString(Policy P);

enum class FaultKind : std::uint8_t {
  EngineDies,     // Comes back empty, with a new life, after Length.
  EngineSlows,    // Every step takes Factor as long.
  EngineSilent,   // Takes work and says nothing.
  ReportsLost,    // No load report of the engine arrives.
  SchedulerDies,  // Another host holds the cell after Length.
  SchedulerStops, // Frozen for Length; its messages are handled afterwards.
  EntryDies,      // Callers of this host are gone; it starts anew.
  LossyNetwork,   // Drops a share Factor of messages to and from schedulers.
};

struct Fault {
  FaultKind Kind = FaultKind::EngineDies;
  Duration At = Duration::zero(); // Since the start of the run.
  Duration Length = seconds(30);
  std::size_t Index = 0; // Of the engine or entry host.
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
  Duration StopAt = Duration::zero(); // Zero: when all is answered.
};

enum class RequestEnd : std::uint8_t {
  Open,     // Still under way when the run ended.
  Finished, // In time.
  Refused,  // Before it was admitted.
  Dropped,  // Admitted to the queue, refused later, before it ran.
  Missed,   // Its limit passed while it waited or ran.
  Failed,   // No try was left.
  Left,     // Its entry host died with it.
};

struct RequestResult {
  RequestEnd End = RequestEnd::Open;
  Code Reason = Code::Ok;
  Duration FirstToken = Duration::zero(); // Since its arrival; zero: none.
  Duration Total = Duration::zero();      // Until its last answer.
  std::uint32_t Attempts = 0;
  std::uint32_t Answers = 0; // Final answers that the caller got.
  std::uint64_t CachedTokens = 0;
};

struct RunResult {
  std::vector<RequestResult> Requests; // As the arrivals.
  std::vector<double> SpareSeconds;    // By second: engine time with room left.
  double PrefillSaved = 0;             // Tokens found in caches.
  double PrefillTokens = 0; // Tokens of prompts that were prefilled or found.
  std::uint64_t Cancels = 0;
  std::uint64_t DoubleRuns = 0;  // An attempt at engines of two grants.
  std::uint64_t EngineWaits = 0; // Jobs that found no memory free.
  std::uint64_t HeldAtEnd = 0;   // Tokens at the engines.
  std::uint64_t LedgerAtEnd = 0; // Tokens in the scheduler's ledger.
  Duration LongestHold = Duration::zero(); // Of memory whose request was over.
  std::uint64_t MaxWaiting = 0;
  std::uint64_t Events = 0;
};

RunResult run(const RunConfig &C, const Site &S,
              const std::vector<Arrival> &Arrivals);

} // namespace pimento::bench
