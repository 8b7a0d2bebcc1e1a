//===- Cell.h - The scheduler of one cell -----------------------*- C++ -*-===//
//
// The host that holds a cell's scheduling lease keeps one CellState. It queues
// asks, places them, and keeps the exact ledger of the engines' memory.
//
//   CellState S = startCell(Config, Now);
//   CellEffects Out;
//   setBackend(S, Record, Now, Out);    // Engines of the cell, from
//   membership. onGrantRequest(S, From, Ask, Now, Out);      // ... and the
//   other messages. tick(S, Now, Out);                  // Every TickInterval.
//
// Index
//   CellConfig, CellEffects, CellState
//   startCell()          a new holder; recovers for Config.RecoveryWait
//   on...()              one function for each input
//   tick()               leases, repeats, forecasts, lanes
//   cellFigures()        what a status page shows
//
// The caller carries effects out only while its lease on the cell stands, by
// the clock at that moment. Cancels are repeated by tick() until onCancelled()
// or a new life of the engine; memory counts as used until then.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Decision.h"
#include "base/Random.h"
#include "base/Time.h"
#include "schedule/Engine.h"
#include "schedule/Queue.h"
#include "schedule/Rates.h"
#include "wire/Messages.h"

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace pimento {

constexpr Duration TickInterval = milliseconds(100);

struct CellConfig {
  CellId Cell{};
  ModelName Model;
  std::uint64_t Epoch = 1; // Of this holder's lease; every grant carries it.
  std::uint64_t Seed = 1;
  Duration RecoveryWait = Duration::zero(); // Grants nothing for this long
                                            // after the start; zero: the first
                                            // holder, nothing to recover.
  Duration GrantLease = milliseconds(2000); // Unrenewed grants die after it.
  Duration CancelInterval = milliseconds(500); // Between repeats of a cancel.
  Duration SweepInterval = milliseconds(2000); // Of one engine's memory.
  std::uint64_t QueueLength = 10000;           // Asks waiting.
  std::uint64_t AccountQueueLength = 2000;     // Of one client account.
  std::uint64_t PrefixIndexBytes = 16U << 20U;
  std::uint64_t ShortTokens = 8192;    // Longest short prompt.
  std::uint64_t MediumTokens = 100000; // Longest medium prompt.
  std::uint32_t MaxRunning = 64;       // Requests at one engine.
  std::uint32_t ShortRunning = 32;     // At an engine for short prompts, beyond
                                       // which they go to the others.
  double LaneLoad = 1.1;  // Load at which engines for medium and long prompts
                          // are aimed. More: fewer of them, short prompts
                          // decode faster and long ones wait longer.
  double ShortRoom = 2.2; // Engines that short prompts get where there is
                          // room, by those that they would keep busy.
  double ShortMemoryShare = 0.08; // Of each engine, kept for short prompts.
  double OutputCost = 8;          // Of a generated token, in prompt tokens.
};

/// The engine is to hold nothing of the attempt: the node sends DELETE and
/// reports a confirmation through onCancelled().
struct CancelOrder {
  BackendId Backend;
  AttemptId Attempt;
  std::string ExportHandle; // Not empty: free this export instead.
};

/// What an input makes the host do. Append-only: inputs may share one.
struct CellEffects {
  std::vector<Outbound> Messages;
  std::vector<CancelOrder> Cancels;
  std::vector<BackendId> Sweeps; // Ask for GET /v1/memory.
  std::vector<DecisionRecord> Decisions;
  std::vector<MetricSample> Samples;
};

enum class HeldKind : std::uint8_t { Attempt, Reservation, Export };

/// One line of an engine's memory report.
struct HeldMemory {
  HeldKind Kind = HeldKind::Attempt;
  AttemptId Attempt;        // Empty for exports.
  std::string ExportHandle; // Of exports.
  std::uint64_t Tokens = 0;
  Duration Age = Duration::zero();
};

/// One engine of a granted attempt.
struct HeldEngine {
  BackendId Backend;
  IncarnationNumber Incarnation = 0;
  std::uint64_t Tokens = 0;
  double Prefill = 0; // Uncached tokens granted there.
};

/// A grant that was given and has not ended.
struct LiveGrant {
  AttemptId Attempt;
  AccountId Account;
  HostId Host;
  double Weight = 1;
  LengthClass Class = LengthClass::Short;
  std::uint32_t Priority = 1;
  std::uint64_t PromptTokens = 0;
  std::uint64_t MaxOutput = 0;
  std::uint64_t Generated = 0;     // Output tokens reported so far.
  double Charged = 0;              // Cost charged to the account so far.
  std::uint64_t PrefillTokens = 0; // Prefilled, as reported.
  bool FirstTokenSeen = false;
  bool Overdue = false; // Counted as overdue at its engine.
  TimePoint GrantedAt;
  TimePoint LeaseUntil;
  TimePoint Deadline;
  TimePoint ProgressAt;                       // Of the newest progress.
  Duration PredictedFirst = Duration::zero(); // Grant to first token.
  double UnitRate = 0; // Prefill work in front of the first token, tokens.
  bool PromptsAhead = false; // Of others; then it teaches no rate.
  std::vector<std::uint64_t> Prefixes;
  std::vector<HeldEngine> Engines; // The first one leads.
};

/// How an ask ended, kept for a while so that a resend hears the same.
struct EndedRequest {
  Code Reason = Code::Ok; // Ok: granted and released, or withdrawn.
  Duration RetryAfter = Duration::zero();
};

/// One entry host as the scheduler knows it.
struct EntryHost {
  IncarnationNumber Incarnation = 0;
  DataCentreId DataCentre; // Empty: unknown.
};

/// Demand of one class, over about half a minute.
struct ClassDemand {
  double Arrived = 0; // Predicted cost since the last tick.
  double Rate = 0;    // Cost a second.
  double Seconds = 0; // Observed so far.
};

struct CellState {
  CellConfig Config;
  Random Generator;
  TimePoint RecoverUntil;
  bool Recovering = false;
  FairQueue Queue;
  std::map<BackendId, Engine> Engines;
  std::unordered_map<AttemptId, LiveGrant> Grants;
  std::map<HostId, EntryHost> Hosts;
  std::unordered_map<AttemptId, EndedRequest>
      Ended;                        // Bounded: the newest ones.
  std::deque<AttemptId> EndedOrder; // Newest last.
  PrefixIndex Prefixes;
  CellRates Rates;
  std::array<ClassDemand, LengthClasses> Demand;
  std::array<double, LengthClasses> Served{}; // Cost granted since last tick.
  std::array<Estimate, LengthClasses> DrainRate; // Cost a second in backlog.
  std::size_t BulkEngines = 0; // Size of the lane of long prompts.
  TimePoint NextLaneShrink;    // When it may shrink next.
  TimePoint NextSilenceCheck;
  TimePoint NextHealthCheck;
  std::array<double, 2> LaneRunning{}; // Mean attempts of an engine by lane.
  std::vector<AttemptId> Reservations; // Asks that hold engines; oldest first.
  TimePoint LastTick;
  std::uint64_t PlacementSalt = 0;          // Of the newest placement.
  std::vector<std::uint64_t> CachedScratch; // By prefix slot.
};

/// A new holder's state. While it recovers, asks and registrations are taken
/// in and nothing is granted.
CellState startCell(const CellConfig &Config, TimePoint Now);

/// An engine appeared, changed or went. One that left the cell goes through
/// removeBackend().
void setBackend(CellState &S, const BackendRecord &Record, TimePoint Now,
                CellEffects &Out);
void removeBackend(CellState &S, const BackendId &Id, TimePoint Now,
                   CellEffects &Out);

/// Where an entry host stands, for placement near it.
void setHost(CellState &S, const HostId &Host, const DataCentreId &Where);
/// An entry host's process ended: all that it held is cancelled at once.
void onHostGone(CellState &S, const HostId &Host, TimePoint Now,
                CellEffects &Out);

// Messages of entry hosts.
void onGrantRequest(CellState &S, const HostId &From, const GrantRequest &A,
                    TimePoint Now, CellEffects &Out);
void onRelease(CellState &S, const HostId &From, const Release &R,
               TimePoint Now, CellEffects &Out);
void onWithdraw(CellState &S, const HostId &From, const Withdraw &W,
                TimePoint Now, CellEffects &Out);
void onRenew(CellState &S, const HostId &From, const RenewGrants &R,
             TimePoint Now, CellEffects &Out);
void onRegister(CellState &S, const HostId &From, const Register &R,
                TimePoint Now, CellEffects &Out);
void onProgress(CellState &S, const HostId &From, const Progress &P,
                TimePoint Now, CellEffects &Out);

// Reports about engines.
void onLoad(CellState &S, const LoadReport &R, TimePoint Now, CellEffects &Out);
/// The answer to a sweep. \p Incarnation is the engine's; what it does not list
/// it does not hold.
void onMemoryReport(CellState &S, const BackendId &Id,
                    IncarnationNumber Incarnation,
                    const std::vector<HeldMemory> &Held, TimePoint Now,
                    CellEffects &Out);
/// The engine confirmed that it holds nothing of what \p Order names.
void onCancelled(CellState &S, const CancelOrder &Order, TimePoint Now,
                 CellEffects &Out);

/// Leases, repeats, sweeps, asks past their latest start, lanes.
void tick(CellState &S, TimePoint Now, CellEffects &Out);

/// The state in figures.
struct CellFigures {
  std::size_t Waiting = 0;
  std::size_t Grants = 0;
  std::size_t Engines = 0;
  std::size_t Ejected = 0;
  std::size_t BulkEngines = 0;
  std::size_t Accounts = 0;
  std::uint64_t MemoryTokens = 0;
  std::uint64_t HeldTokens = 0;
  std::uint64_t CancellingTokens = 0;
  std::size_t PrefixEntries = 0;
};
CellFigures cellFigures(const CellState &S);

} // namespace pimento
