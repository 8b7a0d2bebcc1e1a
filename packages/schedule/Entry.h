//===- Entry.h - An entry host's side of the cells --------------*- C++ -*-===//
//
// Keeps what this host asked for and what it was granted, for every cell, and
// keeps schedulers in step: it renews, registers with a new holder and sends
// again what was lost.
//
//   EntryState E = startEntry(Config);
//   setHolder(E, Cell, Holder, Epoch, Now, Out);
//   startGrantRequest(E, Ask, Now, Out);
//   onGrant(E, Grant, Now, Out);       // Out.Granted: talk to the engine
//   noteProgress(E, Attempt, 0, 12);
//   endAttempt(E, Release, Now, Out);
//   tick(E, Now, Out);                 // Every EntryTickInterval.
//
// One attempt is granted at most once here: a second grant for it is answered
// by registering the first one.
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
  Duration RenewInterval = milliseconds(600); // Under half a grant's lease.
  Duration LocalPlacementDelay =
      milliseconds(3000); // Without a holder for this long
                          // the host places by itself.
};

/// An ask without an answer yet.
struct PendingRequest {
  GrantRequest Request;
  TimePoint Started;
  TimePoint Deadline;
};

/// A grant that this host acts under.
struct EntryGrant {
  GrantRequest Request;
  Grant Given;
  TimePoint Started;  // When it was asked for.
  TimePoint Deadline; // Of the caller.
  std::uint32_t PrefillTokens = 0;
  std::uint32_t OutputTokens = 0;
  bool FirstTokenUnsent = false; // Its first token is news to the scheduler.
};

/// One cell as this host sees it.
struct EntryCell {
  HostId Holder;           // Empty: none known.
  std::uint64_t Epoch = 0; // Grants of older ones are dropped.
  TimePoint HolderLost;    // Since when there is none.
  TimePoint NextRenew;
  bool HasUnsentFirstTokens = false; // Some grant is.
  std::map<AttemptId, PendingRequest> Pending;
  std::map<AttemptId, EntryGrant> Grants;
};

/// What an engine reported last, for placement without a scheduler.
struct EngineView {
  BackendRecord Record;
  LoadReport Load;
  TimePoint ReportedAt;
  std::uint32_t SentSince = 0;   // Attempts that this host sent since then.
  std::uint64_t TokensSince = 0; // Memory that these need.
};

struct EntryState {
  EntryConfig Config;
  Random Generator;
  std::map<CellId, EntryCell> Cells;
  std::unordered_map<AttemptId, CellId> Where;
  std::map<CellId, std::map<BackendId, EngineView>> Engines;
};

/// An answer to startGrantRequest().
struct EntryAnswer {
  AttemptId Attempt;
  Code Result = Code::Ok;                 // Ok: granted.
  Grant Given;                            // Of Ok.
  Duration RetryAfter = Duration::zero(); // Of a refusal.
  bool Local = false; // Placed by this host, without a scheduler.
};

struct EntryEffects {
  std::vector<Outbound> Messages;
  std::vector<EntryAnswer> Answers;
  std::vector<DecisionRecord> Decisions;
  std::vector<MetricSample> Samples;
};

EntryState startEntry(const EntryConfig &Config);

/// The log named a holder for a cell; an empty one says that it has none that
/// lives. Everything is registered with a new holder or a new epoch.
void setHolder(EntryState &E, CellId Cell, const HostId &Holder,
               std::uint64_t Epoch, TimePoint Now, EntryEffects &Out);

/// Sends an ask; the answer comes through EntryEffects::Answers, once.
void startGrantRequest(EntryState &E, const GrantRequest &A, TimePoint Now,
                       EntryEffects &Out);
/// Gives up an ask or grant.
void withdrawGrantRequest(EntryState &E, const AttemptId &Id, TimePoint Now,
                          EntryEffects &Out);
/// The attempt ended at its engine.
void endAttempt(EntryState &E, Release R, TimePoint Now, EntryEffects &Out);
/// Totals since the start of the attempt.
void noteProgress(EntryState &E, const AttemptId &Id,
                  std::uint32_t PrefillTokens, std::uint32_t OutputTokens);

// Messages of schedulers.
void onGrant(EntryState &E, const HostId &From, const Grant &G, TimePoint Now,
             EntryEffects &Out);
void onRefusal(EntryState &E, const HostId &From, const Refusal &R,
               TimePoint Now, EntryEffects &Out);
void onRegisterRequest(EntryState &E, const HostId &From,
                       const RegisterRequest &R, TimePoint Now,
                       EntryEffects &Out);

/// What membership tells of a cell's engines, for placement by this host.
void setEngineView(EntryState &E, CellId Cell, const BackendRecord &Record);
void setEngineLoad(EntryState &E, CellId Cell, const LoadReport &R,
                   TimePoint Now);

/// Renewals, batches of progress, placement without a holder, asks whose
/// deadline passed.
void tick(EntryState &E, TimePoint Now, EntryEffects &Out);

} // namespace pimento
