//===- Cell.h - The scheduler of one cell -----------------------*- C++ -*-===//
//
// A cell is a bounded number of engines of one model. The host that holds the
// cell's scheduling lease keeps one CellState: it queues grant requests of
// entry hosts, chooses engines for them (a grant), and keeps a ledger of the
// engines' memory.
//
//   CellState S = startCell(Config, Now);
//   CellEffects Out;
//   setBackend(S, Record, Now, Out);              // Engines, from membership.
//   onGrantRequest(S, From, Request, Now, Out);   // Messages of entry hosts.
//   tick(S, Now, Out);                            // Every TickInterval.
//
// Index
//   CellConfig, CellEffects, CellState
//   startCell()          state of a new holder; recovers for RecoveryWait
//   on...()              one function for each input
//   tick()               leases, repeated cancels, forecasts, lanes
//   cellFigures()        figures for status pages
//
// The caller must execute effects only while its lease on the cell is valid, by
// the clock at that moment. tick() repeats a cancel until onCancelled() or a
// new incarnation of the engine; the memory counts as used until then.
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
  std::uint64_t Epoch = 1; // Fencing number of this holder's lease on the cell;
                           // sent with every grant.
  std::uint64_t Seed = 1;
  // A new holder grants nothing for this long after its start, so that entry
  // hosts can register earlier grants first. Zero: nothing to recover.
  Duration RecoveryWait = Duration::zero();
  // A grant that is not renewed ends after this time.
  Duration GrantLease = milliseconds(2000);
  // Between two sends of the same cancel.
  Duration CancelInterval = milliseconds(500);
  // Between two memory reports requested from one engine.
  Duration SweepInterval = milliseconds(2000);
  std::uint64_t QueueLength = 10000; // Most queued requests.
  // Most queued requests of one client account.
  std::uint64_t AccountQueueLength = 2000;
  std::uint64_t PrefixIndexBytes = 16U << 20U;
  std::uint64_t ShortTokens = 8192;    // Longest prompt of class Short.
  std::uint64_t MediumTokens = 100000; // Longest prompt of class Medium.
  std::uint32_t MaxRunning = 64;       // Most requests at one engine.
  // Most requests at an engine of the short lane; further short prompts go to
  // other engines.
  std::uint32_t ShortRunning = 32;
  // Target load of engines of the bulk lane (medium and long prompts). Higher
  // values mean fewer such engines: short prompts decode faster, long prompts
  // wait longer.
  double LaneLoad = 1.1;
  double ShortRoom = 2.2; // Engines left to short prompts if there are enough,
                          // as a multiple of the engines that they keep busy.
  // Share of each engine's memory kept free for short prompts.
  double ShortMemoryShare = 0.08;
  double OutputCost = 8; // Cost of a generated token, in prompt tokens.
};

/// Asks an engine to free all memory of an attempt. The caller sends DELETE and
/// reports the engine's confirmation through onCancelled().
struct CancelOrder {
  BackendId Backend;
  AttemptId Attempt;
  std::string ExportHandle; // If set, free this exported cache instead.
};

/// Actions for the caller to execute. Functions only append, so several inputs
/// may share one object.
struct CellEffects {
  std::vector<Outbound> Messages;
  std::vector<CancelOrder> Cancels;
  // Engines whose memory is to be read with GET /v1/memory.
  std::vector<BackendId> Sweeps;
  std::vector<DecisionRecord> Decisions;
  std::vector<MetricSample> Samples;
};

enum class HeldKind : std::uint8_t { Attempt, Reservation, Export };

/// One entry of an engine's memory report.
struct HeldMemory {
  HeldKind Kind = HeldKind::Attempt;
  AttemptId Attempt;        // Empty for exports.
  std::string ExportHandle; // Set for exports only.
  std::uint64_t Tokens = 0;
  Duration Age = Duration::zero();
};

/// One engine of a grant and the memory reserved there.
struct HeldEngine {
  BackendId Backend;
  IncarnationNumber Incarnation = 0;
  std::uint64_t Tokens = 0;
  double Prefill = 0; // Uncached prompt tokens that this engine prefills.
};

/// A grant that has been issued and has not ended.
struct LiveGrant {
  AttemptId Attempt;
  AccountId Account;
  HostId Host;
  double Weight = 1;
  LengthClass Class = LengthClass::Short;
  std::uint32_t Priority = 1;
  std::uint64_t PromptTokens = 0;
  std::uint64_t MaxOutput = 0;
  std::uint64_t Generated = 0;     // Output tokens reported so far, in total.
  double Charged = 0;              // Cost charged to the account so far.
  std::uint64_t PrefillTokens = 0; // Prefilled prompt tokens reported so far.
  bool FirstTokenSeen = false;
  bool Overdue = false; // Already counted in EngineHealth::Overdue.
  TimePoint GrantedAt;
  TimePoint LeaseUntil;
  TimePoint Deadline;
  TimePoint ProgressAt; // When progress was last reported.
  // Forecast time from grant to first token.
  Duration PredictedFirst = Duration::zero();
  // Tokens to prefill before the first output token, including other prompts
  // that the slowest engine prefills first.
  double TokensBeforeFirst = 0;
  // Prompts of other requests delay this one, so its timing says nothing about
  // the prefill rate.
  bool PromptsAhead = false;
  std::vector<std::uint64_t> Prefixes;
  std::vector<HeldEngine> Engines; // The first engine leads the group.
};

/// Outcome of a request that has ended. Kept for a while so that a resent
/// request gets the same answer.
struct EndedRequest {
  // Ok: the request was granted and released, or withdrawn.
  Code Reason = Code::Ok;
  Duration RetryAfter = Duration::zero();
};

/// An entry host that sends grant requests to this scheduler.
struct EntryHost {
  IncarnationNumber Incarnation = 0;
  DataCentreId DataCentre; // Empty: unknown.
};

/// Demand for one class of prompts, averaged over about two minutes.
struct ClassDemand {
  double Arrived = 0; // Predicted cost of requests since the last tick.
  double Rate = 0;    // Cost per second.
  double Seconds = 0; // Length of the observation.
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
  std::unordered_map<AttemptId, EndedRequest> Ended; // Bounded; see EndedOrder.
  std::deque<AttemptId> EndedOrder; // Eviction order of Ended, oldest first.
  PrefixIndex Prefixes;
  CellRates Rates;
  std::array<ClassDemand, LengthClasses> Demand;
  // Cost granted since the last tick.
  std::array<double, LengthClasses> Served{};
  // Cost per second served while requests are queued.
  std::array<Estimate, LengthClasses> DrainRate;
  std::size_t BulkEngines = 0; // Size of the bulk lane.
  TimePoint NextLaneShrink;    // When the bulk lane may shrink next.
  // When unconfirmed queued requests are dropped next.
  TimePoint NextUnconfirmedCheck;
  TimePoint NextHealthCheck;
  // Mean running attempts per engine, by lane.
  std::array<double, 2> LaneRunning{};
  std::vector<AttemptId> Reservations; // Queued requests for which engines are
                                       // reserved, oldest first.
  TimePoint LastTick;
  std::uint64_t PlacementSalt = 0; // Random number of the current placement.
  // Scratch buffer: cached tokens by prefix slot.
  std::vector<std::uint64_t> CachedScratch;
};

/// Returns the state of a new lease holder. During recovery it queues requests
/// and accepts registrations but grants nothing.
CellState startCell(const CellConfig &Config, TimePoint Now);

/// Adds or updates an engine; a record with status Gone removes it. Use
/// removeBackend() for an engine that moved to another cell.
void setBackend(CellState &S, const BackendRecord &Record, TimePoint Now,
                CellEffects &Out);
void removeBackend(CellState &S, const BackendId &Id, TimePoint Now,
                   CellEffects &Out);

/// Sets an entry host's data centre, so that engines near it are preferred.
void setHost(CellState &S, const HostId &Host, const DataCentreId &Where);
/// Reports that an entry host's process has ended. Cancels all its grants and
/// queued requests at once.
void onHostGone(CellState &S, const HostId &Host, TimePoint Now,
                CellEffects &Out);

// Messages from entry hosts.

/// Grants, queues or refuses a request. A repeated request of a granted or
/// refused attempt gets the same answer.
void onGrantRequest(CellState &S, const HostId &From, const GrantRequest &A,
                    TimePoint Now, CellEffects &Out);
/// Ends a grant, corrects the account's charge and learns from the outcome.
/// Removes the request if it is still queued.
void onRelease(CellState &S, const HostId &From, const Release &R,
               TimePoint Now, CellEffects &Out);
/// Removes a queued request or cancels a grant.
void onWithdraw(CellState &S, const HostId &From, const Withdraw &W,
                TimePoint Now, CellEffects &Out);
/// Renews the leases of the named grants and asks the host to register attempts
/// that this scheduler does not know.
void onRenew(CellState &S, const HostId &From, const RenewGrants &R,
             TimePoint Now, CellEffects &Out);
/// Adopts grants that this scheduler does not know. If the host runs an attempt
/// on other engines than granted here, the host's grant takes precedence.
void onRegister(CellState &S, const HostId &From, const Register &R,
                TimePoint Now, CellEffects &Out);
/// Applies progress figures, which are totals.
void onProgress(CellState &S, const HostId &From, const Progress &P,
                TimePoint Now, CellEffects &Out);

// Reports about engines. Reports about unknown engines are ignored, and so are
// load and memory reports of another incarnation of the engine.

/// Applies a load report with cache events. Older reports are ignored.
void onLoad(CellState &S, const LoadReport &R, TimePoint Now, CellEffects &Out);
/// Handles an engine's complete memory report. Cancelled memory that \p Held
/// does not list is freed in the ledger; listed memory of no known grant is
/// cancelled. \p Incarnation is that of the reporting engine.
void onMemoryReport(CellState &S, const BackendId &Id,
                    IncarnationNumber Incarnation,
                    const std::vector<HeldMemory> &Held, TimePoint Now,
                    CellEffects &Out);
/// Handles an engine's confirmation that it has freed the memory named by \p
/// Order.
void onCancelled(CellState &S, const CancelOrder &Order, TimePoint Now,
                 CellEffects &Out);

/// Runs periodic work: expires leases and queued requests, repeats cancels,
/// requests memory reports, updates forecasts, lanes and engine health, and
/// dispatches. Call it every TickInterval.
void tick(CellState &S, TimePoint Now, CellEffects &Out);

/// Figures for the status page and metrics.
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
