//===- Entry.h - An entry host's side of scheduling -------------*- C++ -*-===//
//
// Keeps this host's pending grant requests and its grants, for every cell. A
// cell is scheduled by the host that holds its lease; this module renews grants
// there, registers them with a new holder and resends what was lost.
//
//   EntryState E = startEntry(Config);
//   setHolder(E, Cell, Holder, Epoch, Now, Out);
//   startGrantRequest(E, Request, Now, Out);
//   onGrant(E, From, Grant, Now, Out);  // Out.Answers names the engines.
//   noteProgress(E, Attempt, 0, 12);
//   endAttempt(E, Release, Now, Out);
//   tick(E, Now, Out);                  // Every EntryTickInterval.
//
// An attempt is granted at most once here. A second grant for it with another
// leading engine is answered by registering the first one.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Decision.h"
#include "base/Random.h"
#include "base/Time.h"
#include "wire/Messages.h"

#include <cstdint>
#include <map>
#include <set>
#include <unordered_map>
#include <vector>

namespace pimento {

constexpr Duration EntryTickInterval = milliseconds(100);

struct EntryConfig {
  HostId Self;
  DataCentreId DataCentre;
  IncarnationNumber Incarnation = 0;
  std::uint64_t Hi = 0; // RequestId::Hi of this host's requests.
  std::uint64_t Seed = 1;
  // Less than half of a grant's lease.
  Duration RenewInterval = milliseconds(600);
  // The host places requests itself after this time without a lease holder.
  Duration LocalPlacementDelay = milliseconds(3000);
};

/// A grant request without an answer yet.
struct PendingRequest {
  GrantRequest Request;
  TimePoint Started;
  TimePoint Deadline;
};

/// A grant that this host is using.
struct EntryGrant {
  GrantRequest Request;
  Grant Given;
  TimePoint Started;  // When the request was started.
  TimePoint Deadline; // Deadline of the caller.
  std::uint32_t PrefillTokens = 0;
  std::uint32_t OutputTokens = 0;
  // The first token has not been reported to the scheduler yet.
  bool FirstTokenUnsent = false;
};

/// This host's requests and grants in one cell.
struct EntryCell {
  // Host that holds the cell's scheduling lease; empty: none known.
  HostId Holder;
  // Number of that lease; grants of older epochs are dropped.
  std::uint64_t Epoch = 0;
  TimePoint HolderLost; // When the last holder was lost.
  TimePoint NextRenew;
  bool HasUnsentFirstTokens = false; // Some grant has FirstTokenUnsent set.
  std::map<AttemptId, PendingRequest> Pending;
  std::map<AttemptId, EntryGrant> Grants;
};

/// Last known state of an engine, for placement without a scheduler.
struct EngineView {
  BackendRecord Record;
  LoadReport Load;
  TimePoint ReportedAt;
  // Attempts that this host has sent since the report.
  std::uint32_t SentSince = 0;
  std::uint64_t TokensSince = 0; // Memory that those attempts need.
};

struct EntryState {
  EntryConfig Config;
  Random Generator;
  std::map<CellId, EntryCell> Cells;
  // Cell of each pending request and each grant.
  std::unordered_map<AttemptId, CellId> Where;
  std::map<CellId, std::map<BackendId, EngineView>> Engines;
};

/// Answer to startGrantRequest().
struct EntryAnswer {
  AttemptId Attempt;
  Code Result = Code::Ok;                 // Ok: engines were granted.
  Grant Given;                            // Valid if Result is Ok.
  Duration RetryAfter = Duration::zero(); // Valid if the request was refused.
  bool Local = false; // This host placed the request without a scheduler.
};

struct EntryEffects {
  std::vector<Outbound> Messages;
  std::vector<EntryAnswer> Answers;
  std::vector<DecisionRecord> Decisions;
  std::vector<MetricSample> Samples;
};

EntryState startEntry(const EntryConfig &Config);

/// Sets the lease holder of a cell as named by the control log; an empty name
/// means that the cell has no live holder. Registers all grants and resends all
/// requests if the holder or the epoch changed. Older epochs are ignored.
void setHolder(EntryState &E, CellId Cell, const HostId &Holder,
               std::uint64_t Epoch, TimePoint Now, EntryEffects &Out);

/// Requests engines for an attempt. The answer comes once, through
/// EntryEffects::Answers. A repeated call for the same attempt has no effect.
void startGrantRequest(EntryState &E, const GrantRequest &A, TimePoint Now,
                       EntryEffects &Out);
/// Withdraws a pending request or a grant.
void withdrawGrantRequest(EntryState &E, const AttemptId &Id, TimePoint Now,
                          EntryEffects &Out);
/// Releases the grant of an attempt that has ended at its engine.
void endAttempt(EntryState &E, Release R, TimePoint Now, EntryEffects &Out);
/// Updates an attempt's progress. Both figures are totals since its start.
void noteProgress(EntryState &E, const AttemptId &Id,
                  std::uint32_t PrefillTokens, std::uint32_t OutputTokens);

// Messages from schedulers.
void onGrant(EntryState &E, const HostId &From, const Grant &G, TimePoint Now,
             EntryEffects &Out);
void onRefusal(EntryState &E, const HostId &From, const Refusal &R,
               TimePoint Now, EntryEffects &Out);
void onRegisterRequest(EntryState &E, const HostId &From,
                       const RegisterRequest &R, TimePoint Now,
                       EntryEffects &Out);

/// Update the state of a cell's engine, for placement without a scheduler.
void setEngineView(EntryState &E, CellId Cell, const BackendRecord &Record);
void setEngineLoad(EntryState &E, CellId Cell, const LoadReport &R,
                   TimePoint Now);

/// Runs periodic work: answers requests past their deadline, renews grants,
/// reports first tokens, and places requests of cells without a holder. Call it
/// every EntryTickInterval.
void tick(EntryState &E, TimePoint Now, EntryEffects &Out);

} // namespace pimento
